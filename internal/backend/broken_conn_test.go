package backend

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/socket"
	"ploverreel/policy"
)

// answerToTheEnd is an answer that lasts to the end of its connection.
const answerToTheEnd = "HTTP/1.1 200 OK\r\n\r\ndone"

// errnosOfConnections are the ways in which a connection may break under a read or a write.
var errnosOfConnections = []syscall.Errno{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM, syscall.EIO}

// runOn runs an attempt on the connection.
func runOn(c *agenttest.ScriptedConn, method string) Result {
	pool := testPool()
	pool.DialContext = func(context.Context, string, string) (net.Conn, error) { return c, nil }
	return newAttempt(pool.NewConns("127.0.0.1:1"), method, agenttest.Never).Run() // an hour: Request-Timeout keeps its length
}

// A request of which the last byte was not written never ran; one that was written whole may have
// run, whatever its write or the reads of its answer then come to; a whole answer in the smallest
// reads is one. What broke is closed.
func TestConnectionsThatBreakAtEachByte(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		whole := agenttest.NewScriptedConn(agenttest.OKAnswer)
		if res := runOn(whole, method); res.Status != policy.StatusOK || string(res.Body) != "done" || whole.Closed {
			t.Fatalf("%s: ended %d %q, closed %v", method, res.Status, res.Body, whole.Closed)
		}
		request := whole.Written.Len()
		for _, errno := range errnosOfConnections {
			for at := range request + 1 {
				c := &agenttest.ScriptedConn{Answer: []byte(agenttest.OKAnswer), Errno: errno, WriteEnd: at, ReadEnd: -1}
				res := runOn(c, method)
				switch {
				case at < request && !res.Status.NeverRan():
					t.Errorf("%s: %v at byte %d of %d written: ended %d", method, errno, at, request, res.Status)
				case at == request && res.Status != policy.StatusReset:
					t.Errorf("%s: %v with all %d bytes written: ended %d", method, errno, request, res.Status)
				case at < request && socket.IsLocalError(errno) != (res.Status == policy.StatusLocalFailure):
					t.Errorf("%s: %v at byte %d written: ended %d", method, errno, at, res.Status)
				case !c.Closed:
					t.Errorf("%s: %v at byte %d written: the connection is kept", method, errno, at)
				}
			}
			for _, answer := range []string{agenttest.OKAnswer, answerToTheEnd + "\n"} { // the last byte there is the end
				for at := range len(answer) {
					c := &agenttest.ScriptedConn{Answer: []byte(answer), Errno: errno, WriteEnd: -1, ReadEnd: at}
					if res := runOn(c, method); res.Status != policy.StatusReset || !c.Closed {
						t.Errorf("%s: %v at byte %d read of %q: ended %d, closed %v", method, errno, at, answer, res.Status, c.Closed)
					}
				}
			}
		}
	}
}

// A write that takes less than the request and returns no error has not sent it whole.
func TestShortWriteWithoutError(t *testing.T) {
	c := &agenttest.ScriptedConn{Answer: []byte(agenttest.OKAnswer), WriteEnd: 10, ReadEnd: -1}
	if res := runOn(c, http.MethodPost); res.Status != policy.StatusConnectFailed || !c.Closed {
		t.Errorf("ended %d, closed %v", res.Status, c.Closed)
	}
}
