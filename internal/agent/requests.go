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

// statusDuplicateID is the status of the response to a request whose id is that of an earlier
// request. No status of the decision module has this number.
const statusDuplicateID policy.Status = 1

// request is a client's request. The handler fills it in and posts it to the loop.
type request struct {
	backend.Request // as it is forwarded

	config      *config.Config // current when the request was read; class and tenant are indices in it
	class       int
	tenant      int     // -1: not in the settings
	keyHash     uint64  // of the key by which a backend is chosen; 0: no key
	workHintMs  float64 // processing time that the client expects
	hasWorkHint bool
	retry       bool               // the client marked the request as a retry
	responses   chan response      // buffered for the single response
	memory      *memoryReservation // held by the handler, and by the loop from the post to the end; nil: small
	client      client

	id policy.RequestID // the module's id, which belongs to the loop; 0: not assigned yet
	progress
}

// progress is the state of a request in the loop, to which it belongs.
type progress struct {
	closed     bool       // the request was answered, or its client has disconnected
	attempts   []*attempt // nil instead of those that this machine could not make, as these may be many
	inFlight   int        // attempts that have not ended
	mayHaveRun bool       // an attempt has ended that may have run
}

// client is the client that waits for the response to a request.
type client struct {
	conn      net.Conn    // nil in tests that call the handler without a server
	abandoned atomic.Bool // the client disconnected, or the handler responded without the loop; set by any goroutine
}

// Disconnected reports whether the client no longer waits for the response. It checks the
// connection itself for a close that has arrived and was not read yet: on a busy machine the
// goroutine that reads the connection, or the loop, may lag far behind.
func (c *client) Disconnected() bool {
	if !c.abandoned.Load() && c.conn != nil && socket.PeerClosed(c.conn) {
		c.abandoned.Store(true)
	}
	return c.abandoned.Load()
}

// response is the single response to a request.
type response struct {
	status      policy.Status // StatusOK: served; StatusRejected: never ran; statusDuplicateID; any other status: failed
	body        []byte
	contentType string
	retryAfter  time.Duration // of a rejected request; 0: no Retry-After
}

// remapClass updates the class and the tenant of a request that was read under another
// configuration to their indices in the current configuration. It reports whether the class still
// exists with the same effect.
func (l *loop) remapClass(request *request) bool {
	if request.config == l.config {
		return true
	}
	oldClass := &request.config.Settings.Classes[request.class]
	class, known := l.config.Names.Class(oldClass.Name)
	if !known || l.config.Settings.Classes[class].Effect != oldClass.Effect {
		return false
	}
	request.class = class
	if l.config.Names.HasTenants() {
		request.tenant = l.currentTenant(request)
	}
	return true
}

// currentTenant returns the index of a request's tenant in the current configuration, or -1 if the
// settings don't contain the tenant.
func (l *loop) currentTenant(request *request) int {
	oldTenants := request.config.Settings.Tenants
	if request.tenant < 0 || request.tenant >= len(oldTenants) {
		return -1
	}
	tenant, known := l.config.Names.Tenant(oldTenants[request.tenant].Name)
	if !known {
		return -1
	}
	return tenant
}

// onRequest notifies the module of a new request and of the time that remains for attempts. If the
// class is no longer in the settings, it rejects the request at once, as never run. If the id is
// that of an earlier request, it responds with statusDuplicateID at once.
func (l *loop) onRequest(request *request) {
	if !l.remapClass(request) {
		l.drop(request, response{status: policy.StatusRejected, retryAfter: maxRetryAfter(l.config)})
		return
	}
	if !l.seenIDs.begin(request.RequestID, time.Now()) {
		l.drop(request, response{status: statusDuplicateID})
		return
	}
	request.id = l.newRequestID()
	l.requests[request.id] = request
	left := time.Until(request.Deadline)
	left -= min(fallbackMargin+decisionMargin, left/marginDivisor)
	l.notify(&policy.RequestArrived{Request: request.id, Class: request.class, Tenant: request.tenant,
		Key: request.keyHash, TimeLeftMs: float64(left) / float64(time.Millisecond),
		WorkHintMs: request.workHintMs, HasWorkHint: request.hasWorkHint, Retry: request.retry})
}

// drop responds to a request that the module is not notified of.
func (l *loop) drop(request *request, resp response) {
	l.respond(request, resp)
	request.memory.release()
}

// newRequestID returns the next id for the module. It skips 0, which means that no id was assigned.
func (l *loop) newRequestID() policy.RequestID {
	l.lastID++
	if l.lastID == 0 {
		l.lastID++
	}
	return l.lastID
}

// onClientDisconnected closes a request whose handler has stopped waiting for the loop, unless the
// request is already closed.
func (l *loop) onClientDisconnected(request *request) {
	if request.id == 0 || request.closed {
		return
	}
	l.closeRequest(request)
	l.notify(&policy.ClientDisconnected{Request: request.id})
	l.removeIfDone(request)
}

// respond closes a request and sends its single response, unless the request is already closed.
func (l *loop) respond(request *request, resp response) {
	if !request.closed {
		l.closeRequest(request)
		request.responses <- resp
	}
}

// closeRequest marks a request as closed because it is answered or its client has disconnected. It
// withdraws the attempts that have not begun to send, whatever they wait for. It does so even if the
// settings forbid the cancellation of attempts, as no byte of these attempts was sent.
func (l *loop) closeRequest(request *request) {
	request.closed = true
	for _, attempt := range request.attempts {
		if attempt != nil {
			attempt.Withdraw(backend.ErrCancelled)
		}
	}
}

// removeIfDone removes a request if it is closed and has no attempt in flight. Until then a request
// with its id is rejected.
func (l *loop) removeIfDone(request *request) {
	if request.closed && request.inFlight == 0 && l.requests[request.id] == request {
		delete(l.requests, request.id)
		l.seenIDs.end(request.RequestID, request.mayHaveRun, time.Now())
		request.memory.release()
	}
}
