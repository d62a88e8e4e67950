package agenttest

import (
	"bytes"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// ScriptedConn is a connection to a backend that delivers a response one byte per read. It can fail
// at a chosen byte of the request or of the response. Only one goroutine may use it.
type ScriptedConn struct {
	net.Conn
	Response    []byte        // bytes that are still to be read; io.EOF follows
	Errno       syscall.Errno // error of the failing read or write; 0: the write is short without an error
	WriteLimit  int           // bytes that a write takes before it fails; negative: no write fails
	ReadLimit   int           // bytes that can still be read before reads fail; negative: no read fails
	BeforeWrite func()        // called before each write; may be nil
	Written     bytes.Buffer  // bytes that have been written
	Closed      bool
}

// NewScriptedConn returns a connection that delivers the response and never fails.
func NewScriptedConn(response string) *ScriptedConn {
	return &ScriptedConn{Response: []byte(response), WriteLimit: -1, ReadLimit: -1}
}

// Write records the data in Written. If WriteLimit isn't negative, it records at most that many
// bytes and then fails with Errno, or returns a short count without an error if Errno is 0.
func (c *ScriptedConn) Write(data []byte) (int, error) {
	if c.BeforeWrite != nil {
		c.BeforeWrite()
	}
	n := len(data)
	if c.WriteLimit >= 0 {
		n = min(n, c.WriteLimit)
	}
	c.Written.Write(data[:n])
	if c.WriteLimit >= 0 && c.Errno != 0 {
		return n, &net.OpError{Op: "write", Err: os.NewSyscallError("write", c.Errno)}
	}
	return n, nil
}

// Read returns the next byte of the response. It fails with Errno once ReadLimit is 0.
func (c *ScriptedConn) Read(buffer []byte) (int, error) {
	if c.ReadLimit == 0 {
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", c.Errno)}
	}
	if len(c.Response) == 0 {
		return 0, io.EOF
	}
	c.ReadLimit--
	buffer[0], c.Response = c.Response[0], c.Response[1:]
	return 1, nil
}

// Close sets Closed.
func (c *ScriptedConn) Close() error { c.Closed = true; return nil }

// SetDeadline does nothing.
func (c *ScriptedConn) SetDeadline(time.Time) error { return nil }
