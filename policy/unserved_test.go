package policy

import (
	"fmt"
	"testing"
)

// The latency objective of a client's retry starts at the client's first try, even if retries are not
// marked. A request with another key has its whole latency objective.
func TestAdmissionQueueKeepsFirstArrivalOfRetries(t *testing.T) {
	for _, marks := range []bool{true, false} {
		t.Run(fmt.Sprintf("clients mark retries %v", marks), func(t *testing.T) {
			set := testSettings()
			set.Clients.MarksRetry = marks
			h := newHarness(t, set, 1)
			id, server := h.mustSend(idempotentClass, 5)
			h.now += 200
			h.handle(&ClientDisconnected{Request: id})
			h.endAttempt(id, 0, server, StatusCancelled, 200)
			h.id++
			h.handle(&RequestArrived{Request: h.id, Class: idempotentClass, Key: 5, TimeLeftMs: 600, Retry: marks})
			if open := h.b.queue.open[h.id]; open == nil || open.timing.objectiveAt-h.now > 101 {
				t.Errorf("got retry %+v, want it open with 100 ms left of its objective", open)
			}
			h.id++
			h.handle(&RequestArrived{Request: h.id, Class: idempotentClass, Key: 6, TimeLeftMs: 600})
			if open := h.b.queue.open[h.id]; open == nil || open.timing.objectiveAt-h.now < 299 {
				t.Errorf("got request with another key %+v, want it open with 300 ms left of its objective", open)
			}
		})
	}
}
