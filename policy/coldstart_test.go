package policy

import "testing"

// coldRig is an agent that has met no warm server: all it has listed have just started.
func coldRig(t *testing.T, replicas, servers int) *rig {
	t.Helper()
	set := testSettings()
	set.Replicas = replicas
	r := newRig(t, set, 0)
	entries := make([]Entry, servers)
	for i := range entries {
		entries[i] = Entry{Server: addr(i), Health: HealthReady, Weight: 1, StartedMs: r.now}
	}
	r.list(ListFull, entries...)
	return r
}

// An agent that has met no warm server sends a cold one an attempt at a time, not none.
func TestColdServersAloneGetOneAttemptAtATime(t *testing.T) {
	r := coldRig(t, 1, 3)
	id, s := r.sent(0, 0)
	r.now += 20
	r.outcome(id, 0, s, StatusOK, 20)
	seen := map[Addr]bool{}
	for range 3 {
		_, s := r.sent(0, 0)
		if seen[s] {
			t.Fatalf("server %v was sent a second attempt", s)
		}
		seen[s] = true
		r.now += 5
	}
	if _, actions := r.ask(0, 0); find(actions, ActionSend) != nil {
		t.Errorf("all servers hold one, and another was sent: %+v", actions)
	}
}

// Until the first answer such agents take turns by the aim, so that all together have no more
// out than their limit, two a server, though nothing tells yet how long an attempt takes.
func TestColdServersAloneArePacedUntilTheFirstAnswer(t *testing.T) {
	r := coldRig(t, 40, 10) // half an attempt for each agent
	id, s := r.sent(0, 0)
	began := r.now
	r.now += 10
	actions := r.outcome(id, 0, s, StatusRejected, 10)
	contract := testSettings().Contract
	for r.now < began+1200 {
		// The aim of 300 ms for half an attempt, and longer where the contract allows less.
		ramp := contract.SlowStartFrom + (1-contract.SlowStartFrom)*(r.now-began)/contract.SlowStartMs
		wait := 600 / min(contract.OverloadMultiple*ramp, 1)
		turn := r.now >= began+wait
		if a := find(actions, ActionSend); a != nil {
			if !turn {
				t.Fatalf("sent again after %.0f ms", r.now-began)
			}
			return
		}
		if r.now >= began+wait+10 {
			t.Fatalf("nothing was sent in its turn, after %.0f ms", r.now-began)
		}
		r.now += 10
		_, actions = r.ask(0, 0)
	}
	t.Error("nothing was sent in its turn")
}
