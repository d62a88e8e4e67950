package backend

import (
	"bufio"
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

// resting makes a backend's connections with one at rest, for which an attempt waits until the test
// ends the rest. The backend writes what the test sends on beyond, besides its answers.
func resting(t *testing.T) (g *Conns, kept *pooledConn, waits *Attempt, done chan Result, rested chan time.Time, beyond, came chan string) {
	beyond, came = make(chan string), make(chan string, 10)
	addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			req, err := agenttest.ReadRequest(reader)
			if err != nil {
				return
			}
			came <- req.Header.Get("Request-Id")
			io.WriteString(conn, agenttest.OKAnswer)
			go func() {
				for text := range beyond {
					io.WriteString(conn, text)
				}
			}()
		}
	})
	t.Cleanup(func() { close(beyond) })
	backendPool := testPool()
	rested = make(chan time.Time)
	asked := make(chan struct{}, 10)
	backendPool.after = func(time.Duration) <-chan time.Time {
		asked <- struct{}{}
		return rested
	}
	g = backendPool.NewConns(addr)
	t.Cleanup(g.CloseIdle)
	if res := newAttempt(g, http.MethodPost, agenttest.Never).Run(); res.Status != policy.StatusOK {
		t.Fatalf("ended %d", res.Status)
	}
	backendPool.mu.Lock()
	kept = g.idle[0]
	kept.since = time.Now().Add(agenttest.Never) // so that it rests however slow the test is
	backendPool.mu.Unlock()
	<-came
	waits = newAttempt(g, http.MethodPost, agenttest.Never)
	waits.request.RequestID = "next"
	done = make(chan Result, 1)
	go func() { done <- waits.Run() }()
	<-asked
	return g, kept, waits, done, rested, beyond, came
}

// A second answer some milliseconds after the first must not be taken for that to the next request
// on the connection.
func TestLateSecondAnswer(t *testing.T) {
	_, kept, _, done, rested, beyond, _ := resting(t)
	beyond <- strings.Replace(agenttest.OKAnswer, "done", "gone", 1)
	agenttest.Eventually(t, "the second answer there", func() bool { return socket.Peek(kept.Conn) == socket.PeekUnread })
	close(rested)
	if res := <-done; res.Status != policy.StatusOK || string(res.Body) != "done" {
		t.Fatalf("ended %d with the body %q", res.Status, res.Body)
	}
}

// An attempt that waits for a connection at rest ends with its request, sends nothing, and leaves
// the connection to other attempts.
func TestLeavingEndsTheRest(t *testing.T) {
	g, _, waits, done, rested, _, came := resting(t)
	waits.Cancel(ErrCancelled)
	if res := <-done; res.Status != policy.StatusCancelled {
		t.Fatalf("ended %d", res.Status)
	}
	close(rested)
	if len(came) > 0 {
		t.Fatalf("the backend got %q", <-came)
	}
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	if len(g.idle) != 1 || g.pool.open != 1 {
		t.Fatalf("%d connections at rest, %d open", len(g.idle), g.pool.open)
	}
}
