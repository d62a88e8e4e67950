package policy

import "testing"

func TestRequestAttemptsCountsAttempts(t *testing.T) {
	var attempts requestAttempts
	first, second := &attempt{index: 0, unreachable: true}, &attempt{index: 1}
	attempts.add(first)
	attempts.attemptEnded()
	attempts.add(second)
	if attempts.sent != 2 || len(attempts.counted) != 2 || attempts.inFlight != 1 {
		t.Errorf("got %d sent, %d counted and %d in flight, want 2, 2 and 1", attempts.sent, len(attempts.counted), attempts.inFlight)
	}
	// The second attempt failed on this machine. The failure of the first had been attributed to its endpoint.
	if attempts.uncount(second); attempts.sent != 2 || len(attempts.counted) != 0 {
		t.Errorf("uncounted: got %d sent and %d counted, want 2 and none", attempts.sent, len(attempts.counted))
	}
}

func TestRequestIdempotencyKeepsTheFirstAttemptThatMayHaveRun(t *testing.T) {
	var idempotency requestIdempotency
	first := &attempt{endpoint: &endpoint{zone: 1, cell: 2}, sentAt: 10}
	second := &attempt{endpoint: &endpoint{zone: 3, cell: 4}, sentAt: 20}
	idempotency.attemptSent(first)
	idempotency.attemptSent(second)
	if idempotency.mayHaveRun != 2 || idempotency.earliestRunAt != 10 || idempotency.firstZone != 1 || idempotency.firstCell != 2 {
		t.Errorf("got %+v, want two that may have run, the first at 10", idempotency)
	}
	idempotency.attemptNeverRan()
	idempotency.attemptNeverRan()
	idempotency.attemptSent(second)
	if idempotency.mayHaveRun != 1 || idempotency.earliestRunAt != 20 || idempotency.firstZone != 3 || idempotency.firstCell != 4 {
		t.Errorf("after none may have run: got %+v, want one that may, at 20", idempotency)
	}
}
