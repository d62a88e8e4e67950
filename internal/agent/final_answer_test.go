package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ploverreel/internal/agenttest"
)

// newAgentWithFullQueue returns an agent whose loop doesn't run and whose queue is full.
func newAgentWithFullQueue(t *testing.T) *Agent {
	t.Helper()
	agent := newAgent(t, agenttest.Config(refusingAddr))
	agent.fillQueue()
	return agent
}

// fillQueue fills the loop's queue.
func (a *Agent) fillQueue() {
	for {
		select {
		case a.loop.inputs <- timerFired{}:
		default:
			return
		}
	}
}

// takeRequest takes inputs from the queue up to the first request, in the background, and then
// calls then.
func (a *Agent) takeRequest(then func()) {
	go func() {
		for {
			select {
			case in := <-a.loop.inputs:
				if isType[requestArrived](in) {
					then()
					return
				}
			case <-a.loop.ctx.Done():
				return
			}
		}
	}()
}

// handlerRequest returns a request in the form in which the HTTP server passes it to the handler.
func handlerRequest(timeout string) *http.Request {
	req := httptest.NewRequest(http.MethodPost, "/order/u1", nil)
	req.Header.Set("Request-Id", fmt.Sprint("final", lastID.Add(1)))
	req.Header.Set("Request-Timeout", timeout)
	return req
}

// serveRequest runs the handler for a request, and fails the test if it doesn't return.
func serveRequest(t *testing.T, agent *Agent, w http.ResponseWriter, req *http.Request) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		agent.ServeHTTP(w, req)
	}()
	agenttest.Receive(t, done, "the handler's return")
}

// panickingWriter panics once, before a response is begun.
type panickingWriter struct {
	*httptest.ResponseRecorder
	panicked bool
}

func (w *panickingWriter) Header() http.Header {
	if !w.panicked {
		w.panicked = true
		panic("boom")
	}
	return w.ResponseRecorder.Header()
}

// withBody adds a body of 4 bytes to a request.
func withBody(req *http.Request, body io.ReadCloser) *http.Request {
	req.Body, req.ContentLength = body, 4
	return req
}

// Each request that was read gets exactly one response in time, whatever fails in the agent. The
// status is accurate, and there is a Retry-After if the request never ran.
func TestHandlerAnswersWhateverFails(t *testing.T) {
	for _, c := range []struct {
		name, timeout  string
		fail           func(agent *Agent, req *http.Request) *http.Request
		wantStatus     int
		wantRetryAfter bool
	}{
		{"queue full", "50m", func(_ *Agent, req *http.Request) *http.Request {
			return req
		}, http.StatusServiceUnavailable, true},
		{"queue full after the request", "1000m", func(agent *Agent, req *http.Request) *http.Request {
			agent.takeRequest(agent.fillQueue)
			return req
		}, http.StatusGatewayTimeout, false},
		{"loop doesn't run", "1000m", func(agent *Agent, req *http.Request) *http.Request {
			agent.takeRequest(func() {})
			return req
		}, http.StatusGatewayTimeout, false},
		{"client disconnected, queue full", "30000m", func(_ *Agent, req *http.Request) *http.Request {
			ctx, disconnect := context.WithCancel(req.Context())
			disconnect()
			return req.WithContext(ctx)
		}, http.StatusBadGateway, false},
		{"end of the shutdown, queue full", "30000m", func(agent *Agent, req *http.Request) *http.Request {
			close(agent.drainDeadline)
			return req
		}, http.StatusServiceUnavailable, true},
		{"end of the shutdown, queue full after the request", "30000m", func(agent *Agent, req *http.Request) *http.Request {
			agent.takeRequest(func() {
				agent.fillQueue()
				close(agent.drainDeadline)
			})
			return req
		}, http.StatusGatewayTimeout, false},
		{"no memory left for the body", "30000m", func(agent *Agent, req *http.Request) *http.Request {
			agent.memory.used.Add(1 << 40)
			return withBody(req, io.NopCloser(strings.NewReader("body")))
		}, http.StatusServiceUnavailable, true},
		{"panic while the body is read", "30000m", func(_ *Agent, req *http.Request) *http.Request {
			return withBody(req, panickingBody{})
		}, http.StatusInternalServerError, false},
		{"loop ended, queue full", "50m", func(agent *Agent, req *http.Request) *http.Request {
			agent.stop()
			return req
		}, http.StatusServiceUnavailable, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			agent, recorder := newAgentWithFullQueue(t), httptest.NewRecorder()
			serveRequest(t, agent, recorder, c.fail(agent, handlerRequest(c.timeout)))
			if recorder.Code != c.wantStatus {
				t.Errorf("got status %d, want %d", recorder.Code, c.wantStatus)
			}
			if got := recorder.Header().Get("Retry-After"); (got != "") != c.wantRetryAfter {
				t.Errorf("got Retry-After %q, want any: %v", got, c.wantRetryAfter)
			}
		})
	}
}

// The loop is not notified that a request was abandoned if the request was never posted. Otherwise,
// while the queue is full, the number of goroutines that wait to post the notification would be
// unbounded.
func TestHandlerAbandonsOnlyPostedRequests(t *testing.T) {
	agent := newAgentWithFullQueue(t)
	ctx, disconnect := context.WithCancel(t.Context())
	disconnect()
	for range 20 {
		serveRequest(t, agent, httptest.NewRecorder(), handlerRequest("30000m").WithContext(ctx))
	}
	for {
		select {
		case in := <-agent.loop.inputs:
			if isType[clientDisconnected](in) || isType[requestArrived](in) {
				t.Fatalf("got input %T, want none of requests that were not posted", in)
			}
			continue
		default:
		}
		return
	}
}

// A panic before a response is begun, or while it is composed, is answered with 500.
func TestHandlerAnswersAfterPanicInItsResponse(t *testing.T) {
	agent, w := newAgentWithFullQueue(t), &panickingWriter{ResponseRecorder: httptest.NewRecorder()}
	serveRequest(t, agent, w, handlerRequest("20m"))
	if w.Code != http.StatusInternalServerError {
		t.Fatalf("got status %d, want %d", w.Code, http.StatusInternalServerError)
	}
}
