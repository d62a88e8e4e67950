package policy

import "testing"

// Under a window below one the pause follows the last answer: taken from the mean it would stay long
// after a crowd has passed, and nothing would tell that the endpoint stands idle.
func TestPauseFollowsTheLastAnswer(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	target := r.b.endpoints.all[0]
	for _, rtt := range []float64{900, 900, 900, 900, 30} {
		target.window.size = 0.5
		r.now += 5000
		id, _ := r.sent(0, 0)
		r.now += rtt
		r.outcome(id, 0, target.id, StatusOK, rtt)
	}
	target.window.size = 0.5
	if r.now = target.traffic.sentAt + 59; r.b.hasRoomAt(r.now, target) {
		t.Error("no pause")
	}
	if r.now = target.traffic.sentAt + 61; !r.b.hasRoomAt(r.now, target) {
		t.Error("pauses for longer than two answers")
	}
}

// hasRoomAt tells whether an endpoint takes one more request of the first class.
func (b *Balancer) hasRoomAt(now float64, target *endpoint) bool {
	b.now = now
	return b.eligible.hasCapacity(target, &request{class: b.classes.all[0]})
}
