package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/socket"
	"ploverreel/policy"
)

// copyForOther is a response to another request than that of agenttest.OKResponse.
var copyForOther = strings.Replace(agenttest.OKResponse, "done", "gone", 1)

// Guards against a response that is served in part because its length is too short. The body's rest
// arrives with the response, whatever its framing and status are.
func TestAttemptDiscardsResponseWhoseLengthIsTooShort(t *testing.T) {
	longBody := strings.Repeat("x", 20_000) // exceeds the reader's buffer
	for _, c := range []struct {
		name, response string
		want           policy.Status
	}{
		{"half the body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone in part", policy.StatusReset},
		{"all but one byte", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone.", policy.StatusReset},
		{"no body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\ndone", policy.StatusReset},
		{"half a long body", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(longBody)/2, longBody), policy.StatusReset},
		{"chunks that end early", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n in part", policy.StatusReset},
		{"500", "HTTP/1.1 500 No\r\nContent-Length: 1\r\n\r\nerror", policy.StatusReset},
		{"503 not started", "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 1\r\n\r\nfull", policy.StatusReset},
		{"noise behind the body", agenttest.OKResponse + "\x00noise", policy.StatusReset},
		{"response to another request behind", agenttest.OKResponse + copyForOther, policy.StatusReset},
		{"half of a second copy", agenttest.OKResponse + agenttest.OKResponse[:len(agenttest.OKResponse)-1], policy.StatusReset},
		{"head without length behind", agenttest.OKResponse + responseWithoutLength, policy.StatusReset},
		{"second copy", agenttest.OKResponse + agenttest.OKResponse, policy.StatusOK},
		{"two further copies", strings.Repeat(agenttest.OKResponse, 3), policy.StatusOK},
		{"second copy of a 500", strings.Repeat("HTTP/1.1 500 No\r\nContent-Length: 1\r\n\r\nx", 2), policy.StatusServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			conns := newTestPool().NewConns(agenttest.RawBackend(t, agenttest.AnswerAll(c.response)))
			defer conns.CloseIdle()
			conns.pool.DialContext = dialWhole(t, conns.pool.DialContext, len(c.response))
			got := runAttempt(conns)
			if got.Status != c.want {
				t.Errorf("got status %d (%v), want %d", got.Status, got.Err, c.want)
			}
			if ok := c.want == policy.StatusOK; (string(got.Body) == "done") != ok {
				t.Errorf("got body %q, want \"done\" with status %d alone", got.Body, policy.StatusOK)
			}
			if _, open := conns.counts(); open != 0 {
				t.Errorf("got %d connections open, want 0", open)
			}
		})
	}
}

// Guards against the response to an earlier request, sent once more, that is served as the response
// to the next one, whose own response follows it.
func TestAttemptDiscardsCopyOfEarlierResponse(t *testing.T) {
	addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		answers := []string{agenttest.OKResponse, agenttest.OKResponse + copyForOther}
		for _, answer := range answers {
			if _, err := agenttest.ReadRequest(reader); err != nil {
				return
			}
			io.WriteString(conn, answer)
		}
		io.Copy(io.Discard, reader)
	})
	conns := newTestPool().NewConns(addr)
	defer conns.CloseIdle()
	for i, want := range []policy.Status{policy.StatusOK, policy.StatusReset} {
		if got := runAttempt(conns); got.Status != want {
			t.Fatalf("attempt %d: got status %d with %q, want %d", i, got.Status, got.Body, want)
		}
	}
}

// wholeConn is a connection whose first read waits until all bytes of a response have arrived.
type wholeConn struct {
	*net.TCPConn
	t      *testing.T
	length int // of the response, in bytes
	once   sync.Once
}

func (c *wholeConn) Read(buffer []byte) (int, error) {
	c.once.Do(func() {
		agenttest.Eventually(c.t, "the whole response arrived", func() bool { return c.unread() == c.length })
	})
	return c.TCPConn.Read(buffer)
}

// unread returns the number of unread bytes, up to one more than the length of the response.
func (c *wholeConn) unread() (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, c.length+1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n
}

// dialWhole returns a DialFunc for connections whose first read waits for length bytes.
func dialWhole(t *testing.T, dial DialFunc, length int) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &wholeConn{TCPConn: conn.(*net.TCPConn), t: t, length: length}, nil
	}
}

// Surplus bytes that a backend sends after a response must not be mistaken for the response to the
// next request. The connection is not reused, whether they arrive with the response or after it.
func TestSurplusBytesAreNotUsedForNextRequest(t *testing.T) {
	for name, surplus := range map[string]string{"second response": copyForOther, "noise": "\x00noise"} {
		t.Run(name+" with the response", func(t *testing.T) {
			conns := newTestPool().NewConns(agenttest.RawBackend(t, agenttest.AnswerAll(agenttest.OKResponse+surplus)))
			defer conns.CloseIdle()
			var running sync.WaitGroup
			for range 8 {
				running.Add(1)
				go func() {
					defer running.Done()
					for range 50 {
						if got := runAttempt(conns); got.Status != policy.StatusReset || got.Body != nil {
							t.Errorf("got status %d, body %q, want %d and none", got.Status, got.Body, policy.StatusReset)
						}
					}
				}()
			}
			running.Wait()
		})
		t.Run(name+" behind the response", func(t *testing.T) {
			answered := make(chan struct{})
			addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := agenttest.ReadRequest(reader); err != nil {
					return
				}
				io.WriteString(conn, agenttest.OKResponse)
				<-answered
				io.WriteString(conn, surplus)
				io.Copy(io.Discard, reader)
			})
			conns := newTestPool().NewConns(addr)
			defer conns.CloseIdle()
			for range 50 {
				if got := runAttempt(conns); got.Status != policy.StatusOK || string(got.Body) != "done" {
					t.Fatalf("got status %d, body %q, want %d and \"done\"", got.Status, got.Body, policy.StatusOK)
				}
				idle := conns.idle[0]
				answered <- struct{}{}
				agenttest.Eventually(t, "the surplus arrived", func() bool { return socket.Peek(idle.Conn) == socket.PeekUnread })
			}
		})
	}
}
