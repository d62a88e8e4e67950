package agent

import (
	"encoding/binary"
	"net"
	"syscall"
)

// The states of Linux's TCP in which the peer has ended its sending, or the connection.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// unknown is what a look at a connection tells that this machine could not make.
const unknown = -2

// pending looks what waits unread on a connection: -1 its end, 0 nothing, 1 bytes, or unknown.
func peekConn(c net.Conn) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return -1
	}
	found := -1
	// Control, as Read would wait for the one that reads from the connection.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		for range interruptedLooks {
			n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if found = seen(n, err); err != syscall.EINTR {
				return
			}
		}
	})
	if err != nil {
		return -1
	}
	return found
}

// interruptedLooks is how often a look that a signal interrupts is made.
const interruptedLooks = 10

// seen tells what a look at a connection found, as pending does. What failed on this machine for
// want of memory says nothing of the connection.
func seen(n int, err error) int {
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return 0
	case err != nil && isLocalError(err):
		return unknown
	case err == nil && n > 0:
		return 1
	}
	return -1
}

// ended tells whether the peer has ended its sending on a connection, though bytes from
// before may wait unread: with these, and without a look, only the connection's state tells.
func peerClosed(c net.Conn) bool {
	switch peekConn(c) {
	case -1:
		return true
	case 0:
		return false
	}
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	var info [4]byte // the state is the first byte
	err = raw.Control(func(fd uintptr) {
		if word, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO); err == nil {
			binary.NativeEndian.PutUint32(info[:], uint32(word))
		}
	})
	return err != nil || info[0] == tcpClose || info[0] == tcpCloseWait
}
