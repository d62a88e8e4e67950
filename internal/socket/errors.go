package socket

import (
	"errors"
	"syscall"
)

// localErrnos are the errors of a system call that are caused by this machine alone: a table, a
// buffer or a range of ports that is exhausted for the moment, or a call that was interrupted.
// They say nothing of the peer.
var localErrnos = []syscall.Errno{
	syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.EINTR,
}

// unreachableErrnos are the errors of a connect to which no answer came from the peer. One peer
// that shows them may be at fault; most peers at once mean that this machine has lost its network.
var unreachableErrnos = []syscall.Errno{syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN}

// IsLocalError reports whether an error was caused by this machine alone.
func IsLocalError(err error) bool { return isAnyErrno(err, localErrnos) }

// IsUnreachable reports whether an error says that there is no way to the peer.
func IsUnreachable(err error) bool { return isAnyErrno(err, unreachableErrnos) }

// isAnyErrno reports whether an error is or wraps one of these.
func isAnyErrno(err error, errnos []syscall.Errno) bool {
	for _, errno := range errnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
