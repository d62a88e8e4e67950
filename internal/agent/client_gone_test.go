package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/endpointlist"
)

// handled waits until the loop has handled all inputs posted so far.
func (a *Agent) handled() { a.look(func(*loop) {}) }

// told posts a complete endpoint list to the loop and waits until it is applied.
func (a *Agent) told(seq int64, hosts ...endpointlist.Host) {
	a.loop.post(watchEvent{list: listOf(seq, true, hosts...)})
	a.handled()
}

func readyHost(i int, dial string) endpointlist.Host {
	return endpointlist.Host{Host: fmt.Sprint("s-", i), Dial: dial, Site: "a", Class: "k", Block: 1, Health: "ready", Share: 1}
}

// The request of a client that has disconnected is not forwarded: wherever it waits, whatever the
// settings say of cancelling, and whether or not more bytes arrived before the close.
func TestNothingIsSentForWhoLeft(t *testing.T) {
	for _, more := range []struct{ name, text string }{
		{"at once", ""},
		{"after a byte", "G"},
		{"after another request", raw("look", "other")},
		{"after a flood", strings.Repeat(raw("look", "other"), 1000)},
	} {
		for _, cancelling := range []bool{true, false} {
			for _, wait := range []string{"room", "connect", "retry"} {
				t.Run(fmt.Sprint(wait, " ", more.name, " ", cancelling), func(t *testing.T) {
					good, came := counted(t, 200, false)
					asked, turn := make(chan struct{}), make(chan struct{})
					turns := rawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
						if _, err := readRequest(reader); err == nil {
							close(asked)
							<-turn
							io.WriteString(conn, "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
						}
					})
					known := map[string][]string{"room": nil, "connect": {"127.0.0.1:1"}, "retry": {turns}}[wait]
					conf := agenttest.Config(nowhere, known...)
					conf["settings"].(map[string]any)["limits"].(map[string]any)["cancelling"] = cancelling
					agent, base, _, _ := start(t, conf)
					dialling, given := make(chan struct{}), make(chan struct{})
					plain := agent.loop.pool.DialContext
					agent.loop.pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
						if addr != "127.0.0.1:1" {
							return plain(ctx, network, addr)
						}
						close(dialling)
						<-ctx.Done()
						close(given)
						return nil, ctx.Err()
					}
					conn := dial(t, base)
					io.WriteString(conn, raw("order", "left"))
					agenttest.Eventually(t, "its request taken", func() bool { return agent.holds("left") })
					switch wait {
					case "connect":
						<-dialling
					case "retry":
						<-asked
						agent.told(2) // no endpoint remains
						close(turn)
						agenttest.Eventually(t, "its outcome", func() bool { return agent.unsent("left") })
					}
					io.WriteString(conn, more.text)
					conn.Close()
					if wait == "connect" {
						select {
						case <-given:
						case <-time.After(agenttest.NoAnswerTimeout):
							t.Fatal("still connects for a client that has left")
						}
					}
					agenttest.Eventually(t, "the leaving noticed", func() bool { return !agent.holds("left") })
					agent.told(3, readyHost(9, good))
					if status, _, _ := do(t, call(base, "order")); status != 200 {
						t.Fatalf("the next client was answered %d", status)
					}
					if id := <-came; id == "left" {
						t.Fatal("sent on for a client that has left")
					}
				})
			}
		}
	}
}

// looker is a log handler that lets a test inspect the loop's state: it runs a function in the loop's
// goroutine when the loop logs the error that look posted.
type looker struct {
	slog.Handler
	see chan func()
}

func (looker) Enabled(context.Context, slog.Level) bool { return true }

func (h looker) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "endpoint list fetch failed" {
		select {
		case see := <-h.see:
			see()
		default:
		}
	}
	return nil
}

// look runs see in the loop's goroutine, after all inputs posted so far.
func (a *Agent) look(see func(l *loop)) {
	done := make(chan struct{})
	a.log.Handler().(looker).see <- func() { see(a.loop); close(done) }
	a.loop.post(endpointsFetched{err: io.EOF})
	<-done
}

// holds reports whether the loop has the request with this id in progress.
func (a *Agent) holds(id string) (found bool) {
	a.look(func(l *loop) {
		for _, r := range l.requests {
			found = found || r.RequestID == id && !r.closed
		}
	})
	return found
}

// unsent reports whether the request with this id has no attempt in flight.
func (a *Agent) unsent(id string) (none bool) {
	a.look(func(l *loop) {
		for _, r := range l.requests {
			none = none || r.RequestID == id && r.inFlight == 0
		}
	})
	return none
}

// A client that only shut down its sending side may still read: it is sent an error, never a 200
// that no backend gave.
func TestHalfClosedClientIsToldTheTruth(t *testing.T) {
	got := make(chan struct{})
	addr := rawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err == nil {
			close(got)
			reader.ReadByte() // until it is given up
		}
	})
	_, base, _, _ := start(t, agenttest.Config(nowhere, addr))
	conn := dial(t, base)
	io.WriteString(conn, raw("order", "half"))
	<-got
	conn.(*net.TCPConn).CloseWrite()
	if said := answered(t, conn); !strings.HasPrefix(said, "HTTP/1.1 502") || strings.Count(said, "HTTP/1.1") != 1 {
		t.Fatalf("said %q", said)
	}
}

// Requests read while another is in progress are answered in order, and none is lost.
func TestWhatCameBehindIsAnswered(t *testing.T) {
	got, release := make(chan string, 10), make(chan struct{})
	addr := rawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			req, err := readRequest(reader)
			if err != nil {
				return
			}
			got <- req.Header.Get("Request-Id")
			<-release
			io.WriteString(conn, okAnswer)
		}
	})
	_, base, _, _ := start(t, agenttest.Config(nowhere, addr))
	conn := dial(t, base)
	io.WriteString(conn, raw("order", "p1"))
	if id := <-got; id != "p1" {
		t.Fatalf("got %q", id)
	}
	io.WriteString(conn, raw("order", "p2")+raw("order", "p3"))
	close(release)
	reader := bufio.NewReader(conn)
	for range 3 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || string(body) != "done" {
			t.Fatalf("got %d %q %v", resp.StatusCode, body, err)
		}
	}
	if second, third := <-got, <-got; second != "p2" || third != "p3" {
		t.Fatalf("then %q and %q", second, third)
	}
}
