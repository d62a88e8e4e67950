package agent

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// Errors that this machine, the way to the peer and the peer cause are distinguished as they come,
// wrapped by the net package.
func TestErrorsOfThisMachine(t *testing.T) {
	for _, test := range []struct {
		errno              syscall.Errno
		local, unreachable bool
	}{
		{errno: syscall.ENFILE, local: true},
		{errno: syscall.EMFILE, local: true},
		{errno: syscall.ENOBUFS, local: true},
		{errno: syscall.ENOMEM, local: true},
		{errno: syscall.EADDRNOTAVAIL, local: true},
		{errno: syscall.ENETUNREACH, unreachable: true},
		{errno: syscall.EHOSTUNREACH, unreachable: true},
		{errno: syscall.ENETDOWN, unreachable: true},
		{errno: syscall.ECONNREFUSED},
		{errno: syscall.ECONNRESET},
		{errno: syscall.ETIMEDOUT},
	} {
		t.Run(test.errno.Error(), func(t *testing.T) {
			err := fmt.Errorf("attempt: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", test.errno)})
			if got := isLocalError(err); got != test.local {
				t.Errorf("local: %v, want %v", got, test.local)
			}
			if got := isUnreachable(err); got != test.unreachable {
				t.Errorf("unreachable: %v, want %v", got, test.unreachable)
			}
		})
	}
	if isLocalError(nil) || isLocalError(errors.New("another")) {
		t.Error("no error, or one of no system call, is taken for this machine's")
	}
}
