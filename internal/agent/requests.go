package agent

import (
	"net"
	"sync/atomic"
	"time"

	"ploverreel/policy"
)

// duplicate is the answer to a request whose id came before.
const statusDuplicateID policy.Status = 1

// request is what a client asked. The handler fills it in; what stands below
// answers belongs to the loop.
type request struct {
	config      *Config // in force when it was read; class and tenant are its numbers
	class       int
	tenant      int
	key         uint64
	hintMs      float64
	hasHint     bool
	retry       bool
	deadline    time.Time
	method      string
	target      string // path and query, as they came
	host        string
	wireID      string
	idempotency string
	contentType string
	body        []byte
	answers     chan response // room for the one that is sent
	client      net.Conn      // its connection; nil: nobody's
	clientGone  atomic.Bool   // the client has left, or was answered without the loop

	id       policy.RequestID
	answered bool
	attempts []*attempt // nil: this machine could not make it; of those there may be many
	open     int
}

// left tells whether nobody waits for the request any more. It asks the client's connection
// itself: its end may be there before anybody has had the time to read it, as what waits
// for the processor or in the loop's queue is done in the order in which it came.
func (r *request) hasClientLeft() bool {
	if !r.clientGone.Load() && r.client != nil && peerClosed(r.client) {
		r.clientGone.Store(true)
	}
	return r.clientGone.Load()
}

// answer is the final answer to a request.
type response struct {
	status      policy.Status // OK: served; Full: refused; Error: failed; duplicate
	body        []byte
	contentType string
	retryAfter  time.Duration
}

// renumber gives a request that was read under another configuration the numbers that its
// class and its tenant have now, and reports whether the class is still asked in the same way.
func (l *loop) renumber(r *request) bool {
	if r.config == l.config {
		return true
	}
	was := &r.config.Settings
	class, known := l.config.Names.classes[was.Classes[r.class].Name]
	if !known || l.config.Settings.Classes[class].Effect != was.Classes[r.class].Effect {
		return false
	}
	r.class = class
	if len(l.config.Names.tenants) > 0 {
		tenant := -1
		if r.tenant >= 0 && r.tenant < len(was.Tenants) {
			if i, ok := l.config.Names.tenants[was.Tenants[r.tenant].Name]; ok {
				tenant = i
			}
		}
		r.tenant = tenant
	}
	return true
}

func (l *loop) onRequest(r *request) {
	if !l.renumber(r) { // it never ran
		l.answer(r, response{status: policy.StatusRejected, retryAfter: millis(l.config.Settings.Limits.MaxRetryAfterMs)})
		return
	}
	if !l.seenIDs.add(r.wireID, time.Now()) {
		l.answer(r, response{status: statusDuplicateID})
		return
	}
	l.nextID++
	if l.nextID == 0 {
		l.nextID++
	}
	r.id = l.nextID
	l.requests[r.id] = r
	left := time.Until(r.deadline)
	left -= min(guardMargin+wordMargin, left/4)
	l.notify(&policy.Event{Kind: policy.EventRequest, Request: r.id, Class: r.class, Tenant: r.tenant,
		Key: r.key, TimeLeftMs: float64(left) / float64(time.Millisecond),
		HintMs: r.hintMs, HasHint: r.hasHint, Retry: r.retry})
}

// answer gives a request its final answer, unless it has one.
func (l *loop) answer(r *request, a response) {
	if !r.answered {
		l.close(r)
		r.answers <- a
	}
}

// close marks a request that has its answer or whose client has left. What of it has not
// begun must not any more, wherever it waits: that is no cancelling, which the settings may
// forbid, as nothing has been sent that could be called off.
func (l *loop) close(r *request) {
	r.answered = true
	for _, a := range r.attempts {
		if a != nil && a.withdraw() {
			a.cancel(errCancelled)
		}
	}
}

// forget drops a request that is answered and has no attempt out.
func (l *loop) forget(r *request) {
	if r.answered && r.open == 0 {
		delete(l.requests, r.id)
	}
}
