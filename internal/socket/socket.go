// Package socket looks at connections and errors below what package net offers: whether bytes wait
// unread, whether the peer has closed, and which errors are this machine's own. It keeps no state;
// all functions may be called from any goroutine and none of them blocks.
package socket

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

// PeekResult says what Peek found on a connection.
type PeekResult int8

// The results of Peek.
const (
	PeekUnknown PeekResult = iota // the look failed for want of a resource of this machine
	PeekClosed                    // the peer has closed, or the connection failed
	PeekNothing                   // nothing is unread, and the connection is up
	PeekUnread                    // at least one unread byte
)

// maxPeekAttempts is how often a look that a signal interrupts is made.
const maxPeekAttempts = 10

// Peek reports what waits unread on a connection, without reading it. A connection that is not of
// the operating system, as in tests, has nothing unread.
func Peek(conn net.Conn) PeekResult {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return PeekNothing
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return PeekClosed
	}
	found := PeekClosed
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
		return PeekClosed
	}
	return found
}

// peekResult returns the PeekResult of a recvfrom that peeks. An error
// that is this machine's own says nothing of the connection.
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

// PeerClosed reports whether the peer has shut down its sending side. Bytes from before may wait
// unread: with these, and where the look failed, the state of the connection decides.
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
