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

	"ploverreel/policy"
)

// raw is a whole request as a client sends it.
func raw(class, id string) string {
	method := http.MethodPost
	if class == "look" {
		method = http.MethodGet
	}
	return fmt.Sprintf("%s /%s/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: %s\r\nRequest-Timeout: 30000m\r\n\r\n", method, class, id)
}

// handled waits until the loop has handled all that was posted so far.
func (a *Agent) handled() { a.look(func(*loop) {}) }

// told hands the agent a whole list of the backends at these addresses.
func (a *Agent) told(seq int64, hosts ...Host) {
	a.loop.post(input{kind: inputWatchEvent, list: listOf(seq, true, hosts...)})
	a.handled()
}

func readyHost(i int, dial string) Host {
	return Host{Host: fmt.Sprint("s-", i), Dial: dial, Site: "a", Class: "k", Block: 1, Health: "ready", Share: 1}
}

// Where the client has left, its request is not sent on: wherever it waits, whatever the
// settings say of cancelling, and whether or not more came before the end.
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
					turns := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
						if _, err := readRequest(r); err == nil {
							close(asked)
							<-turn
							io.WriteString(c, "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
						}
					})
					known := map[string][]string{"room": nil, "connect": {"127.0.0.1:1"}, "retry": {turns}}[wait]
					conf := config(nowhere, known...)
					conf["settings"].(map[string]any)["limits"].(map[string]any)["cancelling"] = cancelling
					a, base, _, _ := start(t, conf)
					dialling, given := make(chan struct{}), make(chan struct{})
					plain := a.loop.pool.connect
					a.loop.pool.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
						if addr != "127.0.0.1:1" {
							return plain(ctx, network, addr)
						}
						close(dialling)
						<-ctx.Done()
						close(given)
						return nil, ctx.Err()
					}
					c := dial(t, base)
					io.WriteString(c, raw("order", "left"))
					eventually(t, "its request taken", func() bool { return a.holds("left") })
					switch wait {
					case "connect":
						<-dialling
					case "retry":
						<-asked
						a.told(2) // nobody is left to send it to
						close(turn)
						eventually(t, "its outcome", func() bool { return a.unsent("left") })
					}
					io.WriteString(c, more.text)
					c.Close()
					if wait == "connect" {
						select {
						case <-given:
						case <-time.After(noAnswer):
							t.Fatal("still connects for a client that has left")
						}
					}
					eventually(t, "the leaving noticed", func() bool { return !a.holds("left") })
					a.told(3, readyHost(9, good))
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

// looker lets a test look at what the loop owns: it runs what is handed to it when the loop
// logs what look had it told.
type looker struct {
	slog.Handler
	see chan func()
}

func (looker) Enabled(context.Context, slog.Level) bool { return true }

func (h looker) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "discovery: fetch failed" {
		select {
		case see := <-h.see:
			see()
		default:
		}
	}
	return nil
}

// look runs see in the loop's own goroutine, after all that was posted so far.
func (a *Agent) look(see func(l *loop)) {
	done := make(chan struct{})
	a.log.Handler().(looker).see <- func() { see(a.loop); close(done) }
	a.loop.post(input{kind: inputFetched, err: io.EOF})
	<-done
}

// holds tells whether the loop has the request with this id open.
func (a *Agent) holds(id string) (found bool) {
	a.look(func(l *loop) {
		for _, r := range l.requests {
			found = found || r.wireID == id && !r.answered
		}
	})
	return found
}

// unsent tells whether the request with this id has no attempt out.
func (a *Agent) unsent(id string) (none bool) {
	a.look(func(l *loop) {
		for _, r := range l.requests {
			none = none || r.wireID == id && r.open == 0
		}
	})
	return none
}

// A client that only ended its sending side may still read: it is told that its request
// failed, never that it was served what no backend said.
func TestHalfClosedClientIsToldTheTruth(t *testing.T) {
	got := make(chan struct{})
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			close(got)
			r.ReadByte() // until it is given up
		}
	})
	_, base, _, _ := start(t, config(nowhere, addr))
	c := dial(t, base)
	io.WriteString(c, raw("order", "half"))
	<-got
	c.(*net.TCPConn).CloseWrite()
	if said := answered(t, c); !strings.HasPrefix(said, "HTTP/1.1 502") || strings.Count(said, "HTTP/1.1") != 1 {
		t.Fatalf("said %q", said)
	}
}

// Requests that came behind an open one are answered in their order, none lost.
func TestWhatCameBehindIsAnswered(t *testing.T) {
	got, release := make(chan string, 10), make(chan struct{})
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			got <- req.Header.Get("Request-Id")
			<-release
			io.WriteString(c, okAnswer)
		}
	})
	_, base, _, _ := start(t, config(nowhere, addr))
	c := dial(t, base)
	io.WriteString(c, raw("order", "p1"))
	if id := <-got; id != "p1" {
		t.Fatalf("got %q", id)
	}
	io.WriteString(c, raw("order", "p2")+raw("order", "p3"))
	close(release)
	r := bufio.NewReader(c)
	for range 3 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || string(body) != "done" {
			t.Fatalf("got %d %q %v", resp.StatusCode, body, err)
		}
	}
	if a, b := <-got, <-got; a != "p2" || b != "p3" {
		t.Fatalf("then %q and %q", a, b)
	}
}

// resting is a backend's group with one connection at rest, which an attempt waits for until
// the test ends its rest. The backend writes what it is told, beyond its answers.
func resting(t *testing.T) (g *backendConns, kept *backendConn, waits *attempt, done chan result, rested chan time.Time, beyond, came chan string) {
	beyond, came = make(chan string), make(chan string, 10)
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			came <- req.Header.Get("Request-Id")
			io.WriteString(c, okAnswer)
			go func() {
				for text := range beyond {
					io.WriteString(c, text)
				}
			}()
		}
	})
	t.Cleanup(func() { close(beyond) })
	p := testPool()
	rested = make(chan time.Time)
	asked := make(chan struct{}, 10)
	p.after = func(time.Duration) <-chan time.Time {
		asked <- struct{}{}
		return rested
	}
	g = p.newBackendConns(addr)
	t.Cleanup(g.closeIdle)
	if res := newAttempt(g, http.MethodPost, never).run(); res.status != policy.StatusOK {
		t.Fatalf("ended %d", res.status)
	}
	p.mu.Lock()
	kept = g.idle[0]
	kept.since = time.Now().Add(never) // so that it rests however slow the test is
	p.mu.Unlock()
	<-came
	waits = newAttempt(g, http.MethodPost, never)
	waits.request.wireID = "next"
	done = make(chan result, 1)
	go func() { done <- waits.run() }()
	<-asked
	return g, kept, waits, done, rested, beyond, came
}

// A second answer that comes some milliseconds behind the first must not meet the next
// request on the connection.
func TestLateSecondAnswer(t *testing.T) {
	_, kept, _, done, rested, beyond, _ := resting(t)
	beyond <- strings.Replace(okAnswer, "done", "gone", 1)
	eventually(t, "the second answer there", func() bool { return peekConn(kept.Conn) == 1 })
	close(rested)
	if res := <-done; res.status != policy.StatusOK || string(res.body) != "done" {
		t.Fatalf("ended %d with the body %q", res.status, res.body)
	}
}

// An attempt that waits for a connection at rest ends with its request, sends nothing, and
// leaves the connection to others.
func TestLeavingEndsTheRest(t *testing.T) {
	g, _, waits, done, rested, _, came := resting(t)
	waits.withdraw()
	waits.cancel(errCancelled)
	if res := <-done; res.status != policy.StatusCancelled {
		t.Fatalf("ended %d", res.status)
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
