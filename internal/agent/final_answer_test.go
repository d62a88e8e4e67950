package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// stopped is an agent whose loop doesn't run and has its queue full.
func stopped(t *testing.T) *Agent {
	t.Helper()
	a, err := New(parse(t, config(nowhere)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.stop)
	a.fill()
	return a
}

// fill fills the loop's queue.
func (a *Agent) fill() {
	for {
		select {
		case a.loop.inputs <- input{kind: inputTimer}:
		default:
			return
		}
	}
}

// takeRequest takes all out of the queue up to a request, and then does what follows.
func (a *Agent) takeRequest(then func()) {
	go func() {
		for {
			select {
			case in := <-a.loop.inputs:
				if in.kind == inputRequest {
					then()
					return
				}
			case <-a.loop.ctx.Done():
				return
			}
		}
	}()
}

// direct is a request as the handler gets it.
func direct(timeout string) *http.Request {
	req := httptest.NewRequest(http.MethodPost, "/order/u1", nil)
	req.Header.Set("Request-Id", fmt.Sprint("final", lastID.Add(1)))
	req.Header.Set("Request-Timeout", timeout)
	return req
}

// serveWithin has the agent answer a request, which must not take for ever.
func serveWithin(t *testing.T, a *Agent, w http.ResponseWriter, req *http.Request) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.ServeHTTP(w, req)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("no answer")
	}
}

// explodingWriter panics before an answer is begun, once.
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

// Each request that was read gets its one final answer in its time, whatever goes wrong in the
// agent: with a status that is true of it, and where it never ran with when to come back.
func TestFinalAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		timeout string
		prepare func(a *Agent, req *http.Request) *http.Request
		status  int
		refused bool
	}{
		"queue full": {"50m", nil, http.StatusServiceUnavailable, true},
		"queue full behind it": {"1000m", func(a *Agent, req *http.Request) *http.Request {
			a.takeRequest(a.fill)
			return req
		}, http.StatusGatewayTimeout, false},
		"loop stands still": {"1000m", func(a *Agent, req *http.Request) *http.Request {
			a.takeRequest(func() {})
			return req
		}, http.StatusGatewayTimeout, false},
		"client gone, queue full": {"30000m", func(_ *Agent, req *http.Request) *http.Request {
			ctx, gone := context.WithCancel(req.Context())
			gone()
			return req.WithContext(ctx)
		}, http.StatusBadGateway, false},
		"last call, queue full": {"30000m", func(a *Agent, req *http.Request) *http.Request {
			close(a.lastCall)
			return req
		}, http.StatusServiceUnavailable, true},
		"last call, queue full behind it": {"30000m", func(a *Agent, req *http.Request) *http.Request {
			a.takeRequest(func() {
				a.fill()
				close(a.lastCall)
			})
			return req
		}, http.StatusGatewayTimeout, false},
		"memory for bodies gone": {"30000m", func(a *Agent, req *http.Request) *http.Request {
			a.bodyBytes.Add(1 << 40)
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader("body")), 4
			return req
		}, http.StatusServiceUnavailable, true},
		"panic at the body": {"30000m", func(_ *Agent, req *http.Request) *http.Request {
			req.Body, req.ContentLength = explodes{}, 4
			return req
		}, http.StatusInternalServerError, false},
		"loop ended, queue full": {"50m", func(a *Agent, req *http.Request) *http.Request {
			a.stop()
			return req
		}, http.StatusServiceUnavailable, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, req, w := stopped(t), direct(test.timeout), httptest.NewRecorder()
			if test.prepare != nil {
				req = test.prepare(a, req)
			}
			serveWithin(t, a, w, req)
			if w.Code != test.status || (w.Header().Get("Retry-After") != "") != test.refused {
				t.Fatalf("answered %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
			}
		})
	}
}

// Of a request that never came to the loop the loop is told nothing, or what waits to tell it would
// be without bound while its queue is full.
func TestWhatWasNotPostedIsNotDropped(t *testing.T) {
	a := stopped(t)
	ctx, gone := context.WithCancel(t.Context())
	gone()
	for range 20 {
		serveWithin(t, a, httptest.NewRecorder(), direct("30000m").WithContext(ctx))
	}
	for {
		select {
		case in := <-a.loop.inputs:
			if in.kind == inputClientGone || in.kind == inputRequest {
				t.Fatalf("the loop was told %d of a request that it does not know", in.kind)
			}
			continue
		default:
		}
		return
	}
}

// A panic before an answer is begun, also while it is being worded, is answered as one.
func TestPanicWhileAnswering(t *testing.T) {
	a, w := stopped(t), &explodingWriter{ResponseRecorder: httptest.NewRecorder()}
	serveWithin(t, a, w, direct("20m"))
	if w.Code != http.StatusInternalServerError {
		t.Fatalf("answered %d", w.Code)
	}
}

// What SIGKILL would find unanswered is answered before, and what comes after SIGTERM is told
// no more time than that.
func TestLastCall(t *testing.T) {
	told, release := make(chan string, 10), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		told <- r.Header.Get("Request-Timeout")
		<-release
	}))
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(release) })
	a, err := New(parse(t, config(nowhere, s.Listener.Addr().String())), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	calls := make(chan func(), 1)
	a.after = func(d time.Duration, call func()) *time.Timer {
		if d != 3600*time.Millisecond {
			t.Errorf("answers %v after SIGTERM, SIGKILL may come after 3.7 s", d)
		}
		calls <- call
		return time.NewTimer(time.Hour)
	}
	ln := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Serve(ctx, ln) }()
	base := "http://" + ln.Addr().String()
	ask := func(id string) *bufio.Reader {
		c := dial(t, base)
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(c, raw("order", id))
		return bufio.NewReader(c)
	}
	first := ask("before")
	<-told
	late := dial(t, base)
	eventually(t, "both accepted", func() bool { return a.clients.count() == 2 })
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

// Clients that stop in the middle of a request and stay get an answer or a close, and the
// connection ends: also where the request's head was bad, or its time is short, and for the second
// request on a connection.
func TestStoppedRequestsEnd(t *testing.T) {
	addr, came := counted(t, 200, false)
	_, base, _, _ := start(t, config(nowhere, addr))
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
				c := dial(t, base)
				if second {
					io.WriteString(c, raw("order", fmt.Sprint("whole", lastID.Add(1))))
					r := bufio.NewReader(c)
					resp, err := http.ReadResponse(r, nil)
					if err != nil || resp.StatusCode != 200 {
						t.Fatalf("got %v, %v", resp, err)
					}
					io.Copy(io.Discard, resp.Body)
					<-came
				}
				began := time.Now()
				io.WriteString(c, test.text)
				said := answered(t, c)
				if test.status != "" && !strings.HasPrefix(said, "HTTP/1.1 "+test.status) || strings.Count(said, "HTTP/1.1") > 1 {
					t.Fatalf("said %q", said)
				}
				if test.status == "503" && !strings.Contains(said, "Retry-After: 0.6\r\n") {
					t.Fatalf("said %q", said)
				}
				// keepIdle would be 15 s; the 3 s owed are those of the constants.
				if took := time.Since(began); took > clientKeepAlive-2*time.Second {
					t.Fatalf("took %v", took)
				}
			})
		}
	}
}

// A head's time is from its first byte, however slowly the others come.
func TestDrippingHeadsEnd(t *testing.T) {
	server, client := net.Pipe()
	t.Cleanup(func() { server.Close(); client.Close() })
	p := newClientTable(1, 1)
	c := &clientConn{Conn: server, table: p, stage: stageIdle, stageSince: time.Now().Add(-time.Hour), headRoom: 4096}
	var by time.Time
	for i := range 3 {
		_ = c.SetReadDeadline(time.Now().Add(clientKeepAlive)) // as the server does at each stage
		go func() { _, _ = client.Write([]byte("P")) }()
		if n, err := c.Read(make([]byte, 4096-i)); n != 1 || err != nil {
			t.Fatalf("read %d, %v", n, err)
		}
		if i == 0 {
			by = c.headDeadline
		}
		if c.headDeadline != by || by.IsZero() || time.Until(by) > headTimeout {
			t.Fatalf("the head may come until %v, at its first byte until %v", c.headDeadline, by)
		}
	}
}
