package policy

import "testing"

// What was decided before a panic can still be carried out: an attempt that nobody makes would
// be waited for without end.
func TestDecisionsBeforeAPanic(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	r.b.queue.queued = append(r.b.queue.queued, &request{id: 99, class: r.b.classes.all[0], timing: requestTiming{arrived: -1e9, deadline: 1e9},
		tries: requestTries{limit: 3, counted: []*attempt{nil}}}) // looking for a server for it panics
	func() {
		defer func() {
			if recover() == nil {
				t.Fatal("no panic was forced")
			}
		}()
		r.ask(1, 0)
	}()
	a := find(r.b.Decided(), ActionSend)
	if a == nil || a.Request != r.id || r.b.limiter.inFlight != 1 {
		t.Fatalf("decided %+v with %d in flight", r.b.Decided(), r.b.limiter.inFlight)
	}
	r.b.queue.queued = nil
	r.outcome(a.Request, 0, a.Server, StatusOK, 20)
	if r.b.limiter.inFlight != 0 || len(r.b.queue.open) != 0 {
		t.Errorf("%d in flight, %d requests left", r.b.limiter.inFlight, len(r.b.queue.open))
	}
}
