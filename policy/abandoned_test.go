package policy

import (
	"math"
	"testing"
)

// Where the settings allow no cancelling, an attempt that timed out still stands in its
// endpoint's queue. It counts in the limit until the endpoint answers what was sent after it, or
// until work does not stay with the endpoints for so long.
func TestAbandonedAttemptsStayInTheLimit(t *testing.T) {
	for _, cancelling := range []bool{false, true} {
		set := testSettings()
		set.Limits.Cancellation = cancelling
		r := quick(t, set, 3)
		r.b.limiter.abandoned.sojourn = 2000
		id, server := r.sent(1, 5)
		r.now += 600
		r.outcome(id, 0, server, StatusTimeout, 600)
		if want := map[bool]int{false: 1, true: 0}[cancelling]; len(r.b.limiter.abandoned.all) != want {
			t.Fatalf("cancelling %v: %d abandoned, want %d", cancelling, len(r.b.limiter.abandoned.all), want)
		}
		if cancelling {
			continue
		}
		target := r.b.endpoints.byAddr[server]
		if target.traffic.abandoned != 1 {
			t.Fatalf("its server holds %d abandoned", target.traffic.abandoned)
		}
		limit := r.b.limiter.floor() * r.b.limiter.scale
		r.b.limiter.inFlight = int(math.Ceil(limit)) - 1
		if r.b.limiter.allows() {
			t.Error("it does not count in the limit")
		}
		r.b.limiter.inFlight = 0
		target.traffic.answeredSentAt = r.now - 601
		if r.b.limiter.abandoned.settle(r.now); target.traffic.abandoned != 1 {
			t.Error("over by an answer to what was sent before it")
		}
		target.traffic.answeredSentAt = r.now - 599
		if r.b.limiter.abandoned.settle(r.now); target.traffic.abandoned != 0 || len(r.b.limiter.abandoned.all) != 0 {
			t.Error("not over by an answer to what was sent after it")
		}
	}
	r := quick(t, testSettings(), 1)
	target := r.b.endpoints.all[0]
	add := func() { r.b.limiter.abandoned.add(&attempt{endpoint: target, sentAt: r.now - 600}) }
	r.b.limiter.abandoned.sojourn, target.traffic.answeredSentAt = 1000, 0
	add()
	if r.b.limiter.abandoned.settle(r.now); target.traffic.abandoned != 1 {
		t.Error("over too early")
	}
	if r.b.limiter.abandoned.settle(r.now + 401); target.traffic.abandoned != 0 {
		t.Error("counts for ever")
	}
	add()
	target.usable = false
	if r.b.limiter.abandoned.settle(r.now); target.traffic.abandoned != 0 {
		t.Error("counts on a server that is gone")
	}
}

// The estimate of how long work stays with the endpoints runs up to its bound while most goes
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
