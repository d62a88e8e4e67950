package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"ploverreel/internal/agenttest"
)

// rejectingBackend is a fake backend that rejects its only request when the test allows it.
type rejectingBackend struct {
	addr     string
	received chan struct{} // closed once the request has arrived
	release  chan struct{} // closed by the test to have the request rejected
}

func startRejectingBackend(t *testing.T) *rejectingBackend {
	t.Helper()
	b := &rejectingBackend{received: make(chan struct{}), release: make(chan struct{})}
	b.addr = agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := agenttest.ReadRequest(reader); err == nil {
			close(b.received)
			<-b.release
			io.WriteString(conn, "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	return b
}

// unansweredAddr is the address of a backend that accepts no connection. Connects to it are blocked
// by blockConnects.
const unansweredAddr = "127.0.0.1:1"

// blockConnects blocks an agent's connects to unansweredAddr until their contexts end. began is
// closed when a connect begins, and ended when it has ended.
func blockConnects(agent *Agent) (began, ended chan struct{}) {
	began, ended = make(chan struct{}), make(chan struct{})
	connect := agent.loop.pool.DialContext
	agent.loop.pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr != unansweredAddr {
			return connect(ctx, network, addr)
		}
		close(began)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}
	return began, ended
}

// checkNextServed checks that the agent serves another client next, and that its request is the
// first one to reach the backend.
func checkNextServed(t *testing.T, base string, received chan string) {
	t.Helper()
	if status, _, _ := do(t, newClientRequest(base, "order")); status != 200 {
		t.Fatalf("got status %d for the next client, want 200", status)
	}
	if id := <-received; id == "left" {
		t.Fatalf("got request %q forwarded, want only that of the next client", id)
	}
}

// checkNothingForwarded waits until no request is in progress, and fails the test if a backend
// received one.
func checkNothingForwarded(t *testing.T, agent *Agent, received chan string) {
	t.Helper()
	agenttest.Eventually(t, "no request in progress", func() (none bool) {
		agent.inspect(func(l *loop) { none = len(l.requests) == 0 })
		return none
	})
	if len(received) > 0 {
		t.Fatalf("got request %q forwarded for a client that has disconnected, want none", <-received)
	}
}

// The request of a client that has disconnected is not forwarded. This holds wherever the request
// waits, whether or not the settings allow cancellation, and whether or not more bytes arrived
// before the close.
func TestAgentForwardsNothingForDisconnectedClient(t *testing.T) {
	for _, more := range []struct{ name, text string }{
		{"nothing sent after it", ""},
		{"a byte sent after it", "G"},
		{"a request sent after it", agenttest.RequestText("look", "other")},
		{"1000 requests sent after it", strings.Repeat(agenttest.RequestText("look", "other"), 1000)},
	} {
		for _, cancelling := range []bool{true, false} {
			for _, wait := range []string{"capacity", "connect", "retry"} {
				t.Run(fmt.Sprintf("waits for %s, %s, cancelling %v", wait, more.name, cancelling), func(t *testing.T) {
					testDisconnect(t, wait, more.text, cancelling)
				})
			}
		}
	}
}

// testDisconnect lets a client disconnect after sending some more bytes, while its request waits
// for capacity, a connect or a retry.
func testDisconnect(t *testing.T, wait, more string, cancelling bool) {
	backend, received := agenttest.IDBackend(t, 200, false)
	rejecting := startRejectingBackend(t)
	conf := agenttest.Config(refusingAddr, map[string][]string{"capacity": nil, "connect": {unansweredAddr}, "retry": {rejecting.addr}}[wait]...)
	conf["settings"].(map[string]any)["limits"].(map[string]any)["cancelling"] = cancelling
	agent, base, _, _ := startAgent(t, conf)
	connectBegan, connectEnded := blockConnects(agent)
	conn := agenttest.Dial(t, base)
	io.WriteString(conn, agenttest.RequestText("order", "left"))
	agenttest.Eventually(t, "the request in progress", func() bool { return agent.hasOpenRequest("left") })
	switch wait {
	case "connect":
		<-connectBegan
	case "retry":
		<-rejecting.received
		agent.applyList(2) // no backend remains
		close(rejecting.release)
		agenttest.Eventually(t, "the attempt ended", func() bool { return agent.hasNoAttempt("left") })
	}
	io.WriteString(conn, more)
	conn.Close()
	if wait == "connect" {
		agenttest.Receive(t, connectEnded, "the end of the connect for a client that has disconnected")
	}
	agenttest.Eventually(t, "the disconnect handled", func() bool { return !agent.hasOpenRequest("left") })
	agent.applyList(3, readyHost(9, backend))
	checkNextServed(t, base, received)
}

// A client that only shut down its sending side may still read. It is sent an error, and never a
// 200 that no backend sent.
func TestAgentAnswers502ToHalfClosedClient(t *testing.T) {
	got := make(chan struct{})
	addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := agenttest.ReadRequest(reader); err == nil {
			close(got)
			reader.ReadByte() // returns when the agent closes the connection
		}
	})
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	conn := agenttest.Dial(t, base)
	io.WriteString(conn, agenttest.RequestText("order", "half"))
	<-got
	conn.(*net.TCPConn).CloseWrite()
	if got := agenttest.ReadToEnd(t, conn); !strings.HasPrefix(got, "HTTP/1.1 502") || strings.Count(got, "HTTP/1.1") != 1 {
		t.Fatalf("got %q, want one response with status 502", got)
	}
}

// Requests that are read while another one is in progress are answered in order, and none is lost.
func TestAgentAnswersPipelinedRequestsInOrder(t *testing.T) {
	received, release := make(chan string, 10), make(chan struct{})
	addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			req, err := agenttest.ReadRequest(reader)
			if err != nil {
				return
			}
			received <- req.Header.Get("Request-Id")
			<-release
			io.WriteString(conn, agenttest.OKResponse)
		}
	})
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	conn := agenttest.Dial(t, base)
	io.WriteString(conn, agenttest.RequestText("order", "p1"))
	if id := <-received; id != "p1" {
		t.Fatalf("got request %q first, want p1", id)
	}
	io.WriteString(conn, agenttest.RequestText("order", "p2")+agenttest.RequestText("order", "p3"))
	close(release)
	reader := bufio.NewReader(conn)
	for range 3 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("got %v, want three responses", err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || string(body) != "done" {
			t.Fatalf("got %d %q, %v; want 200 %q", resp.StatusCode, body, err, "done")
		}
	}
	if second, third := <-received, <-received; second != "p2" || third != "p3" {
		t.Fatalf("got requests %q and %q, want p2 and p3", second, third)
	}
}
