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

// listening reports whether the agent still accepts connections.
func listening(base string) bool {
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err == nil {
		conn.Close()
	}
	return err == nil
}

// A shutdown waits for a request whose head was read, also if nothing else is in progress: it came
// on an accepted connection.
func TestLeaveWaitsForWhatIsBeingRead(t *testing.T) {
	addr, _ := counted(t, 200, false)
	agent, base, stop, ended := start(t, agenttest.Config(nowhere, addr))
	conn := dial(t, base)
	text := strings.Replace(raw("order", "late"), "\r\n\r\n", "\r\nContent-Length: 8\r\n\r\n", 1)
	stop()
	agenttest.Eventually(t, "leaving", func() bool { return agent.shutdownAt.Load() != nil })
	io.WriteString(conn, text+"half")
	agenttest.Eventually(t, "no more connections", func() bool { return !listening(base) })
	// Far longer than shutdownSettleTime: an agent that didn't wait would have ended.
	select {
	case err := <-ended:
		t.Errorf("ended with half a request read: %v", err)
	case <-time.After(4 * shutdownSettleTime):
	}
	io.WriteString(conn, "rest")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || !resp.Close {
		t.Fatalf("got %v, %v; want an answer and the connection's end", resp, err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// A request so late after SIGTERM that SIGKILL might find it unanswered is rejected at once and not
// forwarded.
func TestLateRequestsAreRefused(t *testing.T) {
	addr, came := counted(t, 200, false)
	agent, base, _, _ := start(t, agenttest.Config(nowhere, addr))
	long := time.Now().Add(-shutdownRejectAfter)
	agent.shutdownAt.Store(&long)
	status, _, head := do(t, call(base, "order"))
	if status != http.StatusServiceUnavailable || head.Get("Retry-After") != "0.6" || len(came) > 0 {
		t.Fatalf("answered %d, Retry-After %q, %d sent on", status, head.Get("Retry-After"), len(came))
	}
}

// SIGTERM before the agent serves, with no request in progress, ends it without an error.
func TestLeaveBeforeServing(t *testing.T) {
	agent := newAgent(t, agenttest.Config(nowhere))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := agent.Serve(ctx, ln); err != nil {
		t.Fatal(err)
	}
}

// After SIGTERM requests on new connections are still answered, those in progress are finished, and
// the agent ends without an error.
func TestLeave(t *testing.T) {
	got, release := make(chan struct{}, 2), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- struct{}{}
		<-release
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(backend.Close)
	agent, base, stop, ended := start(t, agenttest.Config(nowhere, backend.Listener.Addr().String()))
	answers := make(chan *http.Response, 2)
	ask := func() {
		resp, err := http.DefaultTransport.RoundTrip(call(base, "look"))
		if err != nil {
			t.Error(err)
		}
		answers <- resp
	}
	go ask()
	<-got
	stop()
	for agent.shutdownAt.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	go ask() // on a new connection, as the first is in use
	<-got
	close(release)
	for range 2 {
		if resp := <-answers; resp == nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("answered %v, want 200 with Connection: close", resp)
		}
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
