package policy

import (
	"testing"
)

// The share of a class served in time follows its last requests: of a class that did well for
// long and is served no more an agent with few requests has to know before long.
func TestWorstClassIsKnownSoon(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	served := func(c *class, inTime bool) {
		r.b.tally(c)
		if inTime {
			c.inTime += 1.0 / classMemory
		}
	}
	well, badly := r.b.classes[0], r.b.classes[1]
	for i := range 2000 {
		served(well, true)
		served(badly, i%10 != 0)
	}
	if r.b.worst != badly {
		t.Fatalf("worst is %s", r.b.worst.Name)
	}
	for i := range 40 {
		served(well, false)
		served(badly, i%10 != 0)
	}
	if r.b.worst != well {
		t.Errorf("worst is still %s: %.2f of %s and %.2f of %s are served", r.b.worst.Name, well.inTime, well.Name,
			badly.inTime, badly.Name)
	}
}

// What answers took is forgotten over the time after which clients give up.
func TestExpectedTimeIsForgotten(t *testing.T) {
	c := newRig(t, testSettings(), 1).b.classes[0]
	calm := c.calm()
	for i := range 20 {
		c.learn(float64(i), 2*c.AimMs)
	}
	late := c.expected(20)
	if late < c.AimMs {
		t.Fatalf("after 20 late answers %v ms are expected", late)
	}
	if soon := c.expected(20 + c.GiveUpMs/20); soon < late*0.9 {
		t.Errorf("forgotten at once: %v of %v ms", soon, late)
	}
	if then := c.expected(20 + 3*c.GiveUpMs); then > calm+0.1*(late-calm) {
		t.Errorf("after three times as long as clients wait %v ms are expected, calm is %v", then, calm)
	}
}

// Under a window below one the pause follows the last answer: taken from the mean it was
// seconds long after a crowd had passed, and nothing told that the server stood idle.
func TestPauseFollowsTheLastAnswer(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	s := r.b.servers[0]
	for _, rtt := range []float64{900, 900, 900, 900, 30} {
		s.window = 0.5
		r.now += 5000
		id, _ := r.sent(0, 0)
		r.now += rtt
		r.outcome(id, 0, s.id, OK, rtt)
	}
	s.window = 0.5
	if r.now = s.sentAt + 59; r.b.hasRoomAt(r.now, s) {
		t.Error("no pause")
	}
	if r.now = s.sentAt + 61; !r.b.hasRoomAt(r.now, s) {
		t.Error("pauses for longer than two answers")
	}
}

// hasRoomAt tells whether a server takes one more request of the first class.
func (b *Balancer) hasRoomAt(now float64, s *server) bool {
	b.now = now
	return b.hasRoom(s, &request{class: b.classes[0]})
}

// lateRig is an agent at its limit of one attempt, which is past its aim, with another request
// held.
func lateRig(t *testing.T, set Settings, class int) (r *rig, out, held RequestID) {
	t.Helper()
	set.Replicas = 2
	set.Limits.MaxAttempts = 1
	r = quick(t, set, 1)
	out, _ = r.sent(class, 5)
	r.now += 290
	r.b.servers[0].heard = r.now // else it seems silent
	held, actions := r.ask(0, 6)
	if find(actions, ActSend) != nil {
		t.Fatal("not at its limit")
	}
	return r, out, held
}

// In a shortage an attempt that can earn nothing any more is called off and its request
// answered, so that its place serves one that is held; what may not be repeated is waited for,
// and so is what is worth something when it is late.
func TestLateAttemptsAreCalledOffInAShortage(t *testing.T) {
	r, out, held := lateRig(t, testSettings(), 0)
	actions := r.tick(20)
	if a := find(actions, ActRefuse); a == nil || a.Request != out {
		t.Fatalf("its request was not answered: %+v", actions)
	}
	if a := find(actions, ActCancel); a == nil || a.Request != out {
		t.Fatalf("not called off: %+v", actions)
	}
	if a := find(r.outcome(out, 0, r.b.requests[out].attempts[0].s.id, Cancelled, 310), ActSend); a == nil || a.Request != held {
		t.Errorf("its place was not taken: %+v", a)
	}
	worth := testSettings()
	worth.Classes[0].LateShare = 0.5
	forbidden := testSettings()
	forbidden.Limits.Cancelling = false
	for name, c := range map[string]struct {
		set   Settings
		class int
	}{"single shot": {testSettings(), 1}, "guarded in a cell": {testSettings(), 2}, "worth something late": {worth, 0},
		"cancelling not allowed": {forbidden, 0}} {
		r, out, _ := lateRig(t, c.set, c.class)
		for _, a := range r.tick(20) {
			if a.Request == out && a.Kind != ActTimer {
				t.Errorf("%s: %+v", name, a)
			}
		}
	}
	r, out, held = lateRig(t, testSettings(), 0)
	r.do(Event{Kind: EvDropped, Request: held})
	if a := find(r.tick(20), ActCancel); a != nil {
		t.Errorf("called off with nobody waiting: %+v", a)
	}
}
