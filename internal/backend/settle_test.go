package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/socket"
	"ploverreel/policy"
)

// settlingConn is the only connection to a backend, together with an attempt that waits for it. The
// connection settles until the test ends the wait.
type settlingConn struct {
	conns    *Conns
	conn     *pooledConn
	attempt  *Attempt
	result   chan Result
	settled  chan time.Time // closed to end the wait
	surplus  chan string    // what the backend writes besides its responses
	requests chan string    // the ids of the requests that the backend received
}

// newSettlingConn returns a settlingConn that has served one request.
func newSettlingConn(t *testing.T) *settlingConn {
	t.Helper()
	s := &settlingConn{settled: make(chan time.Time), surplus: make(chan string), requests: make(chan string, 10)}
	addr := agenttest.RawBackend(t, s.serve)
	t.Cleanup(func() { close(s.surplus) })
	pool := newTestPool()
	waiting := make(chan struct{}, 10)
	pool.after = func(time.Duration) <-chan time.Time {
		waiting <- struct{}{}
		return s.settled
	}
	s.conns = pool.NewConns(addr)
	t.Cleanup(s.conns.CloseIdle)
	if got := runAttempt(s.conns); got.Status != policy.StatusOK {
		t.Fatalf("got status %d, want %d", got.Status, policy.StatusOK)
	}
	s.conns.keepSettling()
	s.conn = s.conns.idle[0]
	<-s.requests
	s.attempt = newTestAttempt(s.conns, http.MethodPost, agenttest.LongTimeout)
	s.attempt.request.RequestID = "next"
	s.result = startAttempt(s.attempt)
	<-waiting
	return s
}

// serve answers all requests. From the first response on, it also writes each surplus text that it
// receives.
func (s *settlingConn) serve(conn net.Conn, reader *bufio.Reader) {
	for {
		request, err := agenttest.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests <- request.Header.Get("Request-Id")
		io.WriteString(conn, agenttest.OKResponse)
		go func() {
			for text := range s.surplus {
				io.WriteString(conn, text)
			}
		}()
	}
}

// A second response that arrives some milliseconds after the first must not be mistaken for the
// response to the next request.
func TestLateSecondResponseIsNotUsedForNextRequest(t *testing.T) {
	s := newSettlingConn(t)
	s.surplus <- strings.Replace(agenttest.OKResponse, "done", "gone", 1)
	agenttest.Eventually(t, "the second response arrived", func() bool { return socket.Peek(s.conn.Conn) == socket.PeekUnread })
	close(s.settled)
	if got := <-s.result; got.Status != policy.StatusOK || string(got.Body) != "done" {
		t.Fatalf("got status %d, body %q, want %d and \"done\"", got.Status, got.Body, policy.StatusOK)
	}
}

// An attempt that is cancelled while it waits for a settling connection sends nothing. The
// connection stays available to other attempts.
func TestCancelEndsWaitForSettlingConnection(t *testing.T) {
	s := newSettlingConn(t)
	s.attempt.Cancel(ErrCancelled)
	if got := <-s.result; got.Status != policy.StatusCancelled {
		t.Fatalf("got status %d, want %d", got.Status, policy.StatusCancelled)
	}
	close(s.settled)
	if len(s.requests) > 0 {
		t.Fatalf("got request %q at the backend, want none", <-s.requests)
	}
	if idle, open := s.conns.counts(); idle != 1 || open != 1 {
		t.Fatalf("got %d idle of %d connections, want 1 of 1", idle, open)
	}
}

// socketClient is a Client that reports a disconnect when the peer of its connection has closed.
type socketClient struct{ conn net.Conn }

func (c socketClient) Disconnected() bool { return socket.PeerClosed(c.conn) }

// newSocketClient returns both ends of a client's connection, the agent's end as a socketClient.
func newSocketClient(t *testing.T) (remote net.Conn, client socketClient) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	remote = agenttest.Dial(t, listener.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return remote, socketClient{conn}
}

// The check of the client is the last one before the first byte is written. Nothing is sent for a
// client that disconnected while the attempt waited, whatever it waited for.
func TestAttemptChecksClientBeforeFirstByte(t *testing.T) {
	for wait, prepare := range map[string]func(t *testing.T, disconnect func()) (*Conns, <-chan int64){
		"connect":             disconnectDuringConnect,
		"settling connection": disconnectWhileSettling,
		"extra connection":    disconnectDuringExtraConnect,
	} {
		for how, disconnect := range agenttest.Disconnects {
			t.Run(wait+", "+how, func(t *testing.T) {
				remote, client := newSocketClient(t)
				conns, read := prepare(t, func() {
					disconnect(remote)
					agenttest.Eventually(t, "the client's close arrived", client.Disconnected)
				})
				attempt := newTestAttempt(conns, http.MethodPost, agenttest.WaitTimeout)
				attempt.request.Client = client
				if got := attempt.Run(); got.Status != policy.StatusNotSent || !attempt.withdraw() {
					t.Fatalf("got status %d (%v), want %d of an attempt that never began", got.Status, got.Err, policy.StatusNotSent)
				}
				if read != nil {
					if n := <-read; n != 0 {
						t.Errorf("got %d bytes at the backend, want 0", n)
					}
				}
			})
		}
	}
}

// disconnectDuringConnect returns the connections to a backend. Each connect calls disconnect
// first. The number of bytes that the backend received is sent on read.
func disconnectDuringConnect(t *testing.T, disconnect func()) (conns *Conns, read <-chan int64) {
	addr, read := agenttest.ByteCountingBackend(t)
	pool := newTestPool()
	dial := pool.DialContext
	pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		disconnect()
		return dial(ctx, network, addr)
	}
	return pool.NewConns(addr), read
}

// disconnectWhileSettling returns the connections to a backend. There is one, which settles until
// disconnect has been called.
func disconnectWhileSettling(t *testing.T, disconnect func()) (*Conns, <-chan int64) {
	conns, _, settled := newExtraConns(t)
	serveOne(t, conns)
	conns.keepSettling()
	conns.pool.settings.ExtraConns = false
	go func() {
		disconnect()
		settled <- time.Now()
	}()
	return conns, nil
}

// disconnectDuringExtraConnect returns the connections to a backend. There is one, which settles.
// disconnect is called while an extra connection is being opened.
func disconnectDuringExtraConnect(t *testing.T, disconnect func()) (*Conns, <-chan int64) {
	conns, dialer, _ := newExtraConns(t)
	serveOne(t, conns)
	conns.keepSettling()
	dialer.held = make(chan struct{})
	go func() {
		agenttest.Eventually(t, "an extra connection is being opened", func() bool { return dialer.calls.Load() == 2 })
		disconnect()
		close(dialer.held)
	}()
	return conns, nil
}
