package policy

import "testing"

// playForSnapshot plays a few requests, with an extra snapshot between them or without, and returns the
// snapshot at the end and the actions of the last event.
func playForSnapshot(t *testing.T, extra bool) (Snapshot, []Action) {
	t.Helper()
	h := newHarness(t, testSettings(), 4)
	id, server := h.mustSend(idempotentClass, 7)
	if extra {
		h.b.Snapshot(h.now)
	}
	h.now += 10
	h.endAttempt(id, 0, server, StatusServerError, 10)
	h.mustSend(nonIdempotentClass, 8)
	_, last := h.arrive(idempotentClass, 9)
	return h.b.Snapshot(h.now), last
}

// A snapshot says what is in flight and queued, how attempts ended and where there is capacity.
func TestSnapshotDescribesTheState(t *testing.T) {
	got, _ := playForSnapshot(t, true)
	if got.InFlight != 3 || got.Outcomes != (OutcomeCounts{ServerError: 1}) || got.Tiers[0].Endpoints != 3 ||
		got.Tiers[2].Endpoints != 1 {
		t.Errorf("got %+v, want 3 in flight, a server error, and 3 endpoints in the first and 1 in the last tier", got)
	}
	if want := (ClassCounts{Requests: 2, Attempts: 3}); got.Classes[idempotentClass].Counts != want {
		t.Errorf("got class counts %+v, want %+v", got.Classes[idempotentClass].Counts, want)
	}
}

func TestSnapshotChangesNoDecision(t *testing.T) {
	_, with := playForSnapshot(t, true)
	if _, without := playForSnapshot(t, false); len(without) != len(with) || without[0] != with[0] {
		t.Errorf("got %+v with a snapshot before, want %+v as without", with, without)
	}
}
