package agent

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ploverreel/internal/clientconn"
	"ploverreel/internal/config"
	"ploverreel/policy"
)

// maxTokenBytes bounds the length of a Request-Id and of a Host.
const maxTokenBytes = 256

// requestError is the reason why a request is rejected before it reaches the loop.
type requestError struct {
	status     int           // HTTP status of the response
	reason     string        // one line for the client; names the invalid header or part
	retryAfter time.Duration // set if the request itself is valid; 0: no Retry-After
}

func (e *requestError) Error() string { return e.reason }

// newUnavailableError returns the reason why a valid request is rejected for now.
func newUnavailableError(reason string, conf *config.Config) *requestError {
	return &requestError{status: http.StatusServiceUnavailable, reason: reason, retryAfter: maxRetryAfter(conf)}
}

// readRequest reads and checks a client's request, including the body. Its errors are of type
// *requestError.
func (a *Agent) readRequest(conf *config.Config, r *http.Request, receivedAt time.Time) (*request, error) {
	if err := checkVersion(r); err != nil {
		return nil, err
	}
	if err := checkFraming(r); err != nil {
		return nil, err
	}
	path := strings.Split(r.URL.Path[1:], "/")
	class, known := conf.Names.Class(path[0])
	if !known {
		return nil, &requestError{status: http.StatusNotFound, reason: "unknown class of request"}
	}
	req := &request{config: conf, class: class, retry: r.Header.Get("Client-Retry") == "1", responses: make(chan response, 1)}
	req.Method, req.Target, req.Host, req.Client = r.Method, r.RequestURI, r.Host, &req.client
	timeoutText, err := readUniqueHeaders(req, r.Header)
	if err != nil {
		return nil, err
	}
	settings := &conf.Settings.Classes[class]
	if err := checkClassRequirements(req, settings.Effect, r.ContentLength); err != nil {
		return nil, err
	}
	timeout, err := parseTimeout(timeoutText, conf.MaxDeadline())
	if err != nil {
		return nil, &requestError{status: http.StatusBadRequest, reason: "Request-Timeout: " + err.Error()}
	}
	// A client's timeout may exceed the deadline of the class, after which a response has no value.
	// The agent uses the shorter of the two.
	req.Deadline = receivedAt.Add(min(timeout, config.Milliseconds(settings.DeadlineMs)))
	readRoutingHints(req, path, r.Header)
	return req, a.readBody(r, req)
}

// checkVersion rejects a request of an HTTP version below 1.1. Such a request can't be checked for an
// ambiguous length: the HTTP server deletes its Transfer-Encoding, which RFC 9112, section 6.1,
// declares invalid in that version, and uses the Content-Length.
func checkVersion(r *http.Request) error {
	if !r.ProtoAtLeast(1, 1) {
		return &requestError{status: http.StatusHTTPVersionNotSupported, reason: "HTTP version: below 1.1"}
	}
	return nil
}

// checkFraming rejects a request whose length is ambiguous, one whose head or body is too long, and
// one that is meant for a proxy.
func checkFraming(r *http.Request) error {
	switch {
	case len(r.TransferEncoding) > 0 || r.ContentLength < 0:
		// The HTTP server ignores a Content-Length next to a Transfer-Encoding. A proxy that uses
		// the Content-Length would disagree with it about the end of the body, which permits request
		// smuggling. Valid clients send a Content-Length only.
		return &requestError{status: http.StatusLengthRequired, reason: "Transfer-Encoding: not taken"}
	case r.ContentLength > maxBodyBytes:
		return &requestError{status: http.StatusRequestEntityTooLarge, reason: "body: above 64 KiB"}
	case headerLines(r) > clientconn.MaxHeaderLines:
		return &requestError{status: http.StatusRequestHeaderFieldsTooLarge, reason: "head: too many lines"}
	case !strings.HasPrefix(r.RequestURI, "/"):
		return &requestError{status: http.StatusBadRequest, reason: "no path: an agent is no proxy"}
	}
	return nil
}

// headerLines returns the number of header lines of a request, including Host.
func headerLines(r *http.Request) int {
	lines := 1 // the HTTP server has removed Host from the header
	for _, values := range r.Header {
		lines += len(values)
	}
	return lines
}

// readUniqueHeaders reads the headers that may occur at most once, and returns the value of
// Request-Timeout.
func readUniqueHeaders(req *request, header http.Header) (timeoutText string, err error) {
	for _, field := range []struct {
		key   string
		value *string
	}{
		{"Request-Id", &req.RequestID},
		{"Idempotency-Key", &req.IdempotencyKey},
		{"Content-Type", &req.ContentType},
		{"Request-Timeout", &timeoutText},
	} {
		values := header[field.key]
		if len(values) > 1 {
			return "", &requestError{status: http.StatusBadRequest, reason: field.key + ": more than one"}
		}
		if len(values) == 1 {
			*field.value = values[0]
		}
	}
	return timeoutText, nil
}

// checkClassRequirements checks that a request meets the requirements of its class's effect, and
// that its Host and Request-Id can be forwarded.
func checkClassRequirements(req *request, effect policy.Effect, contentLength int64) error {
	method := http.MethodPost
	if effect == policy.EffectIdempotent {
		method = http.MethodGet
	}
	switch {
	case req.Method != method:
		return &requestError{status: http.StatusMethodNotAllowed, reason: "this class is asked with " + method}
	case method == http.MethodGet && contentLength > 0:
		return errBodyOfGET
	case !isValidToken(req.Host):
		return &requestError{status: http.StatusBadRequest, reason: "Host: missing or no plain word"}
	case !isValidToken(req.RequestID):
		return &requestError{status: http.StatusBadRequest, reason: "Request-Id: missing or no plain word"}
	case effect == policy.EffectIdempotentWithKey && req.IdempotencyKey == "":
		return &requestError{status: http.StatusBadRequest, reason: "Idempotency-Key: missing"}
	}
	return nil
}

// isValidToken reports whether an id or a host name can be forwarded unchanged, that is, whether it
// consists of 1 to maxTokenBytes visible ASCII characters.
func isValidToken(text string) bool {
	if text == "" || len(text) > maxTokenBytes {
		return false
	}
	for _, char := range []byte(text) {
		if char <= ' ' || char > '~' {
			return false
		}
	}
	return true
}

// readRoutingHints reads what the decision module needs to choose a backend: the key, which is the
// last segment of the path, the tenant (-1 if unknown), and the processing time that the client
// expects, which is sent in µs. All are optional, and a processing time that isn't a number is
// ignored.
func readRoutingHints(req *request, path []string, header http.Header) {
	if last := path[len(path)-1]; len(path) > 1 && last != "" {
		req.keyHash = keyHash(last)
	}
	if names := &req.config.Names; names.HasTenants() {
		tenant, known := names.Tenant(header.Get("Tenant"))
		if !known {
			tenant = -1
		}
		req.tenant = tenant
	}
	if micros, err := strconv.ParseFloat(header.Get("Work-Hint"), 64); err == nil {
		req.workHintMs, req.hasWorkHint = micros/1000, true
	}
}

// parseTimeout parses a positive integer that is followed by a unit: m for milliseconds, u for
// microseconds. A timeout above longest is an error. The errors don't name the header.
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
	count, err := strconv.ParseUint(text[:len(text)-1], 10, 63)
	if err != nil || count == 0 || count > uint64(longest/unit) {
		return 0, fmt.Errorf("no number above 0 and within %v", longest)
	}
	return time.Duration(count) * unit, nil
}

// keyHash returns the 64-bit FNV-1a hash of a request's key, which is the same at every agent. It
// never returns 0, which means that a request has no key.
func keyHash(text string) uint64 {
	hash := fnv.New64a()
	io.WriteString(hash, text)
	return max(hash.Sum64(), 1)
}
