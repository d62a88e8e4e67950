package policy

import (
	"math"
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
		c.learn(float64(i), 2*c.LatencyObjectiveMs)
	}
	late := c.expected(20)
	if late < c.LatencyObjectiveMs {
		t.Fatalf("after 20 late answers %v ms are expected", late)
	}
	if soon := c.expected(20 + c.DeadlineMs/20); soon < late*0.9 {
		t.Errorf("forgotten at once: %v of %v ms", soon, late)
	}
	if then := c.expected(20 + 3*c.DeadlineMs); then > calm+0.1*(late-calm) {
		t.Errorf("after three times as long as clients wait %v ms are expected, calm is %v", then, calm)
	}
}

// Unanswered attempts are taken into what is expected, and yet a third of the servers that
// answer nothing does not make a class seem late that the others answer at once.
func TestUnansweredAttemptsCountInExpectedTime(t *testing.T) {
	expect := func(unanswered int) float64 {
		c := newRig(t, testSettings(), 1).b.classes[0]
		for i := range 300 {
			now := float64(i) * 20
			if i%3 < unanswered {
				c.unanswered(now, 600)
			} else {
				c.learn(now, 30)
			}
		}
		return c.expected(6000)
	}
	if x := expect(1); x > 150 {
		t.Errorf("a third unanswered: %v ms expected", x)
	}
	if x := expect(3); x < 300 {
		t.Errorf("all unanswered: %v ms expected", x)
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
		r.outcome(id, 0, s.id, StatusOK, rtt)
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
func (b *Balancer) hasRoomAt(now float64, s *endpoint) bool {
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
	if find(actions, ActionSend) != nil {
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
	if a := find(actions, ActionReject); a == nil || a.Request != out {
		t.Fatalf("its request was not answered: %+v", actions)
	}
	if a := find(actions, ActionCancel); a == nil || a.Request != out {
		t.Fatalf("not called off: %+v", actions)
	}
	if a := find(r.outcome(out, 0, r.b.requests[out].attempts[0].s.id, StatusCancelled, 310), ActionSend); a == nil || a.Request != held {
		t.Errorf("its place was not taken: %+v", a)
	}
	worth := testSettings()
	worth.Classes[0].LateWeight = 0.5
	forbidden := testSettings()
	forbidden.Limits.Cancellation = false
	for name, c := range map[string]struct {
		set   Settings
		class int
	}{"single shot": {testSettings(), 1}, "guarded in a cell": {testSettings(), 2}, "worth something late": {worth, 0},
		"cancelling not allowed": {forbidden, 0}} {
		r, out, _ := lateRig(t, c.set, c.class)
		for _, a := range r.tick(20) {
			if a.Request == out && a.Kind != ActionTimer {
				t.Errorf("%s: %+v", name, a)
			}
		}
	}
	r, _, held = lateRig(t, testSettings(), 0)
	r.do(Event{Kind: EventClientGone, Request: held})
	if a := find(r.tick(20), ActionCancel); a != nil {
		t.Errorf("called off with nobody waiting: %+v", a)
	}
}

// Where the settings allow no cancelling, an attempt that timed out still stands in its
// server's queue. It counts in the limit until the server answers what was sent after it, or
// until work does not stay with the servers for so long.
func TestAbandonedAttemptsStayInTheLimit(t *testing.T) {
	for _, cancelling := range []bool{false, true} {
		set := testSettings()
		set.Limits.Cancellation = cancelling
		r := quick(t, set, 3)
		r.b.abandoned.sojourn = 2000
		id, s := r.sent(1, 5)
		r.now += 600
		r.outcome(id, 0, s, StatusTimeout, 600)
		if want := map[bool]int{false: 1, true: 0}[cancelling]; len(r.b.abandoned.all) != want {
			t.Fatalf("cancelling %v: %d abandoned, want %d", cancelling, len(r.b.abandoned.all), want)
		}
		if cancelling {
			continue
		}
		srv := r.b.byAddr[s]
		if srv.abandoned != 1 {
			t.Fatalf("its server holds %d abandoned", srv.abandoned)
		}
		limit := r.b.limitFloor() * r.b.limitScale
		r.b.inflight = int(math.Ceil(limit)) - 1
		if r.b.underLimit() {
			t.Error("it does not count in the limit")
		}
		r.b.inflight = 0
		srv.passed = r.now - 601
		if r.b.abandoned.settle(r.now); srv.abandoned != 1 {
			t.Error("over by an answer to what was sent before it")
		}
		srv.passed = r.now - 599
		if r.b.abandoned.settle(r.now); srv.abandoned != 0 || len(r.b.abandoned.all) != 0 {
			t.Error("not over by an answer to what was sent after it")
		}
	}
	r := quick(t, testSettings(), 1)
	s := r.b.servers[0]
	add := func() { r.b.abandoned.add(&attempt{s: s, sentAt: r.now - 600}) }
	r.b.abandoned.sojourn, s.passed = 1000, 0
	add()
	if r.b.abandoned.settle(r.now); s.abandoned != 1 {
		t.Error("over too early")
	}
	if r.b.abandoned.settle(r.now + 401); s.abandoned != 0 {
		t.Error("counts for ever")
	}
	add()
	s.usable = false
	if r.b.abandoned.settle(r.now); s.abandoned != 0 {
		t.Error("counts on a server that is gone")
	}
}

// The estimate of how long work stays with the servers runs up to its bound while most goes
// unanswered, and is that of the answers while most is answered.
func TestSojournEstimate(t *testing.T) {
	estimate := func(answered func(i int) bool) float64 {
		var l abandonedAttempts
		for i := range 200 {
			if answered(i) {
				l.answered(30)
			} else {
				l.unanswered(300, 3000)
			}
		}
		return l.sojourn
	}
	if x := estimate(func(i int) bool { return i%3 > 0 }); x > 450 {
		t.Errorf("two in three answered after 30 ms: %v ms", x)
	}
	if x := estimate(func(i int) bool { return i%5 == 0 }); x < 1000 || x > 3000 {
		t.Errorf("four in five unanswered: %v ms", x)
	}
	if x := estimate(func(i int) bool { return i > 100 }); x > 31 {
		t.Errorf("answered again: %v ms", x)
	}
}

// Where clients don't mark their retries, a request like an unserved one is not counted as
// one more that the fleet has to bear: in a storm of retries every agent's part of what may be
// out grew with them.
func TestUnmarkedRetriesAreNotForeseen(t *testing.T) {
	for _, marks := range []bool{false, true} {
		set := testSettings()
		set.Clients.MarksRetry = marks
		r := newRig(t, set, 0) // nobody to send to: each is refused at its deadline
		rate := func(key uint64) float64 {
			before := r.b.recent
			id, _ := r.ask(0, key)
			r.do(Event{Kind: EventClientGone, Request: id})
			return r.b.recent - before
		}
		if got := rate(7); got != 1 {
			t.Fatalf("the first counts %v", got)
		}
		if got, want := rate(7), map[bool]float64{false: 0, true: 1}[marks]; got != want {
			t.Errorf("clients mark retries %v: the second with the key counts %v, want %v", marks, got, want)
		}
		if got := rate(8); got != 1 {
			t.Errorf("another key counts %v", got)
		}
		if got := rate(0); got != 1 {
			t.Errorf("no key counts %v", got)
		}
		if got := rate(0); got != 1 {
			t.Errorf("no key again counts %v", got)
		}
	}
}

// Cold servers count in the agent's part of the limit by what they can do: what they may not
// be sent yet the warm ones would be.
func TestColdServersCountInPartBesideWarmOnes(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	whole := r.b.limitFloor()
	cold := make([]Entry, 4)
	for i := range cold {
		cold[i] = Entry{Server: addr(4 + i), Health: HealthReady, Weight: 1, StartedMs: r.now}
	}
	r.list(ListDelta, cold...)
	if got, want := r.b.limitFloor(), whole*(1+r.b.set.Contract.SlowStartFrom); math.Abs(got-want) > 1e-9 {
		t.Errorf("with as many cold ones %v, want %v", got, want)
	}
	r.b.now += r.b.set.Contract.SlowStartMs
	if got := r.b.limitFloor(); got != 2*whole {
		t.Errorf("when they are warm %v, want %v", got, 2*whole)
	}
}

// While answers are late an agent's part goes down to leastAttempts a server, and no further.
func TestLimitFallsToItsLeast(t *testing.T) {
	r := quick(t, testSettings(), 30)
	least := leastAttempts / attemptsPerServer
	for range 100 {
		id, s := r.sent(0, 0)
		r.now += 500
		r.outcome(id, 0, s, StatusOK, 500)
	}
	if r.b.limitScale != least {
		t.Errorf("%v times its part, want %v", r.b.limitScale, least)
	}
}

// A longer list does not take back what late answers took of the limit.
func TestLongerListKeepsALoweredLimit(t *testing.T) {
	r := quick(t, testSettings(), 3)
	r.b.set.Replicas = 100
	r.b.limitScale = leastAttempts / attemptsPerServer
	var more []Entry
	for i := range 60 {
		more = append(more, Entry{Server: addr(3 + i), Health: HealthReady, Weight: 1})
	}
	r.list(ListDelta, more...)
	if r.b.limitScale != leastAttempts/attemptsPerServer {
		t.Errorf("%v times its part", r.b.limitScale)
	}
}
