package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// No request is sent again by itself when an idle connection breaks under it:
// that would be a second attempt without a decision.
func TestNoHiddenResend(t *testing.T) {
	for _, c := range []struct{ name, method, key string }{
		{"safe", http.MethodGet, ""}, {"keyed", http.MethodPost, "k1"}, {"unsafe", http.MethodPost, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var came atomic.Int32
			addr := agenttest.RawBackend(t, func(conn net.Conn, r *bufio.Reader) {
				for {
					if _, err := agenttest.ReadRequest(r); err != nil {
						return
					}
					if came.Add(1) > 1 {
						return // breaks the connection under the second request
					}
					io.WriteString(conn, agenttest.OKAnswer)
				}
			})
			backend := testPool().NewConns(addr)
			defer backend.CloseIdle()
			for i, want := range []policy.Status{policy.StatusOK, policy.StatusReset} {
				a := newAttempt(backend, c.method, agenttest.Never)
				a.request.IdempotencyKey = c.key
				if got := a.Run().Status; got != want {
					t.Fatalf("attempt %d ended %d, want %d", i, got, want)
				}
			}
			if n := came.Load(); n != 2 {
				t.Fatalf("the backend got %d requests of 2 attempts", n)
			}
		})
	}
}

// An attempt goes out once, and what began is not withdrawn.
func TestAttemptBeginsOnce(t *testing.T) {
	a := newAttempt(nil, http.MethodPost, agenttest.Never)
	defer a.Cancel(nil)
	if !a.begin() || a.begin() || a.withdraw() {
		t.Fatal("an attempt began twice or was withdrawn after it began")
	}
}

// How an attempt ended tells whether it has run; in doubt it may have.
func TestOutcomesOfAnswers(t *testing.T) {
	answer := func(text string) func(net.Conn, *bufio.Reader) {
		return func(c net.Conn, r *bufio.Reader) {
			if _, err := agenttest.ReadRequest(r); err == nil {
				io.WriteString(c, text)
			}
		}
	}
	for _, c := range []struct {
		name  string
		serve func(net.Conn, *bufio.Reader)
		want  policy.Status
	}{
		{"whole answer", answer(agenttest.OKAnswer), policy.StatusOK},
		{"no answer", answer(""), policy.StatusReset},
		{"half an answer", answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone"), policy.StatusReset},
		{"half a chunked answer", answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), policy.StatusReset},
		{"answer of unknown length", answer("HTTP/1.1 200 OK\r\n\r\ndone"), policy.StatusOK},
		{"answer too long", answer("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), policy.StatusReset},
		{"answer said to be huge", answer("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\ndone"), policy.StatusReset},
		{"negative length", answer("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone"), policy.StatusReset},
		{"two lengths", answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone"), policy.StatusReset},
		{"noise", answer("\x00\xff\x17noise\r\n\r\n"), policy.StatusReset},
		{"endless head", answer("HTTP/1.1 200 OK\r\n" + strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 40)), policy.StatusReset},
		{"spoilt 503", answer("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 9\r\n\r\nx"), policy.StatusReset},
		{"1xx ahead", answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + agenttest.OKAnswer), policy.StatusOK},
		{"1xx without end", answer(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 100) + agenttest.OKAnswer), policy.StatusReset},
		{"another protocol", answer("HTTP/1.1 101 Switching\r\n\r\n" + agenttest.OKAnswer), policy.StatusReset},
		{"error", answer("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), policy.StatusServerError},
		{"another success", answer("HTTP/1.1 204 No\r\n\r\n"), policy.StatusServerError},
		{"503 that may have run", answer("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), policy.StatusServerError},
		{"503 rejected", answer("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), policy.StatusRejected},
		{"504 rejected", answer("HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), policy.StatusRejected},
		{"500 that says it was not started", answer("HTTP/1.1 500 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), policy.StatusServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend := testPool().NewConns(agenttest.RawBackend(t, c.serve))
			defer backend.CloseIdle()
			res := newAttempt(backend, http.MethodPost, agenttest.Never).Run()
			if res.Status != c.want {
				t.Fatalf("ended %d, want %d", res.Status, c.want)
			}
			if want := c.want == policy.StatusOK; (string(res.Body) == "done") != want {
				t.Fatalf("body %q", res.Body)
			}
		})
	}
}

func TestRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	pool := testPool()
	if got := newAttempt(pool.NewConns(addr), http.MethodPost, agenttest.Never).Run().Status; got != policy.StatusConnectFailed {
		t.Fatalf("ended %d, want could-not-connect", got)
	}
	if n := pool.open; n != 0 {
		t.Fatalf("%d sockets counted as open", n)
	}
}

// brokenConn takes a part of each write and fails.
type brokenConn struct{ net.Conn }

func (brokenConn) Write(p []byte) (int, error) { return len(p) / 2, errors.New("broken") }

// What breaks before the last byte was written never ran.
func TestCutWrite(t *testing.T) {
	addr := agenttest.RawBackend(t, func(c net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) })
	pool := testPool()
	plain := pool.DialContext
	pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := plain(ctx, network, addr)
		return brokenConn{c}, err
	}
	if got := newAttempt(pool.NewConns(addr), http.MethodPost, agenttest.Never).Run().Status; got != policy.StatusConnectFailed {
		t.Fatalf("ended %d, want could-not-connect", got)
	}
}

// Giving an attempt up closes its connection before the outcome is known, so that
// the next attempt is never a second copy beside it.
func TestTimeoutClosesConnection(t *testing.T) {
	closed := make(chan error, 1)
	got := make(chan struct{})
	addr := agenttest.RawBackend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := agenttest.ReadRequest(r); err != nil {
			return
		}
		close(got)
		_, err := r.ReadByte()
		closed <- err
	})
	pool := testPool()
	a := newAttempt(pool.NewConns(addr), http.MethodPost, agenttest.Never)
	done := make(chan Result)
	go func() { done <- a.Run() }()
	<-got
	a.Cancel(context.DeadlineExceeded) // the time-out, without waiting for it
	if res := <-done; res.Status != policy.StatusTimeout {
		t.Fatalf("ended %d, want timed out", res.Status)
	}
	if n := pool.open; n != 0 {
		t.Fatalf("%d connections open at the outcome", n)
	}
	if err := <-closed; err == nil {
		t.Fatal("the backend read on instead of seeing the end")
	}
}

// A dial ends with its attempt: the transport would let it go on and keep what
// comes of it, a connection to a backend that was given up or drains.
func TestDialEndsWithAttempt(t *testing.T) {
	for _, c := range []struct {
		name  string
		cause error
		want  policy.Status
	}{
		{"time-out", context.DeadlineExceeded, policy.StatusConnectFailed},
		{"drain", ErrEndpointDraining, policy.StatusRejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			dialling, ended := make(chan struct{}), make(chan struct{})
			pool := testPool()
			pool.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
				close(dialling)
				<-ctx.Done()
				close(ended)
				return nil, ctx.Err()
			}
			a := newAttempt(pool.NewConns("127.0.0.1:1"), http.MethodPost, agenttest.Never)
			done := make(chan Result)
			go func() { done <- a.Run() }()
			<-dialling
			a.Cancel(c.cause)
			if res := <-done; res.Status != c.want {
				t.Fatalf("ended %d, want %d", res.Status, c.want)
			}
			<-ended
		})
	}
}

// An attempt withdrawn while its connection comes up sends nothing on it.
func TestWithdrawnSendsNothing(t *testing.T) {
	addr, read := agenttest.ByteCounter(t)
	pool := testPool()
	var a *Attempt
	plain := pool.DialContext
	pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := plain(ctx, network, addr)
		if !a.withdraw() {
			t.Error("could not be withdrawn before its first byte")
		}
		return c, err
	}
	a = newAttempt(pool.NewConns(addr), http.MethodPost, agenttest.Never)
	if got := a.Run().Status; !got.NeverRan() {
		t.Fatalf("ended %d, which may have run", got)
	}
	if n := <-read; n != 0 {
		t.Fatalf("the backend got %d bytes", n)
	}
}

// A repeat that may begin only for a while is not begun after it, though its connection came
// up: no byte goes out, and it never ran.
func TestTooLateToBegin(t *testing.T) {
	addr, read := agenttest.ByteCounter(t)
	pool := testPool()
	var a *Attempt
	plain := pool.DialContext
	pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := plain(ctx, network, addr)
		a.BeginBy = time.Now().Add(-time.Nanosecond) // it took that long
		return c, err
	}
	a = newAttempt(pool.NewConns(addr), http.MethodPost, agenttest.Never)
	a.BeginBy = time.Now().Add(agenttest.Never)
	if got := a.Run().Status; got != policy.StatusNotSent {
		t.Fatalf("ended %d, want never begun", got)
	}
	if n := <-read; n != 0 {
		t.Fatalf("the backend got %d bytes", n)
	}
	pool.DialContext = plain
	a = newAttempt(pool.NewConns(addr), http.MethodPost, agenttest.Never)
	a.BeginBy = time.Now().Add(agenttest.Never)
	go a.Run()
	agenttest.Eventually(t, "one in time begun", func() bool { return a.stage.Load() == attemptSending })
	a.Cancel(ErrCancelled)
	<-read
}

// Without a socket left the attempt never ran, and its backend is not to blame.
func TestNoSocketLeft(t *testing.T) {
	pool := testPool()
	pool.settings.MaxConns = 0
	if got := newAttempt(pool.NewConns("127.0.0.1:1"), http.MethodPost, agenttest.Never).Run().Status; got != policy.StatusRejected {
		t.Fatalf("ended %d, want rejected", got)
	}
}

// The request goes on unchanged.
func TestOutgoing(t *testing.T) {
	got := make(chan *http.Request, 1)
	addr := agenttest.RawBackend(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		got <- req
		io.WriteString(c, agenttest.OKAnswer)
	})
	a := newAttempt(testPool().NewConns(addr), http.MethodPost, agenttest.Never)
	a.request.Target = "/order/a%2Fb%20c?x=1&y=%2f"
	a.request.IdempotencyKey = "k1"
	if res := a.Run(); res.Status != policy.StatusOK {
		t.Fatalf("ended %d", res.Status)
	}
	req := <-got
	body, _ := io.ReadAll(req.Body)
	if req.RequestURI != "/order/a%2Fb%20c?x=1&y=%2f" || req.Method != http.MethodPost || string(body) != "body" ||
		req.Header.Get("Request-Id") != "id1" || req.Header.Get("Idempotency-Key") != "k1" || req.Host != "backend.local" {
		t.Fatalf("the backend got %v %s body %q %v", req.Method, req.RequestURI, body, req.Header)
	}
	if got := req.Header.Get("Request-Timeout"); !strings.HasSuffix(got, "m") || len(got) != len("3599999m") {
		t.Fatalf("Request-Timeout %q of an hour", got)
	}
}

// A load report is believed whole or not at all.
func TestReport(t *testing.T) {
	got := ParseLoadReport("TEXT util=0.61, qps=7, eps=0, other=x", []string{"qps", "util", "eps"})
	if len(got) != 3 || got[0] != 7 || got[1] != 0.61 || got[2] != 0 {
		t.Fatalf("got %v", got)
	}
	for _, test := range []struct{ name, load string }{
		{"none", ""}, {"another form", "JSON {}"}, {"no number", "TEXT qps=much, util=1"}, {"one is missing", "TEXT qps=1"},
		{"not a number", "TEXT qps=NaN, util=1"}, {"infinite", "TEXT qps=+Inf, util=1"}, {"negative", "TEXT qps=-1, util=1"},
		{"one comes twice", "TEXT qps=1, qps=2, util=1"}, {"no value", "TEXT qps, util=1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ParseLoadReport(test.load, []string{"qps", "util"}); got != nil {
				t.Fatalf("%q gave %v", test.load, got)
			}
		})
	}
}

// What a backend sends beyond an answer must not answer the next request: whether it
// comes with the answer or behind it, the connection is not used again.
func TestSurplusBytesAnswerNothing(t *testing.T) {
	for _, c := range []struct{ name, surplus string }{
		{"second copy", strings.Replace(agenttest.OKAnswer, "done", "gone", 1)}, {"noise", "\x00noise"},
	} {
		for _, apart := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s apart=%v", c.name, apart), func(t *testing.T) {
				sent := make(chan struct{}, 100)
				addr := agenttest.RawBackend(t, func(conn net.Conn, r *bufio.Reader) {
					for {
						if _, err := agenttest.ReadRequest(r); err != nil {
							return
						}
						if apart {
							io.WriteString(conn, agenttest.OKAnswer)
							io.WriteString(conn, c.surplus)
						} else {
							io.WriteString(conn, agenttest.OKAnswer+c.surplus)
						}
						sent <- struct{}{}
					}
				})
				backend := testPool().NewConns(addr)
				defer backend.CloseIdle()
				var wg sync.WaitGroup
				side := 8 // attempts that wait for each other's connections
				if apart {
					side = 1 // each begins when the surplus of the last was written
				}
				for range side {
					wg.Add(1)
					go func() {
						defer wg.Done()
						for range 50 {
							res := newAttempt(backend, http.MethodPost, agenttest.Never).Run()
							if res.Status != policy.StatusOK || string(res.Body) != "done" {
								t.Errorf("ended %d %q", res.Status, res.Body)
							}
							<-sent // written whole, and so seen
						}
					}()
				}
				wg.Wait()
			})
		}
	}
}

// A connection that has ended or brings unrequested bytes is not used again.
func TestStaleConnections(t *testing.T) {
	var came atomic.Int32
	closed := make(chan struct{}, 10)
	addr := agenttest.RawBackend(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := agenttest.ReadRequest(r); err == nil {
			came.Add(1)
			io.WriteString(conn, agenttest.OKAnswer)
			conn.Close()
			closed <- struct{}{}
		}
	})
	backend := testPool().NewConns(addr)
	for i := range 20 {
		if res := newAttempt(backend, http.MethodPost, agenttest.Never).Run(); res.Status != policy.StatusOK {
			t.Fatalf("attempt %d ended %d", i, res.Status)
		}
		<-closed
	}
}

// The connections share one bound: at the limit the longest idle is closed for a new one.
func TestLongestIdleMakesRoom(t *testing.T) {
	pool := testPool()
	pool.settings.MaxConns = 2
	var groups []*Conns
	for range 3 {
		addr, _ := agenttest.IDBackend(t, 200, false)
		groups = append(groups, pool.NewConns(addr))
	}
	for _, backend := range groups {
		if res := newAttempt(backend, http.MethodPost, agenttest.Never).Run(); res.Status != policy.StatusOK {
			t.Fatalf("ended %d", res.Status)
		}
	}
	if pool.open != 2 || len(groups[0].idle) != 0 || len(groups[1].idle) != 1 || len(groups[2].idle) != 1 {
		t.Fatalf("%d open, idle %d %d %d", pool.open, len(groups[0].idle), len(groups[1].idle), len(groups[2].idle))
	}
	groups[1].Close()
	if pool.open != 1 || pool.idle.Len() != 1 {
		t.Fatalf("%d open after a backend has gone", pool.open)
	}
	pool.settings.IdleTimeout = 0
	pool.sweep()
	if pool.open != 0 || pool.idle.Len() != 0 || pool.sweeping {
		t.Fatalf("%d open after all were idle too long", pool.open)
	}
}

// A panic in an attempt is an outcome: it may have run.
func TestAttemptPanic(t *testing.T) {
	pool := testPool()
	pool.DialContext = func(context.Context, string, string) (net.Conn, error) { panic("boom") }
	a := newAttempt(pool.NewConns("127.0.0.1:1"), http.MethodPost, agenttest.Never)
	if res := a.Run(); res.Status != policy.StatusReset || res.Panic == nil {
		t.Fatalf("ended %d, %v", res.Status, res.Panic)
	}
	if pool.open != 0 {
		t.Errorf("%d connections counted as open", pool.open)
	}
}
