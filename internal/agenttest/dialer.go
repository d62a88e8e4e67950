package agenttest

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// FailingDialer opens connections. Its first Failures calls fail with Errno.
type FailingDialer struct {
	Errno    syscall.Errno // error of the failing calls
	Failures int32         // number of calls that fail
	Calls    atomic.Int32  // number of calls so far
}

// DialContext fails for the first Failures calls and then opens connections with a net.Dialer.
func (d *FailingDialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if d.Calls.Add(1) <= d.Failures {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", d.Errno)}
	}
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}
