package agenttest

import (
	"bytes"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// ScriptedConn is a connection to a backend that delivers an answer in reads of one byte, and fails
// at one byte of the request or of the answer. It is for one goroutine.
type ScriptedConn struct {
	net.Conn
	Answer   []byte        // what is still to be read; behind it comes an io.EOF
	Errno    syscall.Errno // of the read or the write that fails; 0: a write is short without an error
	WriteEnd int           // bytes that are written before a write fails; below 0: none fails
	ReadEnd  int           // the same of reads
	OnWrite  func()        // called ahead of each write; may be nil
	Written  bytes.Buffer
	Closed   bool
}

// NewScriptedConn returns a connection that delivers the answer and doesn't fail.
func NewScriptedConn(answer string) *ScriptedConn {
	return &ScriptedConn{Answer: []byte(answer), WriteEnd: -1, ReadEnd: -1}
}

// Write takes all bytes, or those up to WriteEnd.
func (c *ScriptedConn) Write(data []byte) (int, error) {
	if c.OnWrite != nil {
		c.OnWrite()
	}
	n := len(data)
	if c.WriteEnd >= 0 {
		n = min(n, c.WriteEnd)
	}
	c.Written.Write(data[:n])
	if c.WriteEnd >= 0 && c.Errno != 0 {
		return n, &net.OpError{Op: "write", Err: os.NewSyscallError("write", c.Errno)}
	}
	return n, nil
}

// Read delivers one byte of the answer.
func (c *ScriptedConn) Read(buffer []byte) (int, error) {
	if c.ReadEnd == 0 {
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", c.Errno)}
	}
	if len(c.Answer) == 0 {
		return 0, io.EOF
	}
	c.ReadEnd--
	buffer[0], c.Answer = c.Answer[0], c.Answer[1:]
	return 1, nil
}

// Close notes that the connection is closed.
func (c *ScriptedConn) Close() error { c.Closed = true; return nil }

// SetDeadline does nothing.
func (c *ScriptedConn) SetDeadline(time.Time) error { return nil }
