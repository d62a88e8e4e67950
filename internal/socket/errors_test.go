package socket

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// Errors are classified by what caused them: this machine, the network or the peer. They are
// wrapped in the same way as package net wraps them.
func TestErrorsAreClassifiedByTheirCause(t *testing.T) {
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
			if got := IsLocalError(err); got != test.local {
				t.Errorf("IsLocalError = %v, want %v", got, test.local)
			}
			if got := IsUnreachable(err); got != test.unreachable {
				t.Errorf("IsUnreachable = %v, want %v", got, test.unreachable)
			}
		})
	}
	if IsLocalError(nil) || IsLocalError(errors.New("another")) {
		t.Error("IsLocalError = true for nil or for an error that is not from a system call")
	}
}
