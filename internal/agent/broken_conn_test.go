package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/socket"
	"ploverreel/policy"
)

// scriptedConn is a connection to a backend that gives its answer in reads of one byte, and fails
// at one byte of the request or of the answer.
type scriptedConn struct {
	net.Conn
	answer   []byte
	err      error
	writeEnd int // bytes that are written before a write fails; below 0: none fails
	readEnd  int // the same of reads
	written  bytes.Buffer
	closed   bool
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	n := len(p)
	if c.writeEnd >= 0 {
		n = min(n, c.writeEnd)
	}
	c.written.Write(p[:n])
	if c.writeEnd >= 0 && c.err != nil {
		return n, &net.OpError{Op: "write", Err: os.NewSyscallError("write", c.err.(syscall.Errno))}
	}
	return n, nil
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.readEnd == 0 {
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", c.err.(syscall.Errno))}
	}
	if len(c.answer) == 0 {
		return 0, io.EOF
	}
	c.readEnd--
	p[0], c.answer = c.answer[0], c.answer[1:]
	return 1, nil
}

func (c *scriptedConn) Close() error                { c.closed = true; return nil }
func (c *scriptedConn) SetDeadline(time.Time) error { return nil }

// answerToTheEnd is an answer that lasts to the end of its connection.
const answerToTheEnd = "HTTP/1.1 200 OK\r\n\r\ndone"

// errnosOfConnections are the ways in which a connection may break under a read or a write.
var errnosOfConnections = []syscall.Errno{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM, syscall.EIO}

// runOn runs an attempt on the connection.
func runOn(c *scriptedConn, method string) result {
	pool := testPool()
	pool.connect = func(context.Context, string, string) (net.Conn, error) { return c, nil }
	return newAttempt(pool.newBackendConns("127.0.0.1:1"), method, agenttest.Never).run() // an hour: Request-Timeout keeps its length
}

// A request of which the last byte was not written never ran; one that was written whole may have
// run, whatever its write or the reads of its answer then come to; a whole answer in the smallest
// reads is one. What broke is closed.
func TestConnectionsThatBreakAtEachByte(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		whole := &scriptedConn{answer: []byte(okAnswer), writeEnd: -1, readEnd: -1}
		if res := runOn(whole, method); res.status != policy.StatusOK || string(res.body) != "done" || whole.closed {
			t.Fatalf("%s: ended %d %q, closed %v", method, res.status, res.body, whole.closed)
		}
		request := whole.written.Len()
		for _, errno := range errnosOfConnections {
			for at := range request + 1 {
				c := &scriptedConn{answer: []byte(okAnswer), err: errno, writeEnd: at, readEnd: -1}
				res := runOn(c, method)
				switch {
				case at < request && !res.status.NeverRan():
					t.Errorf("%s: %v at byte %d of %d written: ended %d", method, errno, at, request, res.status)
				case at == request && res.status != policy.StatusReset:
					t.Errorf("%s: %v with all %d bytes written: ended %d", method, errno, request, res.status)
				case at < request && socket.IsLocalError(errno) != (res.status == policy.StatusLocalFailure):
					t.Errorf("%s: %v at byte %d written: ended %d", method, errno, at, res.status)
				case !c.closed:
					t.Errorf("%s: %v at byte %d written: the connection is kept", method, errno, at)
				}
			}
			for _, answer := range []string{okAnswer, answerToTheEnd + "\n"} { // the last byte there is the end
				for at := range len(answer) {
					c := &scriptedConn{answer: []byte(answer), err: errno, writeEnd: -1, readEnd: at}
					if res := runOn(c, method); res.status != policy.StatusReset || !c.closed {
						t.Errorf("%s: %v at byte %d read of %q: ended %d, closed %v", method, errno, at, answer, res.status, c.closed)
					}
				}
			}
		}
	}
}

// A write that takes less than the request and returns no error has not sent it whole.
func TestShortWriteWithoutError(t *testing.T) {
	c := &scriptedConn{answer: []byte(okAnswer), writeEnd: 10, readEnd: -1}
	if res := runOn(c, http.MethodPost); res.status != policy.StatusConnectFailed || !c.closed {
		t.Errorf("ended %d, closed %v", res.status, c.closed)
	}
}
