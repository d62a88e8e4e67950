package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// accepts reports whether the agent still accepts connections.
func accepts(base string) bool {
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err == nil {
		conn.Close()
	}
	return err == nil
}

// startBlockingBackend starts a backend that answers after release is closed, and sends the
// Request-Timeout of each request on received.
func startBlockingBackend(t *testing.T) (addr string, received chan string, release chan struct{}) {
	t.Helper()
	received, release = make(chan string, 10), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header.Get("Request-Timeout")
		<-release
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), received, release
}

// awaitEnd waits for the agent to end, and checks that it ends without an error.
func awaitEnd(t *testing.T, ended <-chan error) {
	t.Helper()
	if err := agenttest.Receive(t, ended, "the agent's end"); err != nil {
		t.Fatalf("the agent ended with %v, want no error", err)
	}
}

// A shutdown waits for a request whose head was read even if nothing else is in progress, as the
// request arrived on an accepted connection.
func TestShutdownWaitsForRequestBeingRead(t *testing.T) {
	addr, _ := agenttest.IDBackend(t, 200, false)
	agent, base, stop, ended := startAgent(t, agenttest.Config(refusingAddr, addr))
	conn := agenttest.Dial(t, base)
	text := strings.Replace(agenttest.RequestText("order", "late"), "\r\n\r\n", "\r\nContent-Length: 8\r\n\r\n", 1)
	stop()
	agenttest.Eventually(t, "the shutdown begun", func() bool { return agent.shutdownAt.Load() != nil })
	io.WriteString(conn, text+"half")
	agenttest.Eventually(t, "no connections accepted", func() bool { return !accepts(base) })
	// This is far longer than shutdownReadGrace: an agent that didn't wait would have ended.
	select {
	case err := <-ended:
		t.Errorf("the agent ended with %v while a request was being read, want it to wait", err)
	case <-time.After(4 * shutdownReadGrace):
	}
	io.WriteString(conn, "rest")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || !resp.Close {
		t.Fatalf("got response %v, %v; want one with Connection: close", resp, err)
	}
	awaitEnd(t, ended)
}

// A request that arrives so late after SIGTERM that SIGKILL might precede its response is rejected
// at once and not forwarded.
func TestShutdownRejectsLateRequests(t *testing.T) {
	addr, received := agenttest.IDBackend(t, 200, false)
	agent, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	began := time.Now().Add(-shutdownRejectAfter)
	agent.shutdownAt.Store(&began)
	status, _, header := do(t, newClientRequest(base, "order"))
	checkRejected(t, status, header)
	if len(received) > 0 {
		t.Fatalf("got %d requests forwarded, want 0", len(received))
	}
}

// SIGTERM before the agent serves, without a request in progress, ends it without an error.
func TestShutdownBeforeServing(t *testing.T) {
	agent := newAgent(t, agenttest.Config(refusingAddr))
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := agent.Serve(ctx, newListener(t)); err != nil {
		t.Fatalf("got %v, want no error", err)
	}
}

// After SIGTERM requests on new connections are still answered, those in progress are finished, and
// the agent ends without an error.
func TestShutdownAnswersRequestsInProgress(t *testing.T) {
	addr, received, release := startBlockingBackend(t)
	agent, base, stop, ended := startAgent(t, agenttest.Config(refusingAddr, addr))
	responses := make(chan *http.Response, 2)
	send := func() {
		resp, err := http.DefaultTransport.RoundTrip(newClientRequest(base, "look"))
		if err != nil {
			t.Errorf("got %v, want a response", err)
		}
		responses <- resp
	}
	go send()
	<-received
	stop()
	agenttest.Eventually(t, "the shutdown begun", func() bool { return agent.shutdownAt.Load() != nil })
	go send() // on a new connection, as the first is in use
	<-received
	close(release)
	for range 2 {
		if resp := <-responses; resp == nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("got response %v, want 200 with Connection: close", resp)
		}
	}
	awaitEnd(t, ended)
}

// captureTimer passes the agent's timer to the test instead of starting it, and checks its delay.
func captureTimer(t *testing.T, agent *Agent, want time.Duration) (timers chan func()) {
	timers = make(chan func(), 1)
	agent.afterFunc = func(delay time.Duration, call func()) *time.Timer {
		if delay != want {
			t.Errorf("got a timer of %v, want %v", delay, want)
		}
		timers <- call
		return time.NewTimer(agenttest.LongTimeout)
	}
	return timers
}

// SIGKILL arrives 3.7 s after SIGTERM. A request that would still be unanswered then is answered
// before, and a request after SIGTERM is forwarded with at most the time until then.
func TestShutdownAnswersBeforeKill(t *testing.T) {
	const lastResponse = 3600 * time.Millisecond // after SIGTERM
	addr, received, release := startBlockingBackend(t)
	t.Cleanup(func() { close(release) })
	agent := newAgent(t, agenttest.Config(refusingAddr, addr))
	timers := captureTimer(t, agent, lastResponse)
	base, stop, ended := serveAgent(t, agent, newListener(t))
	var readers []*bufio.Reader
	open := func() net.Conn {
		conn := agenttest.Dial(t, base)
		_ = conn.SetReadDeadline(time.Now().Add(clientTimeout))
		readers = append(readers, bufio.NewReader(conn))
		return conn
	}
	io.WriteString(open(), agenttest.RequestText("order", "before"))
	<-received
	late := open()
	agenttest.Eventually(t, "both connections accepted", func() bool { return agent.clients.Count() == 2 })
	stop()
	reachDrainDeadline := <-timers
	io.WriteString(late, agenttest.RequestText("order", "after"))
	if got, err := parseTimeout(<-received, time.Minute); err != nil || got > lastResponse {
		t.Errorf("got Request-Timeout %v, %v for a request after SIGTERM; want at most %v", got, err, lastResponse)
	}
	reachDrainDeadline()
	for _, reader := range readers {
		if resp := checkResponse(t, reader, http.StatusGatewayTimeout); !resp.Close {
			t.Fatal("got a response that keeps the connection, want Connection: close")
		}
	}
	awaitEnd(t, ended)
}
