package agenttest

import (
	"bytes"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// ScriptedConn is a connection to a backend that delivers a response in reads of one byte, and fails
// at one byte of the request or of the response. It is for one goroutine.
type ScriptedConn struct {
	net.Conn
	Response    []byte        // what is still to be read; behind it comes an io.EOF
	Errno       syscall.Errno // of the read or the write that fails; 0: a write is short without an error
	WriteLimit  int           // bytes that are written before a write fails; below 0: none fails
	ReadLimit   int           // the same of reads
	BeforeWrite func()        // called ahead of each write; may be nil
	Written     bytes.Buffer
	Closed      bool
}

// NewScriptedConn returns a connection that delivers the response and doesn't fail.
func NewScriptedConn(response string) *ScriptedConn {
	return &ScriptedConn{Response: []byte(response), WriteLimit: -1, ReadLimit: -1}
}

// Write takes all bytes, or those up to WriteLimit.
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

// Read delivers one byte of the response.
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

// Close notes that the connection is closed.
func (c *ScriptedConn) Close() error { c.Closed = true; return nil }

// SetDeadline does nothing.
func (c *ScriptedConn) SetDeadline(time.Time) error { return nil }
