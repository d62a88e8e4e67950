package discovery

import (
	"net"
	"os"
	"syscall"
	"testing"

	"ploverreel/internal/agenttest"
)

// refusing is an address that refuses connections.
const refusing = "127.0.0.1:1"

// newClient returns a client of the discovery at addr whose timeouts are longer than any test, and
// the channel of its results.
func newClient(t *testing.T, addr string, placement Placement) (*Client, chan Result) {
	t.Helper()
	results := make(chan Result, 100)
	client := New(t.Context(), addr, placement, func(result Result) { results <- result })
	client.firstByteTimeout, client.idleTimeout = agenttest.LongTimeout, agenttest.LongTimeout
	return client, results
}

// next returns the next result. The test fails if its type is not T.
func next[T Result](t *testing.T, results chan Result) T {
	t.Helper()
	result := agenttest.Receive(t, results, "a result")
	typed, ok := result.(T)
	if !ok {
		t.Fatalf("got result %T %+v, want a %T", result, result, typed)
	}
	return typed
}

// failedConnect returns the error of a connect that fails with errno.
func failedConnect(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}
