package agent

import (
	"net"
	"sync/atomic"
	"time"

	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/internal/socket"
	"ploverreel/policy"
)

// statusDuplicateID is the status of the response to a request whose id came before.
const statusDuplicateID policy.Status = 1

// request is a client's request. The handler fills it in and posts it to the loop.
type request struct {
	backend.Request // as it is forwarded

	config      *config.Config // in force when it was read; class and tenant are its numbers
	class       int
	tenant      int     // -1: none that the settings name
	keyHash     uint64  // of the key by which a backend is chosen; 0: no key
	workHintMs  float64 // the work that the client expects
	hasWorkHint bool
	retry       bool          // the client says that it has sent the request before
	answers     chan response // has room for the one response
	client      client

	id policy.RequestID // the module's; 0: not yet given. Belongs to the loop
	progress
}

// progress records how far a request has come. It belongs to the loop.
type progress struct {
	closed   bool       // it was answered, or its client has disconnected
	attempts []*attempt // an element is nil where this machine failed the attempt, as may happen often
	inFlight int        // attempts that have not ended
}

// client is who waits for the response to a request.
type client struct {
	conn      net.Conn    // nil in tests that call the handler alone
	abandoned atomic.Bool // it has disconnected, or was answered without the loop; any goroutine may set it
}

// Disconnected reports whether nobody waits for the response any more. It looks at the client's connection
// itself, whose end may have arrived without having been read: on a busy machine the goroutine that
// reads it, or the loop, may be far behind.
func (c *client) Disconnected() bool {
	if !c.abandoned.Load() && c.conn != nil && socket.PeerClosed(c.conn) {
		c.abandoned.Store(true)
	}
	return c.abandoned.Load()
}

// response is the one final response to a request.
type response struct {
	status      policy.Status // StatusOK: served; StatusRejected: never ran; statusDuplicateID; any other: failed
	body        []byte
	contentType string
	retryAfter  time.Duration // if it was rejected; 0: none is given
}

// renumber sets the class and the tenant of a request that was read under another configuration to the
// numbers that they have now. It reports whether the class still exists with the same effect.
func (l *loop) renumber(request *request) bool {
	if request.config == l.config {
		return true
	}
	former := &request.config.Settings.Classes[request.class]
	class, known := l.config.Names.Class(former.Name)
	if !known || l.config.Settings.Classes[class].Effect != former.Effect {
		return false
	}
	request.class = class
	if l.config.Names.HasTenants() {
		request.tenant = l.tenantNow(request)
	}
	return true
}

// tenantNow returns the number that the tenant of a request has in the configuration in force; -1 if
// the settings don't name it.
func (l *loop) tenantNow(request *request) int {
	former := request.config.Settings.Tenants
	if request.tenant < 0 || request.tenant >= len(former) {
		return -1
	}
	tenant, known := l.config.Names.Tenant(former[request.tenant].Name)
	if !known {
		return -1
	}
	return tenant
}

// onRequest notifies the module of a request that arrived, with the time that is left for attempts.
// It answers at once one whose class is no longer in the settings, as it never ran, and one whose id
// came before.
func (l *loop) onRequest(request *request) {
	if !l.renumber(request) {
		l.answer(request, response{status: policy.StatusRejected, retryAfter: maxRetryAfter(l.config)})
		return
	}
	if !l.seenIDs.add(request.RequestID, time.Now()) {
		l.answer(request, response{status: statusDuplicateID})
		return
	}
	request.id = l.newRequestID()
	l.requests[request.id] = request
	left := time.Until(request.Deadline)
	left -= min(fallbackMargin+decisionMargin, left/4)
	l.notify(&policy.RequestArrived{Request: request.id, Class: request.class, Tenant: request.tenant,
		Key: request.keyHash, TimeLeftMs: float64(left) / float64(time.Millisecond),
		WorkHintMs: request.workHintMs, HasWorkHint: request.hasWorkHint, Retry: request.retry})
}

// newRequestID returns the next id for the module. It is never 0, which means that none was given.
func (l *loop) newRequestID() policy.RequestID {
	l.lastID++
	if l.lastID == 0 {
		l.lastID++
	}
	return l.lastID
}

// onClientDisconnected closes a request whose handler has given up on the loop, unless it is closed.
func (l *loop) onClientDisconnected(request *request) {
	if request.id == 0 || request.closed {
		return
	}
	l.closeRequest(request)
	l.notify(&policy.ClientDisconnected{Request: request.id})
	l.removeIfDone(request)
}

// answer sends a request its one response, unless it is closed.
func (l *loop) answer(request *request, answer response) {
	if !request.closed {
		l.closeRequest(request)
		request.answers <- answer
	}
}

// closeRequest marks a request that is answered or whose client has disconnected. Its attempts that
// have not begun must not begin any more, wherever they wait. That is no cancellation, which the
// settings may forbid, as no byte of them has been sent.
func (l *loop) closeRequest(request *request) {
	request.closed = true
	for _, attempt := range request.attempts {
		if attempt != nil {
			attempt.Withdraw(backend.ErrCancelled)
		}
	}
}

// removeIfDone removes a request that is closed and has no attempt in flight.
func (l *loop) removeIfDone(request *request) {
	if request.closed && request.inFlight == 0 {
		delete(l.requests, request.id)
	}
}
