package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/policy"
)

func TestAgentServesEachClass(t *testing.T) {
	addr, _ := agenttest.IDBackend(t, 200, false)
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	for _, class := range []string{"look", "send", "order"} {
		if status, body, _ := do(t, newClientRequest(base, class)); status != 200 || body != "done" {
			t.Fatalf("class %s: got %d %q, want 200 %q", class, status, body, "done")
		}
	}
	if status := readiness(t, base); status != 200 {
		t.Fatalf("/ready: got status %d, want 200", status)
	}
}

func TestHandlerAnswersWithoutTheLoop(t *testing.T) {
	agent := newAgent(t, agenttest.Config(refusingAddr)) // its loop doesn't run
	req := newClientRequest("http://b", "order")
	req.RequestURI = "/order/u1"
	req.Header.Set("Request-Timeout", "20m")
	recorder := httptest.NewRecorder()
	agent.ServeHTTP(recorder, req)
	if recorder.Code != http.StatusGatewayTimeout {
		t.Fatalf("got status %d, want %d", recorder.Code, http.StatusGatewayTimeout)
	}
	if first, second := <-agent.loop.inputs, <-agent.loop.inputs; !isType[requestArrived](first) || !isType[clientDisconnected](second) {
		t.Fatalf("got inputs %T and %T, want requestArrived and clientDisconnected", first, second)
	}
}

// The decision module's last response precedes the handler's own, whatever the interval of the
// module's ticks is: only the module's response has a Retry-After.
func TestModuleDeadlineIsBeforeHandlers(t *testing.T) {
	for _, c := range []struct {
		name         string
		left, margin time.Duration
	}{
		{"an hour left", agenttest.LongTimeout, fallbackMargin + decisionMargin},
		{"40 s left", 40 * time.Second, fallbackMargin + decisionMargin},
		{"8 ms left, a quarter of it", 8 * time.Millisecond, 2 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLoop(t, refusingAddr)
			r := newLoopRequest(l.config, "last", time.Now().Add(c.left))
			before := time.Until(r.Deadline)
			l.handle(requestArrived{request: r})
			sent := false
			for _, action := range l.actions {
				if action.Kind != policy.ActionSendAttempt || action.Request != r.id {
					continue
				}
				sent = true
				if got, want := config.Milliseconds(action.DelayMs), before-c.margin*9/10; got > want {
					t.Errorf("got an attempt of %v with %v left, want at most %v", got, before, want)
				}
			}
			if !sent && c.left > time.Second {
				t.Errorf("got no attempt with %v left, want one", c.left)
			}
		})
	}
}

// newLoopRequest returns a request of the class "order" in the form in which the handler posts it.
func newLoopRequest(conf *config.Config, id string, deadline time.Time) *request {
	return &request{config: conf, class: 2, tenant: -1, responses: make(chan response, 2), Request: backend.Request{
		Method: http.MethodPost, Target: "/order/u1", Host: "b", RequestID: id, Deadline: deadline}}
}

// A request without time left never ran: it is rejected with a Retry-After.
func TestHandlerRejectsRequestWithoutTimeLeft(t *testing.T) {
	addr, received := agenttest.IDBackend(t, 200, false)
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	req := newClientRequest(base, "order")
	req.Header.Set("Request-Timeout", "1u")
	status, _, header := do(t, req)
	checkRejected(t, status, header)
	if len(received) > 0 {
		t.Fatalf("got %d requests forwarded, want 0", len(received))
	}
}

// panickingBody is a body whose reads panic.
type panickingBody struct{}

func (panickingBody) Read([]byte) (int, error) { panic("boom") }

func (panickingBody) Close() error { return nil }

func TestHandlerAnswersAfterPanic(t *testing.T) {
	agent := newAgent(t, agenttest.Config(refusingAddr))
	req := newClientRequest("http://b", "order")
	req.RequestURI = "/order/u1"
	req.Body = panickingBody{}
	recorder := httptest.NewRecorder()
	agent.ServeHTTP(recorder, req)
	if recorder.Code != http.StatusInternalServerError {
		t.Fatalf("got status %d, want %d", recorder.Code, http.StatusInternalServerError)
	}
}
