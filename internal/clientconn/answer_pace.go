package clientconn

import "time"

const (
	// answerBurst is the number of answers without a backend that are given at once.
	answerBurst = 50
	// maxAnswerDelay bounds the delay of one answer. A late answer is lost half a second after its
	// request's time, and a faulty client must get its error within 3 s of connecting.
	maxAnswerDelay = 250 * time.Millisecond
	// pipelinedRequestDelay is the delay of a request that its client sent before the response to the
	// one before. Without it, a client that sends such requests without a pause would keep the
	// server's goroutine running. The Go runtime looks for arrived bytes of other connections only
	// every 10 ms while its threads are busy.
	pipelinedRequestDelay = time.Millisecond
)

// answerPace limits the rate of the answers that the agent gives without a backend: those to invalid
// requests, to health checks, and to requests without time left. A client gets such an answer at
// once, and can send the next request at once. Many of these clients could otherwise use all of the
// processor time. Answers above the rate are delayed, by maxAnswerDelay at most.
//
// The limit is a generic cell rate algorithm (GCRA). The table's mutex guards it.
type answerPace struct {
	interval time.Duration // between two answers at the rate; 0: no limit
	next     time.Time     // when the next answer is due at the rate
}

// SetAnswerRate limits the answers that are given without a backend, per second. A new table has no
// limit.
func (t *Table) SetAnswerRate(perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers.interval = time.Duration(float64(time.Second) / perSecond)
}

// reserve counts an answer at the time now and returns its delay.
func (p *answerPace) reserve(now time.Time) (delay time.Duration) {
	if unused := now.Add(-answerBurst * p.interval); p.next.Before(unused) {
		p.next = unused
	}
	if delay = p.next.Sub(now); delay >= maxAnswerDelay {
		return maxAnswerDelay // not counted: the queue would never get shorter
	}
	p.next = p.next.Add(p.interval)
	return max(delay, 0)
}
