package policy

import "testing"

// snapshotAfterFailure simulates a few requests, one of which fails, with or without an extra snapshot
// between them. It returns the snapshot at the end and the actions of the last event.
func snapshotAfterFailure(t *testing.T, extra bool) (Snapshot, []Action) {
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

// A snapshot shows the attempts in flight, how attempts ended, the tiers and the counts of the classes.
func TestSnapshotDescribesTheState(t *testing.T) {
	got, _ := snapshotAfterFailure(t, true)
	if got.InFlight != 3 || got.Outcomes != (OutcomeCounts{ServerError: 1}) || got.Tiers[0].Endpoints != 3 ||
		got.Tiers[2].Endpoints != 1 {
		t.Errorf("got %+v, want 3 in flight, a server error, and 3 endpoints in the first and 1 in the last tier", got)
	}
	if want := (ClassCounts{Requests: 2, Attempts: 3}); got.Classes[idempotentClass].Counts != want {
		t.Errorf("got class counts %+v, want %+v", got.Classes[idempotentClass].Counts, want)
	}
}

func TestSnapshotChangesNoDecision(t *testing.T) {
	_, with := snapshotAfterFailure(t, true)
	if _, without := snapshotAfterFailure(t, false); len(without) != len(with) || without[0] != with[0] {
		t.Errorf("got %+v with a snapshot before, want %+v as without", with, without)
	}
}
