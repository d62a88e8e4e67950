package agenttest

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// FailingListener is a listener whose next RemainingFailures accepts fail. After them it accepts as
// the embedded listener does.
type FailingListener struct {
	net.Listener
	Errno             syscall.Errno // error of the failing accepts
	RemainingFailures *atomic.Int32 // number of accepts that are still to fail
}

// Accept fails while RemainingFailures is above 0. Otherwise it accepts from the embedded listener.
func (l FailingListener) Accept() (net.Conn, error) {
	if l.RemainingFailures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.Errno)}
	}
	return l.Listener.Accept()
}

// Fault describes how a connection fails. Once the given number of bytes has been read or written,
// each further read or write returns Errno.
type Fault struct {
	Errno                     syscall.Errno
	ReadFailsAt, WriteFailsAt int64 // number of bytes before the failure; -1: no failure
}

// NoFault is the Fault of a connection that doesn't fail.
var NoFault = Fault{ReadFailsAt: -1, WriteFailsAt: -1}

// FaultyListener accepts connections that read and write one byte at a time. Each connection has
// the fault that NextFault holds when it is accepted.
type FaultyListener struct {
	net.Listener
	NextFault *atomic.Pointer[Fault]
}

// Accept accepts a connection and gives it the current NextFault.
func (l FaultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: conn, fault: *l.NextFault.Load()}, nil
}

// faultyConn is a connection that a FaultyListener accepted.
type faultyConn struct {
	net.Conn
	fault         Fault
	read, written atomic.Int64 // bytes so far
}

func (c *faultyConn) Read(buffer []byte) (int, error) {
	if c.fault.ReadFailsAt >= 0 && c.read.Load() >= c.fault.ReadFailsAt {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.fault.Errno)}
	}
	n, err := c.Conn.Read(buffer[:min(len(buffer), 1)])
	c.read.Add(int64(n))
	return n, err
}

func (c *faultyConn) Write(data []byte) (int, error) {
	for i := range data {
		if c.fault.WriteFailsAt >= 0 && c.written.Load() >= c.fault.WriteFailsAt {
			return i, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.fault.Errno)}
		}
		if n, err := c.Conn.Write(data[i : i+1]); err != nil {
			return i + n, err
		}
		c.written.Add(1)
	}
	return len(data), nil
}
