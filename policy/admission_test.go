package policy

import "testing"

// The worst class counts in the order of the queue, so that a class of low weight is not starved.
func TestWorstClassCountsAmongQueued(t *testing.T) {
	set := testSettings()
	set.Objective = Objective{Whole: 0.5, WorstClass: 0.5}
	r := newRig(t, set, 2)
	classes := r.b.classes.all
	once, free := &request{class: classes[1], timing: requestTiming{objectiveAt: r.now + 500}}, &request{class: classes[0], timing: requestTiming{objectiveAt: r.now + 500}}
	for range 2 * classMemory { // of class 1 all are served, of class 0 none
		r.b.classes.count(classes[0])
		r.b.classes.count(classes[1])
		classes[1].servedInTime += 1.0 / classMemory
	}
	with := r.b.queue.priorityOf(free) / r.b.queue.priorityOf(once)
	r.b.classes.worst = classes[1]
	if without := r.b.queue.priorityOf(free) / r.b.queue.priorityOf(once); with <= without {
		t.Errorf("the starved class weighs %.2f, when served well %.2f", with, without)
	}
}

// An agent that may have few requests open rejects what it can't hold at once, the
// least valuable first, and never what is already out.
func TestMaxOpenRequestsRejectsAtOnce(t *testing.T) {
	s := testSettings()
	s.Limits.MaxOpenRequests = 4
	r := newRig(t, s, 1)
	sent, refused := 0, 0
	for range 10 {
		_, actions := r.ask(0, 0)
		for _, action := range actions {
			switch action.Kind {
			case ActionSendAttempt:
				sent++
			case ActionRejectRequest:
				refused++
			case ActionFailRequest:
				t.Error("failed what never ran")
			}
		}
	}
	if sent == 0 || sent >= 4 || refused != 6 {
		t.Errorf("sent %d and refused %d of 10, want some sent and 6 refused", sent, refused)
	}
}

// lateRig is an agent at its limit of one attempt, which is past its latency objective, with
// another request held.
func lateRig(t *testing.T, set Settings, class int) (r *rig, out, held RequestID) {
	t.Helper()
	set.Replicas = 2
	set.Limits.MaxAttempts = 1
	r = quick(t, set, 1)
	out, _ = r.sent(class, 5)
	r.now += 290
	r.b.endpoints.all[0].traffic.heardAt = r.now // else it seems silent
	held, actions := r.ask(0, 6)
	if find(actions, ActionSendAttempt) != nil {
		t.Fatal("not at its limit")
	}
	return r, out, held
}

// In a shortage an attempt that can earn nothing any more is called off and its request
// answered, so that its place serves one that is queued; what may not be repeated is waited for,
// and so is what is worth something when it is late.
func TestLateAttemptsAreCancelledInAShortage(t *testing.T) {
	r, out, held := lateRig(t, testSettings(), 0)
	actions := r.tick(20)
	if action := find(actions, ActionRejectRequest); action == nil || action.Request != out {
		t.Fatalf("its request was not answered: %+v", actions)
	}
	if action := find(actions, ActionCancelAttempt); action == nil || action.Request != out {
		t.Fatalf("not called off: %+v", actions)
	}
	if action := find(r.outcome(out, 0, r.b.queue.open[out].tries.counted[0].endpoint.id, StatusCancelled, 310), ActionSendAttempt); action == nil || action.Request != held {
		t.Errorf("its place was not taken: %+v", action)
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
		for _, action := range r.tick(20) {
			if action.Request == out && action.Kind != ActionSetTimer {
				t.Errorf("%s: %+v", name, action)
			}
		}
	}
	r, _, held = lateRig(t, testSettings(), 0)
	r.do(&ClientDisconnected{Request: held})
	if action := find(r.tick(20), ActionCancelAttempt); action != nil {
		t.Errorf("called off with nobody waiting: %+v", action)
	}
}
