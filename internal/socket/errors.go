package socket

import (
	"errors"
	"syscall"
)

// localErrnos are the errors of system calls that only this machine causes: a temporarily exhausted
// table, buffer or port range, or an interrupted call. They are no sign of a fault of the peer.
var localErrnos = []syscall.Errno{
	syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.EINTR,
}

// unreachableErrnos are the errors of a connect that got no response from the peer. If they occur
// for one peer, that peer may be at fault. If they occur for most peers at once, this machine has
// lost its network.
var unreachableErrnos = []syscall.Errno{syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN}

// IsLocalError reports whether only this machine can have caused the error.
func IsLocalError(err error) bool { return isAnyErrno(err, localErrnos) }

// IsUnreachable reports whether the error says that there is no route to the peer.
func IsUnreachable(err error) bool { return isAnyErrno(err, unreachableErrnos) }

// isAnyErrno reports whether the error is or wraps one of errnos.
func isAnyErrno(err error, errnos []syscall.Errno) bool {
	for _, errno := range errnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
