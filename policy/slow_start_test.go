package policy

import "testing"

// Of many agents that are told of servers that are all cold, each makes its first attempt in its
// own turn: together they send no more than two attempts a server in the aim, and of a cold server what the
// contract allows it of that, however many of them are asked at once.
func TestFirstAttemptsAtColdServersTakeTurns(t *testing.T) {
	const agents, servers = 900, 20
	first := map[int]int{} // agents by the second of their first attempt
	waits := 0
	for i := range agents {
		set := testSettings()
		set.Replicas, set.Index = agents, i
		set.Contract.SlowStartFrom = 0.1
		r := newRig(t, set, 0)
		entries := make([]Entry, servers)
		for k := range entries {
			entries[k] = Entry{Server: addr(k), Health: HealthReady, Weight: 1, StartedMs: r.now}
		}
		r.list(ListFull, entries...)
		began := r.now
		for r.now < began+3000 {
			if _, actions := r.ask(0, 0); find(actions, ActionSend) != nil {
				first[int(r.now-began)/1000]++
				break
			}
			r.now += 100
		}
		if r.now > began {
			waits++
		}
	}
	// Two a server in the aim of 300 ms are 133 a second, of which the contract allows so many of
	// servers that began at 0.1 of their capacity: in all 0.57, 0.84 and 1 of it after each second.
	for second, most := range []int{80, 155, 200} {
		if n := first[second]; n > most || n == 0 {
			t.Errorf("second %d: %d agents of %d made their first attempt, at most %d may", second, n, agents, most)
		}
	}
	if waits < agents*9/10 {
		t.Errorf("%d agents of %d waited for their turn", waits, agents)
	}
}

// An agent that is alone, or one of so few that each may have an attempt out, sends at once.
func TestFirstAttemptOfFewAgentsIsMadeAtOnce(t *testing.T) {
	for _, replicas := range []int{1, 10} {
		set := testSettings()
		set.Replicas, set.Index = replicas, replicas-1
		r := newRig(t, set, 0)
		entries := make([]Entry, 20)
		for k := range entries {
			entries[k] = Entry{Server: addr(k), Health: HealthReady, Weight: 1, StartedMs: r.now - set.Contract.SlowStartMs + 1}
		}
		r.list(ListFull, entries...)
		if _, actions := r.ask(0, 0); find(actions, ActionSend) == nil {
			t.Errorf("of %d agents one had to wait: %+v", replicas, actions)
		}
	}
}

// Where the settings tell no multiple, nothing falls by it: turns go by the aim alone, and an
// agent is not kept from cold servers for their whole cold time.
func TestFirstAttemptWithoutAMultiple(t *testing.T) {
	set := testSettings()
	set.Replicas, set.Index, set.Contract.OverloadMultiple = 10, 9, 0
	r := newRig(t, set, 0)
	r.list(ListFull, Entry{Server: addr(0), Health: HealthReady, Weight: 1, StartedMs: r.now},
		Entry{Server: addr(1), Health: HealthReady, Weight: 1, StartedMs: r.now})
	for range 15 { // two of ten may have one out in the aim of 300 ms
		r.now += 100
		if _, actions := r.ask(0, 0); find(actions, ActionSend) != nil {
			return
		}
	}
	t.Error("nothing was sent within five times the aim")
}
