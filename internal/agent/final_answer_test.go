package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/clientconn"
)

// stopped is an agent whose loop doesn't run and has its queue full.
func stopped(t *testing.T) *Agent {
	t.Helper()
	agent := newAgent(t, agenttest.Config(nowhere))
	agent.fill()
	return agent
}

// fill fills the loop's queue.
func (a *Agent) fill() {
	for {
		select {
		case a.loop.inputs <- timerFired{}:
		default:
			return
		}
	}
}

// takeRequest empties the queue up to the first request, in the background, and then calls then.
func (a *Agent) takeRequest(then func()) {
	go func() {
		for {
			select {
			case in := <-a.loop.inputs:
				if is[requestArrived](in) {
					then()
					return
				}
			case <-a.loop.ctx.Done():
				return
			}
		}
	}()
}

// direct is a request as the http server hands it to the handler.
func direct(timeout string) *http.Request {
	req := httptest.NewRequest(http.MethodPost, "/order/u1", nil)
	req.Header.Set("Request-Id", fmt.Sprint("final", lastID.Add(1)))
	req.Header.Set("Request-Timeout", timeout)
	return req
}

// serveWithin calls the handler, and fails the test if it doesn't return.
func serveWithin(t *testing.T, agent *Agent, w http.ResponseWriter, req *http.Request) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		agent.ServeHTTP(w, req)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("no answer")
	}
}

// explodingWriter panics once, before a response is begun.
type explodingWriter struct {
	*httptest.ResponseRecorder
	exploded bool
}

func (w *explodingWriter) Header() http.Header {
	if !w.exploded {
		w.exploded = true
		panic("boom")
	}
	return w.ResponseRecorder.Header()
}

// Each request that was read gets its one final response in time, whatever fails in the agent: with
// a true status, and with a Retry-After if it never ran.
func TestFinalAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		timeout string
		prepare func(agent *Agent, req *http.Request) *http.Request
		status  int
		refused bool
	}{
		"queue full": {"50m", nil, http.StatusServiceUnavailable, true},
		"queue full behind it": {"1000m", func(agent *Agent, req *http.Request) *http.Request {
			agent.takeRequest(agent.fill)
			return req
		}, http.StatusGatewayTimeout, false},
		"loop stands still": {"1000m", func(agent *Agent, req *http.Request) *http.Request {
			agent.takeRequest(func() {})
			return req
		}, http.StatusGatewayTimeout, false},
		"client gone, queue full": {"30000m", func(_ *Agent, req *http.Request) *http.Request {
			ctx, gone := context.WithCancel(req.Context())
			gone()
			return req.WithContext(ctx)
		}, http.StatusBadGateway, false},
		"last call, queue full": {"30000m", func(agent *Agent, req *http.Request) *http.Request {
			close(agent.lastCall)
			return req
		}, http.StatusServiceUnavailable, true},
		"last call, queue full behind it": {"30000m", func(agent *Agent, req *http.Request) *http.Request {
			agent.takeRequest(func() {
				agent.fill()
				close(agent.lastCall)
			})
			return req
		}, http.StatusGatewayTimeout, false},
		"memory for bodies gone": {"30000m", func(agent *Agent, req *http.Request) *http.Request {
			agent.bodyBytes.Add(1 << 40)
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader("body")), 4
			return req
		}, http.StatusServiceUnavailable, true},
		"panic at the body": {"30000m", func(_ *Agent, req *http.Request) *http.Request {
			req.Body, req.ContentLength = explodes{}, 4
			return req
		}, http.StatusInternalServerError, false},
		"loop ended, queue full": {"50m", func(agent *Agent, req *http.Request) *http.Request {
			agent.stop()
			return req
		}, http.StatusServiceUnavailable, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent, req, w := stopped(t), direct(test.timeout), httptest.NewRecorder()
			if test.prepare != nil {
				req = test.prepare(agent, req)
			}
			serveWithin(t, agent, w, req)
			if w.Code != test.status || (w.Header().Get("Retry-After") != "") != test.refused {
				t.Fatalf("answered %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
			}
		})
	}
}

// The loop isn't told that a request was abandoned which it never got: the goroutines that wait to
// post that would have no bound while its queue is full.
func TestWhatWasNotPostedIsNotDropped(t *testing.T) {
	agent := stopped(t)
	ctx, gone := context.WithCancel(t.Context())
	gone()
	for range 20 {
		serveWithin(t, agent, httptest.NewRecorder(), direct("30000m").WithContext(ctx))
	}
	for {
		select {
		case in := <-agent.loop.inputs:
			if is[clientDisconnected](in) || is[requestArrived](in) {
				t.Fatalf("the loop was told %T of a request that it does not know", in)
			}
			continue
		default:
		}
		return
	}
}

// A panic before a response is begun, also while it is being composed, is answered with 500.
func TestPanicWhileAnswering(t *testing.T) {
	agent, w := stopped(t), &explodingWriter{ResponseRecorder: httptest.NewRecorder()}
	serveWithin(t, agent, w, direct("20m"))
	if w.Code != http.StatusInternalServerError {
		t.Fatalf("answered %d", w.Code)
	}
}

// A request that SIGKILL would find unanswered is answered before, and a request after SIGTERM is
// forwarded with no more time than until then.
func TestLastCall(t *testing.T) {
	told, release := make(chan string, 10), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		told <- r.Header.Get("Request-Timeout")
		<-release
	}))
	t.Cleanup(backend.Close)
	t.Cleanup(func() { close(release) })
	agent := newAgent(t, agenttest.Config(nowhere, backend.Listener.Addr().String()))
	calls := make(chan func(), 1)
	agent.after = func(d time.Duration, call func()) *time.Timer {
		if d != 3600*time.Millisecond {
			t.Errorf("answers %v after SIGTERM, SIGKILL may come after 3.7 s", d)
		}
		calls <- call
		return time.NewTimer(time.Hour)
	}
	ln := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- agent.Serve(ctx, ln) }()
	base := "http://" + ln.Addr().String()
	ask := func(id string) *bufio.Reader {
		conn := dial(t, base)
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(conn, raw("order", id))
		return bufio.NewReader(conn)
	}
	first := ask("before")
	<-told
	late := dial(t, base)
	agenttest.Eventually(t, "both accepted", func() bool { return agent.clients.Count() == 2 })
	stop()
	call := <-calls
	_ = late.SetReadDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(late, raw("order", "after"))
	if left, err := parseTimeout(<-told, time.Minute); err != nil || left > 3600*time.Millisecond {
		t.Errorf("told %v after SIGTERM, %v", left, err)
	}
	call()
	for _, r := range []*bufio.Reader{first, bufio.NewReader(late)} {
		if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusGatewayTimeout || !resp.Close {
			t.Fatalf("got %v, %v", resp, err)
		}
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// Clients that stop in the middle of a request and stay connected get an error or a close: also if
// the head is invalid, the timeout short, or the request the second on its connection.
func TestStoppedRequestsEnd(t *testing.T) {
	addr, came := counted(t, 200, false)
	_, base, _, _ := start(t, agenttest.Config(nowhere, addr))
	long := strings.Replace(raw("order", "half"), "\r\n\r\n", "\r\nContent-Length: 8\r\n\r\nhalf", 1)
	short := strings.Replace(long, "30000m", "20m", 1)
	for name, test := range map[string]struct{ text, status string }{
		"a byte":                    {"P", ""},
		"half a head":               {raw("order", "half")[:30], ""},
		"half a body":               {long, "408"},
		"half a body, little time":  {short, "503"},
		"half a body, a bad class":  {strings.Replace(long, "/order", "/none", 1), "404"},
		"half a body, a bad method": {strings.Replace(long, "POST", "PUT", 1), "405"},
	} {
		for _, second := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " second ", second), func(t *testing.T) {
				t.Parallel()
				conn := dial(t, base)
				if second {
					io.WriteString(conn, raw("order", fmt.Sprint("whole", lastID.Add(1))))
					reader := bufio.NewReader(conn)
					resp, err := http.ReadResponse(reader, nil)
					if err != nil || resp.StatusCode != 200 {
						t.Fatalf("got %v, %v", resp, err)
					}
					io.Copy(io.Discard, resp.Body)
					<-came
				}
				began := time.Now()
				io.WriteString(conn, test.text)
				said := answered(t, conn)
				if test.status != "" && !strings.HasPrefix(said, "HTTP/1.1 "+test.status) || strings.Count(said, "HTTP/1.1") > 1 {
					t.Fatalf("said %q", said)
				}
				if test.status == "503" && !strings.Contains(said, "Retry-After: 0.6\r\n") {
					t.Fatalf("said %q", said)
				}
				// clientconn.KeepAliveTimeout is 15 s; TestSilenceEnds checks the 3 s by the constants.
				if took := time.Since(began); took > clientconn.KeepAliveTimeout-2*time.Second {
					t.Fatalf("took %v", took)
				}
			})
		}
	}
}
