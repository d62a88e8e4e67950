package policy

import "testing"

// Requests of the worst class get a higher priority, so that a class of low weight is not starved.
func TestAdmissionQueuePrefersTheWorstClass(t *testing.T) {
	set := testSettings()
	set.Objective = Objective{Whole: 0.5, WorstClass: 0.5}
	h := newHarness(t, set, 2)
	starved, served := h.b.classes.all[idempotentClass], h.b.classes.all[nonIdempotentClass]
	ratio := func() float64 {
		timing := requestTiming{objectiveAt: h.now + 500}
		return h.b.queue.priorityOf(&request{class: starved, timing: timing}) /
			h.b.queue.priorityOf(&request{class: served, timing: timing})
	}
	for range 2 * classHistory {
		h.b.classes.countRequest(starved)
		h.b.classes.countRequest(served)
		served.servedInTime += 1.0 / classHistory
	}
	worst := ratio()
	h.b.classes.worst = served
	if other := ratio(); worst <= other {
		t.Errorf("got %.2f times the served class's priority as the worst class, want more than the %.2f as another",
			worst, other)
	}
}
