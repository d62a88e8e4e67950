package clientconn

import "time"

const (
	// rateBurst is the number of events that a rateLimit lets happen at once.
	rateBurst = 50
	// maxRateDelay bounds the delay of one event. A late answer is lost half a second after its
	// request's time, and a faulty client must get its error within 3 s of connecting.
	maxRateDelay = 250 * time.Millisecond
	// pipelinedRequestDelay is the delay of a request that its client sent before the response to the
	// one before. Without it, a client that sends such requests without a pause would keep the
	// server's goroutine running. The Go runtime looks for arrived bytes of other connections only
	// every 10 ms while its threads are busy.
	pipelinedRequestDelay = time.Millisecond
)

// rateLimit delays events above a rate, by the generic cell rate algorithm (GCRA). The table's mutex
// guards it.
type rateLimit struct {
	interval time.Duration // between two events at the rate; 0: no limit
	next     time.Time     // when the next event is due at the rate
}

// SetAnswerRate limits the rate of the answers that the agent gives without a backend, per second:
// those to invalid requests, to health checks, and to requests without time left. A client gets such
// an answer at once, and can send the next request at once. Many of these clients could otherwise
// use all of the processor time. Answers above the rate are delayed, by maxRateDelay at most. A new
// table has no limit.
func (t *Table) SetAnswerRate(perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers.interval = time.Duration(float64(time.Second) / perSecond)
}

// reserve counts an event at the time now and returns its delay.
func (l *rateLimit) reserve(now time.Time) (delay time.Duration) {
	if unused := now.Add(-rateBurst * l.interval); l.next.Before(unused) {
		l.next = unused
	}
	if delay = l.next.Sub(now); delay >= maxRateDelay {
		return maxRateDelay // not counted: the queue would never get shorter
	}
	l.next = l.next.Add(l.interval)
	return max(delay, 0)
}
