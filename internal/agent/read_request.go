package agent

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"ploverreel/policy"
)

// plain tells whether an id or a name can be sent on as it is.
func isPlainToken(id string) bool {
	if id == "" || len(id) > maxWord {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// read makes a request of what the client sent, its body included.
func (a *Agent) read(conf *Config, w http.ResponseWriter, hr *http.Request, came time.Time) (*request, *requestError) {
	r := &request{config: conf, method: hr.Method, target: hr.RequestURI, host: hr.Host,
		retry: hr.Header.Get("Client-Retry") == "1", answers: make(chan response, 1)}
	// The server ignores a length beside a Transfer-Encoding, so a request could hide in
	// the body for whoever reads it the other way; clients send lengths.
	if len(hr.TransferEncoding) > 0 || hr.ContentLength < 0 {
		return nil, &requestError{status: http.StatusLengthRequired, text: "Transfer-Encoding: not taken"}
	}
	if hr.ContentLength > maxBody {
		return nil, &requestError{status: http.StatusRequestEntityTooLarge, text: "body: above 64 KiB"}
	}
	if !strings.HasPrefix(hr.RequestURI, "/") {
		return nil, &requestError{status: http.StatusBadRequest, text: "no path: an agent is no proxy"}
	}
	parts := strings.Split(hr.URL.Path[1:], "/")
	class, known := conf.Names.classes[parts[0]]
	if !known {
		return nil, &requestError{status: http.StatusNotFound, text: "unknown class of request"}
	}
	r.class = class
	var timeout string
	for _, field := range []struct {
		key   string
		value *string
	}{{"Request-Id", &r.wireID}, {"Idempotency-Key", &r.idempotency}, {"Content-Type", &r.contentType}, {"Request-Timeout", &timeout}} {
		values := hr.Header[field.key]
		if len(values) > 1 {
			return nil, &requestError{status: http.StatusBadRequest, text: field.key + ": more than one"}
		}
		if len(values) == 1 {
			*field.value = values[0]
		}
	}
	set := &conf.Settings.Classes[class]
	want := http.MethodPost
	if set.Effect == policy.EffectIdempotent {
		want = http.MethodGet
	}
	left, err := parseTimeout(timeout, conf.maxDeadline())
	switch {
	case hr.Method != want:
		return nil, &requestError{status: http.StatusMethodNotAllowed, text: "this class is asked with " + want}
	case want == http.MethodGet && hr.ContentLength > 0:
		return nil, &requestError{status: http.StatusBadRequest, text: "body: none belongs to GET"}
	case !isPlainToken(r.host):
		return nil, &requestError{status: http.StatusBadRequest, text: "Host: missing or no plain word"}
	case !isPlainToken(r.wireID):
		return nil, &requestError{status: http.StatusBadRequest, text: "Request-Id: missing or no plain word"}
	case set.Effect == policy.EffectIdempotentWithKey && r.idempotency == "":
		return nil, &requestError{status: http.StatusBadRequest, text: "Idempotency-Key: missing"}
	case err != nil:
		return nil, &requestError{status: http.StatusBadRequest, text: "Request-Timeout: " + err.Error()}
	}
	// A client may wait for longer than its class is worth anything, the agent does not.
	r.deadline = came.Add(min(left, millis(set.DeadlineMs)))
	if len(parts) > 1 && parts[len(parts)-1] != "" {
		r.key = keyHash(parts[len(parts)-1])
	}
	if name := hr.Header.Get("Tenant"); len(conf.Names.tenants) > 0 {
		if r.tenant, known = conf.Names.tenants[name]; !known {
			r.tenant = -1
		}
	}
	if hint, err := strconv.ParseFloat(hr.Header.Get("Work-Hint"), 64); err == nil {
		r.hintMs, r.hasHint = hint/1000, true
	}
	return r, a.readBody(w, hr, r)
}

// readBody reads the body of the length that the head tells. The bodies held together
// may take an eighth of the memory.
func (a *Agent) readBody(w http.ResponseWriter, hr *http.Request, r *request) *requestError {
	if hr.ContentLength == 0 {
		return nil
	}
	held := a.bodyBytes.Add(hr.ContentLength)
	defer func() {
		if r.body == nil {
			a.bodyBytes.Add(-hr.ContentLength)
		}
	}()
	if held > int64(r.config.Limits.MemoryMB*(1<<20)/8) {
		return &requestError{status: http.StatusServiceUnavailable, text: "body: no memory left",
			retryAfter: millis(r.config.Settings.Limits.MaxRetryAfterMs)}
	}
	// A body that stops coming must not hold its connection for ever, and one that comes
	// slowly not the answer past its time.
	control := http.NewResponseController(w)
	now := time.Now()
	within := min(bodyTimeout, max(r.deadline.Sub(now), leastBodyFor))
	_ = control.SetReadDeadline(now.Add(within))
	body := make([]byte, hr.ContentLength)
	if _, err := io.ReadFull(hr.Body, body); err != nil {
		if within < bodyTimeout && errors.Is(err, os.ErrDeadlineExceeded) {
			return &requestError{status: http.StatusServiceUnavailable, text: "body: came too late",
				retryAfter: millis(r.config.Settings.Limits.MaxRetryAfterMs)}
		}
		return &requestError{status: http.StatusRequestTimeout, text: "body: did not come whole"}
	}
	_ = control.SetReadDeadline(time.Time{})
	r.body = body
	return nil
}

// parseTimeout reads a number and a unit, m for milliseconds or u for microseconds.
func parseTimeout(text string, longest time.Duration) (time.Duration, error) {
	unit := time.Duration(0)
	switch {
	case strings.HasSuffix(text, "m"):
		unit = time.Millisecond
	case strings.HasSuffix(text, "u"):
		unit = time.Microsecond
	default:
		return 0, errors.New("no number with the unit m or u")
	}
	n, err := strconv.ParseUint(text[:len(text)-1], 10, 63)
	if err != nil || n == 0 || n > uint64(longest/unit) {
		return 0, fmt.Errorf("no number above 0 and within %v", longest)
	}
	return time.Duration(n) * unit, nil
}

// keyOf gives what a request is about its number, the same at every agent; 0 is none.
func keyHash(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return max(h.Sum64(), 1)
}
