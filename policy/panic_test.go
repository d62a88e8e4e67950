package policy

import "testing"

// What was decided before a panic can still be carried out: an attempt that nobody makes would
// be waited for without end.
func TestDecisionsBeforeAPanic(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	r.b.held = append(r.b.held, &request{id: 99, class: r.b.classes[0], arrived: -1e9, deadline: 1e9,
		maxAttempts: 3, attempts: []*attempt{nil}}) // looking for a server for it panics
	func() {
		defer func() {
			if recover() == nil {
				t.Fatal("no panic was forced")
			}
		}()
		r.ask(1, 0)
	}()
	a := find(r.b.Decided(), ActionSend)
	if a == nil || a.Request != r.id || r.b.inflight != 1 {
		t.Fatalf("decided %+v with %d in flight", r.b.Decided(), r.b.inflight)
	}
	r.b.held = nil
	r.outcome(a.Request, 0, a.Server, StatusOK, 20)
	if r.b.inflight != 0 || len(r.b.requests) != 0 {
		t.Errorf("%d in flight, %d requests left", r.b.inflight, len(r.b.requests))
	}
}
