// Package socket inspects connections and errors at a lower level than package net: whether a
// connection has unread bytes, whether the peer has closed it, and whether this machine caused an
// error. The package keeps no state. All functions may be called from any goroutine, and none
// blocks.
package socket

import (
	"encoding/binary"
	"net"
	"syscall"
)

// Values of Linux's TCP state for a connection that is closed, and for one whose peer has shut down
// its sending side.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// PeekResult is what Peek found on a connection.
type PeekResult int8

// The results of Peek.
const (
	PeekUnknown PeekResult = iota // the peek failed because this machine lacked a resource
	PeekClosed                    // the peer has closed the connection, or it failed
	PeekNothing                   // the connection is open and has no unread bytes
	PeekUnread                    // the connection has at least one unread byte
)

// maxPeekAttempts is how often a peek is made if signals keep interrupting it.
const maxPeekAttempts = 10

// Peek reports whether a connection has unread bytes, without reading them. For a connection that
// is not a socket, as in tests, it returns PeekNothing.
func Peek(conn net.Conn) PeekResult {
	_, found := peek(conn)
	return found
}

// PeekByte returns the first unread byte of a connection, without reading it, and whether there is
// one.
func PeekByte(conn net.Conn) (first byte, unread bool) {
	first, found := peek(conn)
	return first, found == PeekUnread
}

// peek returns what Peek does and, if there is one, the first unread byte.
func peek(conn net.Conn) (first byte, found PeekResult) {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, PeekNothing
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return 0, PeekClosed
	}
	found = PeekClosed
	var one [1]byte
	// Control is used because RawConn.Read would wait for a goroutine that reads from the
	// connection.
	err = raw.Control(func(fd uintptr) {
		for range maxPeekAttempts {
			n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if found = peekResult(n, err); err != syscall.EINTR {
				return
			}
		}
	})
	if err != nil {
		return 0, PeekClosed
	}
	return one[0], found
}

// peekResult returns the PeekResult for the return values of a peeking recvfrom. EAGAIN and EINTR
// mean that nothing is unread. After any other error of this machine the state of the connection is
// unknown.
func peekResult(n int, err error) PeekResult {
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return PeekNothing
	case err != nil && IsLocalError(err):
		return PeekUnknown
	case err == nil && n > 0:
		return PeekUnread
	}
	return PeekClosed
}

// PeerClosed reports whether the peer has shut down its sending side. Earlier bytes may still be
// unread. If there are any, or if the peek failed, the TCP state of the connection decides.
func PeerClosed(conn net.Conn) bool {
	switch Peek(conn) {
	case PeekClosed:
		return true
	case PeekNothing:
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
