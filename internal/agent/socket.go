package agent

import (
	"encoding/binary"
	"net"
	"syscall"
)

// The states of Linux's TCP in which the peer has shut down its sending side, or the connection
// is closed.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// What peekConn finds on a connection.
const (
	peekUnknown = -2 // the look failed for want of a resource of this machine
	peekClosed  = -1 // the peer has closed, or the connection failed
	peekNothing = 0
	peekUnread  = 1 // at least one unread byte
)

// maxPeekAttempts is how often a look that a signal interrupts is made.
const maxPeekAttempts = 10

// peekConn looks what waits unread on a connection without reading it, and returns one of the
// peek constants. It doesn't block.
func peekConn(conn net.Conn) int {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return peekNothing
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return peekClosed
	}
	found := peekClosed
	// Control, as RawConn.Read would wait for the goroutine that reads from the connection.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		for range maxPeekAttempts {
			n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if found = peekResult(n, err); err != syscall.EINTR {
				return
			}
		}
	})
	if err != nil {
		return peekClosed
	}
	return found
}

// peekResult translates the result of a recvfrom that peeks to one of the peek constants. An error
// that is this machine's own says nothing of the connection.
func peekResult(n int, err error) int {
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return peekNothing
	case err != nil && isLocalError(err):
		return peekUnknown
	case err == nil && n > 0:
		return peekUnread
	}
	return peekClosed
}

// peerClosed reports whether the peer has shut down its sending side. Bytes from before may wait
// unread: with these, and where the look failed, the state of the connection is asked for.
func peerClosed(conn net.Conn) bool {
	switch peekConn(conn) {
	case peekClosed:
		return true
	case peekNothing:
		return false
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	var info [4]byte // the first byte of TCP_INFO is the state
	err = raw.Control(func(fd uintptr) {
		if word, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO); err == nil {
			binary.NativeEndian.PutUint32(info[:], uint32(word))
		}
	})
	return err != nil || info[0] == tcpClose || info[0] == tcpCloseWait
}
