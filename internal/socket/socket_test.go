package socket

import (
	"syscall"
	"testing"
)

// If a peek fails because this machine lacks a resource, the state of the client's connection is
// unknown.
func TestPeekResultOfLocalErrorIsUnknown(t *testing.T) {
	for _, test := range []struct {
		name string
		n    int
		err  error
		want PeekResult
	}{
		{"unread byte", 1, nil, PeekUnread},
		{"end of stream", 0, nil, PeekClosed},
		{"nothing to read", -1, syscall.EAGAIN, PeekNothing},
		{"interrupted", -1, syscall.EINTR, PeekNothing},
		{"no buffers", -1, syscall.ENOBUFS, PeekUnknown},
		{"no memory", -1, syscall.ENOMEM, PeekUnknown},
		{"reset", -1, syscall.ECONNRESET, PeekClosed},
		{"timed out", -1, syscall.ETIMEDOUT, PeekClosed},
		{"unreachable", -1, syscall.EHOSTUNREACH, PeekClosed},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := peekResult(test.n, test.err); got != test.want {
				t.Errorf("peekResult(%d, %v) = %d, want %d", test.n, test.err, got, test.want)
			}
		})
	}
}
