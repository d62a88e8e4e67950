package policy

import "testing"

// The client's retry of a hopeless request is judged by the client's time, also where retries
// are not marked; a request with another key has its whole latency objective.
func TestRetryKeepsTheClientsTime(t *testing.T) {
	for _, marks := range []bool{true, false} {
		set := testSettings()
		set.Clients.MarksRetry = marks
		r := newRig(t, set, 1)
		id, server := r.sent(0, 5)
		r.now += 200
		r.do(&ClientDisconnected{Request: id})
		r.outcome(id, 0, server, StatusCancelled, 200)
		r.id++
		r.do(&RequestArrived{Request: r.id, Class: 0, Key: 5, TimeLeftMs: 600, Retry: marks})
		if q := r.b.queue.open[r.id]; q == nil || q.timing.objectiveAt-r.now > 101 {
			t.Errorf("marked %v: a retry was given the whole aim again", marks)
		}
		r.id++
		r.do(&RequestArrived{Request: r.id, Class: 0, Key: 6, TimeLeftMs: 600})
		if q := r.b.queue.open[r.id]; q == nil || q.timing.objectiveAt-r.now < 299 {
			t.Errorf("marked %v: another request was taken for a retry", marks)
		}
	}
}
