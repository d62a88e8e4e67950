package agenttest

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// FailingDialer opens connections, of which the first Failures fail with Errno.
type FailingDialer struct {
	Errno    syscall.Errno
	Failures int32
	Calls    atomic.Int32 // so far
}

// DialContext fails, or opens a connection as a net.Dialer does.
func (d *FailingDialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if d.Calls.Add(1) <= d.Failures {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", d.Errno)}
	}
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}
