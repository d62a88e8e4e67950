package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

func TestWriteResponseMapsStatusToHTTP(t *testing.T) {
	for _, c := range []struct {
		name           string
		response       response
		wantStatus     int
		wantRetryAfter string
		wantType       string
	}{
		{"served", response{status: policy.StatusOK, body: []byte("done"), contentType: "text/plain"}, http.StatusOK, "", "text/plain"},
		{"rejected", response{status: policy.StatusRejected, retryAfter: 1250 * time.Millisecond}, http.StatusServiceUnavailable, "1.25", ""},
		{"rejected without a time", response{status: policy.StatusRejected}, http.StatusServiceUnavailable, "", ""},
		{"failed", response{status: policy.StatusServerError, retryAfter: time.Second}, http.StatusBadGateway, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			agent, recorder := newAgent(t, agenttest.Config(refusingAddr)), httptest.NewRecorder()
			agent.writeResponse(recorder, c.response)
			if recorder.Code != c.wantStatus {
				t.Errorf("got status %d, want %d", recorder.Code, c.wantStatus)
			}
			if got := recorder.Header().Get("Retry-After"); got != c.wantRetryAfter {
				t.Errorf("got Retry-After %q, want %q", got, c.wantRetryAfter)
			}
			if got := recorder.Header().Get("Content-Type"); got != c.wantType {
				t.Errorf("got Content-Type %q, want %q", got, c.wantType)
			}
			if got, want := recorder.Body.String(), string(c.response.body); got != want {
				t.Errorf("got body %q, want %q", got, want)
			}
		})
	}
}

// During a shutdown each response closes its connection, so that the agent can end.
func TestWriteResponseClosesConnectionDuringShutdown(t *testing.T) {
	agent := newAgent(t, agenttest.Config(refusingAddr))
	for _, c := range []struct{ when, want string }{{"before the shutdown", ""}, {"during the shutdown", "close"}} {
		recorder := httptest.NewRecorder()
		agent.writeResponse(recorder, response{status: policy.StatusOK})
		if got := recorder.Header().Get("Connection"); got != c.want {
			t.Errorf("%s: got Connection %q, want %q", c.when, got, c.want)
		}
		began := time.Now()
		agent.shutdownAt.Store(&began)
	}
}
