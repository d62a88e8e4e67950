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

// statusDuplicateID is the status of the answer to a request whose id came before.
const statusDuplicateID policy.Status = 1

// request is what a client asked for. The handler fills it in and hands it to the loop.
type request struct {
	backend.Request // as it is forwarded

	config  *config.Config // in force when it was read; class and tenant are its numbers
	class   int
	tenant  int // -1: none that the settings name
	key     uint64
	hintMs  float64
	hasHint bool
	retry   bool
	answers chan response // room for the one that is sent
	client  client

	id policy.RequestID // the module's; 0: not yet. Belongs to the loop
	progress
}

// progress is what has become of a request. It belongs to the loop.
type progress struct {
	answered bool       // or its client has left
	attempts []*attempt // nil: this machine could not make it; of those there may be many
	open     int        // attempts that have not ended
}

// client is who waits for the answer to a request.
type client struct {
	conn net.Conn    // nil: nobody's
	gone atomic.Bool // it has left, or was answered without the loop; any goroutine may set it
}

// HasLeft reports whether nobody waits for the answer any more. It looks at the client's connection
// itself: its end may be there before anybody has had the time to read it, as what waits for the
// processor or in the loop's queue is done in the order in which it came.
func (c *client) HasLeft() bool {
	if !c.gone.Load() && c.conn != nil && socket.PeerClosed(c.conn) {
		c.gone.Store(true)
	}
	return c.gone.Load()
}

// response is the one answer to a request.
type response struct {
	status      policy.Status // StatusOK: served; StatusRejected: never ran; statusDuplicateID; else failed
	body        []byte
	contentType string
	retryAfter  time.Duration // of one that was rejected; 0: not known
}

// renumber gives a request that was read under another configuration the numbers that its class and
// its tenant have now. It reports whether the class still exists with the same effect.
func (l *loop) renumber(request *request) bool {
	if request.config == l.config {
		return true
	}
	was, now, names := &request.config.Settings, &l.config.Settings, &l.config.Names
	class, known := names.Class(was.Classes[request.class].Name)
	if !known || now.Classes[class].Effect != was.Classes[request.class].Effect {
		return false
	}
	request.class = class
	if !names.HasTenants() {
		return true
	}
	tenant := -1
	if request.tenant >= 0 && request.tenant < len(was.Tenants) {
		if i, ok := names.Tenant(was.Tenants[request.tenant].Name); ok {
			tenant = i
		}
	}
	request.tenant = tenant
	return true
}

// onRequest notifies the module of a request that arrived, with the time that is left for attempts.
// It answers at once one whose class is no more, as it never ran, or whose id came before.
func (l *loop) onRequest(request *request) {
	if !l.renumber(request) {
		l.answer(request, response{status: policy.StatusRejected, retryAfter: config.Milliseconds(l.config.Settings.Limits.MaxRetryAfterMs)})
		return
	}
	if !l.seenIDs.add(request.RequestID, time.Now()) {
		l.answer(request, response{status: statusDuplicateID})
		return
	}
	l.nextID++
	if l.nextID == 0 { // means "not yet the module's"
		l.nextID++
	}
	request.id = l.nextID
	l.requests[request.id] = request
	left := time.Until(request.Deadline)
	left -= min(guardMargin+wordMargin, left/4)
	l.notify(&policy.RequestArrived{Request: request.id, Class: request.class, Tenant: request.tenant,
		Key: request.key, TimeLeftMs: float64(left) / float64(time.Millisecond),
		WorkHintMs: request.hintMs, HasWorkHint: request.hasHint, Retry: request.retry})
}

// onClientDisconnected closes a request whose handler waits no longer, unless it has its answer.
func (l *loop) onClientDisconnected(request *request) {
	if request.id == 0 || request.answered {
		return
	}
	l.close(request)
	l.notify(&policy.ClientDisconnected{Request: request.id})
	l.forget(request)
}

// answer gives a request its one answer, unless it has it.
func (l *loop) answer(request *request, answer response) {
	if !request.answered {
		l.close(request)
		request.answers <- answer
	}
}

// close marks a request that has its answer or whose client has left. Its attempts that have not
// begun must not any more, wherever they wait. That is no cancelling, which the settings may forbid,
// as nothing of them has been sent.
func (l *loop) close(request *request) {
	request.answered = true
	for _, attempt := range request.attempts {
		if attempt != nil {
			attempt.Withdraw(backend.ErrCancelled)
		}
	}
}

// forget drops a request that is answered and has no attempt in flight.
func (l *loop) forget(request *request) {
	if request.answered && request.open == 0 {
		delete(l.requests, request.id)
	}
}
