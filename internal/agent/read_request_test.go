package agent

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// An invalid request gets a 4xx other than 429, as it fails again when retried, and reaches no
// backend.
func TestBadInput(t *testing.T) {
	addr, came := counted(t, 200, false)
	_, base, _, _ := start(t, agenttest.Config(nowhere, addr))
	for name, change := range map[string]func(r *http.Request){
		"unknown class":    func(r *http.Request) { r.URL.Path = "/nothing/u1" },
		"root":             func(r *http.Request) { r.URL.Path = "/" },
		"method":           func(r *http.Request) { r.Method = http.MethodPut },
		"no Request-Id":    func(r *http.Request) { r.Header.Del("Request-Id") },
		"no timeout":       func(r *http.Request) { r.Header.Del("Request-Timeout") },
		"unit":             func(r *http.Request) { r.Header.Set("Request-Timeout", "480") },
		"negative timeout": func(r *http.Request) { r.Header.Set("Request-Timeout", "-1m") },
		"huge timeout":     func(r *http.Request) { r.Header.Set("Request-Timeout", "99999999999999m") },
		"no key":           func(r *http.Request) { r.Header.Del("Idempotency-Key") },
		"long body": func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBody+1))), maxBody+1
		},
	} {
		t.Run(name, func(t *testing.T) {
			req := call(base, "send")
			change(req)
			if status, _, _ := do(t, req); status < 400 || status > 499 || status == 429 {
				t.Errorf("answered %d", status)
			}
		})
	}
	longest := call(base, "send")
	longest.Body, longest.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBody))), maxBody
	longest.Header.Set("Request-Id", "longest")
	if status, _, _ := do(t, longest); status != 200 {
		t.Errorf("a body of 64 KiB: answered %d", status)
	}
	if id := <-came; id != "longest" || len(came) > 0 {
		t.Errorf("bad input reached the backend")
	}
}

// A path without a last segment has no key: such requests must not all hash to the same backend.
func TestNoKey(t *testing.T) {
	agent := newAgent(t, agenttest.Config(nowhere))
	for path, keyed := range map[string]bool{"/order": false, "/order/": false, "/order/u1": true, "/order/a/u1": true} {
		t.Run(path, func(t *testing.T) {
			req := call("http://b", "order")
			req.RequestURI, req.URL.Path = path, path
			req.Body = http.NoBody
			req.ContentLength = 0
			got, err := agent.readRequest(agent.config.Load(), httptest.NewRecorder(), req, time.Now())
			if err != nil || (got.key != 0) != keyed {
				t.Errorf("%+v, %v", got, err)
			}
		})
	}
}

// The longest timeout accepted follows from the settings: a class may have a deadline of minutes.
func TestDeadlinesOfTheSettings(t *testing.T) {
	addr, _ := counted(t, 200, false)
	conf := agenttest.Config(nowhere, addr)
	conf["settings"].(map[string]any)["classes"].([]any)[2].(map[string]any)["giveUpMs"] = 300000
	_, base, _, _ := start(t, conf)
	for text, want := range map[string]int{
		"75000m": 200, "300000m": 200, "300000000u": 200, // within the longest class's
		"300001m": 400, "18446744073709551615m": 400, "-75000m": 400, "75000": 400, "m": 400,
	} {
		for class, want := range map[string]int{"order": want, "look": want} {
			t.Run(class+" "+text, func(t *testing.T) {
				req := call(base, class)
				req.Header.Set("Request-Timeout", text)
				if status, said, _ := do(t, req); status != want {
					t.Errorf("answered %d %q, want %d", status, said, want)
				}
			})
		}
	}
}

// What is refused before the loop is a requestError with its HTTP status, and its text names the
// header or the part at fault.
func TestRequestErrors(t *testing.T) {
	agent := newAgent(t, agenttest.Config(nowhere))
	for _, test := range []struct {
		name   string
		change func(r *http.Request)
		status int
		reason string
	}{
		{"chunked", func(r *http.Request) { r.TransferEncoding = []string{"chunked"} }, 411, "Transfer-Encoding"},
		{"no length", func(r *http.Request) { r.ContentLength = -1 }, 411, "Transfer-Encoding"},
		{"long body", func(r *http.Request) { r.ContentLength = maxBody + 1 }, 413, "body"},
		{"absolute form", func(r *http.Request) { r.RequestURI = "http://c/send/u1" }, 400, "no path"},
		{"unknown class", func(r *http.Request) { r.URL.Path = "/none/u1" }, 404, "unknown class"},
		{"two ids", func(r *http.Request) { r.Header.Add("Request-Id", "again") }, 400, "Request-Id: more than one"},
		{"two timeouts", func(r *http.Request) { r.Header.Add("Request-Timeout", "1m") }, 400, "Request-Timeout: more than one"},
		{"wrong method", func(r *http.Request) { r.Method = http.MethodPut }, 405, "this class is asked with POST"},
		{"GET with a body", func(r *http.Request) { r.Method, r.URL.Path = http.MethodGet, "/look/u1" }, 400, "body"},
		{"no host", func(r *http.Request) { r.Host = "" }, 400, "Host"},
		{"long id", func(r *http.Request) { r.Header.Set("Request-Id", strings.Repeat("x", maxTokenLen+1)) }, 400, "Request-Id: missing"},
		{"no key", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400, "Idempotency-Key"},
		{"no timeout", func(r *http.Request) { r.Header.Del("Request-Timeout") }, 400, "Request-Timeout: no number"},
		{"short body", func(r *http.Request) { r.Body = io.NopCloser(strings.NewReader("bo")) }, 408, "body: did not come whole"},
		{"no memory left", func(*http.Request) { agent.bodyBytes.Store(1 << 40) }, 503, "body: no memory left"},
	} {
		t.Run(test.name, func(t *testing.T) {
			agent.bodyBytes.Store(0)
			req := call("http://b", "send")
			req.RequestURI = "/send/u1"
			test.change(req)
			before := agent.bodyBytes.Load()
			_, err := agent.readRequest(agent.config.Load(), httptest.NewRecorder(), req, time.Now())
			var refused *requestError
			if !errors.As(err, &refused) {
				t.Fatalf("got %v, want a requestError", err)
			}
			if refused.status != test.status || !strings.HasPrefix(err.Error(), test.reason) {
				t.Errorf("got %d %q, want %d %q", refused.status, err, test.status, test.reason)
			}
			if wantRetryAfter := test.status == http.StatusServiceUnavailable; (refused.retryAfter > 0) != wantRetryAfter {
				t.Errorf("Retry-After of %v with %d", refused.retryAfter, refused.status)
			}
			if after := agent.bodyBytes.Load(); after != before {
				t.Errorf("%d bytes of bodies are counted as in memory, before it were %d", after, before)
			}
		})
	}
}
