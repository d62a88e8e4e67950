package agent

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/policy"
)

// The handler answers by itself if the loop never does.
func TestGuard(t *testing.T) {
	conf := parse(t, agenttest.Config(nowhere))
	agent, err := New(conf, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer agent.stop() // the loop does not run
	req := call("http://b", "order")
	req.RequestURI = "/order/u1"
	req.Header.Set("Request-Timeout", "20m")
	rec := httptest.NewRecorder()
	agent.ServeHTTP(rec, req)
	if rec.Code != http.StatusGatewayTimeout {
		t.Fatalf("answered %d", rec.Code)
	}
	if first, second := <-agent.loop.inputs, <-agent.loop.inputs; !is[requestArrived](first) || !is[clientDisconnected](second) {
		t.Fatalf("the loop was told %T, %T", first, second)
	}
}

// The decision module's last answer comes before the handler's own, however short the interval
// between its turns: only the module's has a Retry-After.
func TestLastWordIsTheModules(t *testing.T) {
	for left, margin := range map[time.Duration]time.Duration{
		agenttest.Never: guardMargin + wordMargin, 40 * time.Second: guardMargin + wordMargin, 8 * time.Millisecond: 2 * time.Millisecond,
	} {
		t.Run(left.String(), func(t *testing.T) {
			loop := quietLoop(t, "127.0.0.1:1")
			r := &request{config: loop.config, class: 2, tenant: -1, answers: make(chan response, 1), Request: backend.Request{
				Method: http.MethodPost, Target: "/order/u1", Host: "b", RequestID: "last", Deadline: time.Now().Add(left)}}
			before := time.Until(r.Deadline)
			loop.handle(requestArrived{request: r})
			sent := false
			for _, act := range loop.actions {
				if act.Kind == policy.ActionSendAttempt && act.Request == r.id {
					sent = true
					if told := config.Milliseconds(act.DelayMs); told > before-margin*9/10 {
						t.Errorf("an attempt of a request with %v left may take %v", before, told)
					}
				}
			}
			if !sent && left > time.Second {
				t.Errorf("a request with %v left was not sent", left)
			}
		})
	}
}

// A request with no time left never ran: it is rejected with a Retry-After.
func TestNoTimeLeft(t *testing.T) {
	addr, came := counted(t, 200, false)
	_, base, _, _ := start(t, agenttest.Config(nowhere, addr))
	req := call(base, "order")
	req.Header.Set("Request-Timeout", "1u")
	if status, _, head := do(t, req); status != 503 || head.Get("Retry-After") != "0.6" || len(came) > 0 {
		t.Fatalf("answered %d, Retry-After %q, %d sent on", status, head.Get("Retry-After"), len(came))
	}
}

// explodes is a body that panics when it is read.
type explodes struct{}

func (explodes) Read([]byte) (int, error) { panic("boom") }

func (explodes) Close() error { return nil }

// A request whose handler panics is answered.
func TestHandlerPanic(t *testing.T) {
	agent := newAgent(t, agenttest.Config(nowhere))
	req := call("http://b", "order")
	req.RequestURI = "/order/u1"
	req.Body = explodes{}
	rec := httptest.NewRecorder()
	agent.ServeHTTP(rec, req)
	if rec.Code != http.StatusInternalServerError {
		t.Fatalf("answered %d", rec.Code)
	}
}
