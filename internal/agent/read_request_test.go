package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/clientconn"
)

// bodyOf returns a body of n bytes.
func bodyOf(n int) io.ReadCloser { return io.NopCloser(strings.NewReader(strings.Repeat("x", n))) }

// An invalid request gets a 4xx other than 429, as a retry would fail again, and reaches no
// backend.
func TestAgentRefusesInvalidRequests(t *testing.T) {
	addr, received := agenttest.IDBackend(t, 200, false)
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	for name, change := range map[string]func(r *http.Request){
		"unknown class":      func(r *http.Request) { r.URL.Path = "/nothing/u1" },
		"no class":           func(r *http.Request) { r.URL.Path = "/" },
		"wrong method":       func(r *http.Request) { r.Method = http.MethodPut },
		"no Request-Id":      func(r *http.Request) { r.Header.Del("Request-Id") },
		"no timeout":         func(r *http.Request) { r.Header.Del("Request-Timeout") },
		"no unit":            func(r *http.Request) { r.Header.Set("Request-Timeout", "480") },
		"negative timeout":   func(r *http.Request) { r.Header.Set("Request-Timeout", "-1m") },
		"huge timeout":       func(r *http.Request) { r.Header.Set("Request-Timeout", "99999999999999m") },
		"no idempotency key": func(r *http.Request) { r.Header.Del("Idempotency-Key") },
		"long body": func(r *http.Request) {
			r.Body, r.ContentLength = bodyOf(maxBodyBytes+1), maxBodyBytes+1
		},
	} {
		t.Run(name, func(t *testing.T) {
			req := newClientRequest(base, "send")
			change(req)
			if status, _, _ := do(t, req); status < 400 || status > 499 || status == 429 {
				t.Errorf("got status %d, want a 4xx other than 429", status)
			}
		})
	}
	longest := newClientRequest(base, "send")
	longest.Body, longest.ContentLength = bodyOf(maxBodyBytes), maxBodyBytes
	longest.Header.Set("Request-Id", "longest")
	if status, _, _ := do(t, longest); status != 200 {
		t.Errorf("a body of 64 KiB: got status %d, want 200", status)
	}
	if id := <-received; id != "longest" || len(received) > 0 {
		t.Errorf("got request %q and %d more forwarded, want only the valid one", id, len(received))
	}
}

// A path without a last segment has no key: such requests must not all hash to the same backend.
func TestReadRequestReadsKeyFromPath(t *testing.T) {
	agent := newAgent(t, agenttest.Config(refusingAddr))
	for path, wantKey := range map[string]bool{"/order": false, "/order/": false, "/order/u1": true, "/order/a/u1": true} {
		t.Run(path, func(t *testing.T) {
			req := newClientRequest("http://b", "order")
			req.RequestURI, req.URL.Path = path, path
			req.Body = http.NoBody
			req.ContentLength = 0
			got, err := agent.readRequest(agent.config.Load(), req, time.Now())
			if err != nil {
				t.Fatalf("got %v, want no error", err)
			}
			if (got.keyHash != 0) != wantKey {
				t.Errorf("got key hash %d, want one other than 0: %v", got.keyHash, wantKey)
			}
		})
	}
}

// The longest timeout that is accepted is the longest deadline of the settings, where a class may
// have one of minutes. It applies to all classes.
func TestAgentAcceptsTimeoutsUpToLongestDeadline(t *testing.T) {
	addr, _ := agenttest.IDBackend(t, 200, false)
	conf := agenttest.Config(refusingAddr, addr)
	agenttest.Set(conf, 300000, "settings", "classes", 2, "giveUpMs")
	_, base, _, _ := startAgent(t, conf)
	for text, want := range map[string]int{
		"75000m": 200, "300000m": 200, "300000000u": 200, // up to the longest deadline
		"300001m": 400, "18446744073709551615m": 400, "-75000m": 400, "75000": 400, "m": 400,
	} {
		for _, class := range []string{"order", "look"} {
			t.Run(class+" "+text, func(t *testing.T) {
				req := newClientRequest(base, class)
				req.Header.Set("Request-Timeout", text)
				if status, body, _ := do(t, req); status != want {
					t.Errorf("got status %d %q, want %d", status, body, want)
				}
			})
		}
	}
}

// A request that is rejected before it reaches the loop has a requestError with the HTTP status.
// Its text names the invalid header or part.
func TestReadRequestErrorsNameTheFault(t *testing.T) {
	agent := newAgent(t, agenttest.Config(refusingAddr))
	for _, test := range []struct {
		name   string
		change func(r *http.Request)
		status int
		reason string
	}{
		{"chunked", func(r *http.Request) { r.TransferEncoding = []string{"chunked"} }, 411, "Transfer-Encoding"},
		{"no length", func(r *http.Request) { r.ContentLength = -1 }, 411, "Transfer-Encoding"},
		{"long body", func(r *http.Request) { r.ContentLength = maxBodyBytes + 1 }, 413, "body"},
		{"many lines", func(r *http.Request) { r.Header["X"] = make([]string, clientconn.MaxHeaderLines) }, 431, "head: too many lines"},
		{"absolute form", func(r *http.Request) { r.RequestURI = "http://c/send/u1" }, 400, "no path"},
		{"unknown class", func(r *http.Request) { r.URL.Path = "/none/u1" }, 404, "unknown class"},
		{"two ids", func(r *http.Request) { r.Header.Add("Request-Id", "again") }, 400, "Request-Id: more than one"},
		{"two timeouts", func(r *http.Request) { r.Header.Add("Request-Timeout", "1m") }, 400, "Request-Timeout: more than one"},
		{"wrong method", func(r *http.Request) { r.Method = http.MethodPut }, 405, "this class is asked with POST"},
		{"GET with a body", func(r *http.Request) { r.Method, r.URL.Path = http.MethodGet, "/look/u1" }, 400, "body"},
		{"no host", func(r *http.Request) { r.Host = "" }, 400, "Host"},
		{"long id", func(r *http.Request) { r.Header.Set("Request-Id", strings.Repeat("x", maxTokenBytes+1)) }, 400, "Request-Id: missing"},
		{"no key", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400, "Idempotency-Key"},
		{"no timeout", func(r *http.Request) { r.Header.Del("Request-Timeout") }, 400, "Request-Timeout: no number"},
		{"short body", func(r *http.Request) { r.Body = io.NopCloser(strings.NewReader("bo")) }, 408, "body: did not come whole"},
		{"no memory left", func(*http.Request) { agent.memory.used.Store(1 << 40) }, 503, "body: no memory left"},
	} {
		t.Run(test.name, func(t *testing.T) {
			agent.memory.used.Store(0)
			req := newClientRequest("http://b", "send")
			req.RequestURI = "/send/u1"
			test.change(req)
			before := agent.memory.used.Load()
			_, err := agent.readRequest(agent.config.Load(), req, time.Now())
			var refused *requestError
			if !errors.As(err, &refused) {
				t.Fatalf("got %v, want a requestError", err)
			}
			if refused.status != test.status || !strings.HasPrefix(err.Error(), test.reason) {
				t.Errorf("got %d %q, want %d %q", refused.status, err, test.status, test.reason)
			}
			if wantRetryAfter := test.status == http.StatusServiceUnavailable; (refused.retryAfter > 0) != wantRetryAfter {
				t.Errorf("got Retry-After %v with status %d, want any: %v", refused.retryAfter, refused.status, wantRetryAfter)
			}
			if after := agent.memory.used.Load(); after != before {
				t.Errorf("got %d bytes of bodies in memory, want the %d from before", after, before)
			}
		})
	}
}

func TestKeyHashDiffersAndIsNeverZero(t *testing.T) {
	if keyHash("u1") == keyHash("u2") || keyHash("") == 0 {
		t.Fatalf("got hashes %d and %d of two keys and %d of none, want three that differ and none that is 0",
			keyHash("u1"), keyHash("u2"), keyHash(""))
	}
}

func TestParseTimeoutAcceptsBothUnits(t *testing.T) {
	for text, want := range map[string]time.Duration{"480m": 480 * time.Millisecond, "1u": time.Microsecond, "60000m": time.Minute} {
		if got, err := parseTimeout(text, time.Minute); err != nil || got != want {
			t.Errorf("%q: got %v, %v; want %v", text, got, err, want)
		}
	}
	for _, text := range []string{"", "m", "0m", "-1m", "+1m", "1.5m", "1s", "60001m", "60000001u"} {
		if got, err := parseTimeout(text, time.Minute); err == nil {
			t.Errorf("%q: got %v, want an error", text, got)
		}
	}
}

func TestIsValidToken(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want bool
	}{
		"empty":           {"", false},
		"one character":   {"x", true},
		"longest":         {strings.Repeat("x", maxTokenBytes), true},
		"too long":        {strings.Repeat("x", maxTokenBytes+1), false},
		"a space":         {"a b", false},
		"a line break":    {"a\nb", false},
		"last of ASCII":   {"~", true},
		"a control":       {"\x7f", false},
		"not ASCII":       {"\u00e9", false},
		"all punctuation": {"!#$%&'*+-.^_`|:/", true},
	} {
		if got := isValidToken(c.text); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// evictedConn is a client's connection that is evicted while its body is awaited.
type evictedConn struct{ fakeClientConn }

func (evictedConn) EndBody(complete bool) bool { return !complete }

// Guards against a request that is closed without an answer, or with one that forbids a retry, when
// its connection is evicted before its body is complete.
func TestRequestWhoseBodyIsEvictedMayBeRetried(t *testing.T) {
	agent := newAgent(t, agenttest.Config(refusingAddr))
	req := httptest.NewRequest(http.MethodPost, "/order/u1", iotest.ErrReader(os.ErrDeadlineExceeded))
	req.ContentLength = 9
	req.Header.Set("Request-Id", "evicted")
	req.Header.Set("Request-Timeout", "30000m")
	w := httptest.NewRecorder()
	agent.ServeHTTP(w, req.WithContext(context.WithValue(req.Context(), connKey{}, evictedConn{})))
	checkRejected(t, w.Code, w.Header())
	if got := w.Header().Get("Connection"); got != "close" {
		t.Errorf("got Connection %q, want close", got)
	}
	if got := agent.memory.used.Load(); got != 0 {
		t.Errorf("got %d bytes of bodies in memory, want 0", got)
	}
}
