package policy

import (
	"math"
	"testing"
)

// newAbandonedHarness returns a harness with one attempt that timed out 600 ms after it was sent, and
// the server that it went to.
func newAbandonedHarness(t *testing.T, cancellation bool) (*harness, *endpoint) {
	t.Helper()
	set := testSettings()
	set.Limits.Cancellation = cancellation
	h := newTrainedHarness(t, set, 3)
	h.b.limiter.abandoned.sojournMs = 2000
	id, server := h.mustSend(nonIdempotentClass, 5)
	h.now += 600
	h.endAttempt(id, 0, server, StatusTimeout, 600)
	return h, h.endpointAt(server)
}

// If the settings allow no cancellation, an attempt that timed out remains in its endpoint's queue, and
// the concurrency limit must include it.
func TestLimiterCountsAbandonedAttempts(t *testing.T) {
	for _, test := range []struct {
		name         string
		cancellation bool
		want         int
	}{{"cancellation", true, 0}, {"no cancellation", false, 1}} {
		t.Run(test.name, func(t *testing.T) {
			h, target := newAbandonedHarness(t, test.cancellation)
			if got := len(h.b.limiter.abandoned.all); got != test.want {
				t.Fatalf("got %d abandoned attempts, want %d", got, test.want)
			}
			if test.want == 0 {
				return
			}
			if target.traffic.abandoned != 1 {
				t.Fatalf("got %d abandoned attempts at the endpoint, want 1", target.traffic.abandoned)
			}
			limit := h.b.limiter.floor() * h.b.limiter.scale
			h.b.limiter.inFlight = int(math.Ceil(limit)) - 1
			if h.b.limiter.allows() {
				t.Error("got another attempt allowed, want the abandoned one to count in the limit")
			}
		})
	}
}

// An abandoned attempt has finished when its endpoint answers an attempt that was sent later.
func TestAbandonedAttemptEndsByALaterAnswer(t *testing.T) {
	h, target := newAbandonedHarness(t, false)
	target.traffic.answeredSentAt = h.now - 601
	if h.b.limiter.abandoned.removeFinished(h.now); target.traffic.abandoned != 1 {
		t.Errorf("after an answer to an earlier attempt got %d abandoned, want 1", target.traffic.abandoned)
	}
	target.traffic.answeredSentAt = h.now - 599
	if h.b.limiter.abandoned.removeFinished(h.now); target.traffic.abandoned != 0 || len(h.b.limiter.abandoned.all) != 0 {
		t.Errorf("after an answer to a later attempt got %d abandoned at the endpoint and %d in all, want none",
			target.traffic.abandoned, len(h.b.limiter.abandoned.all))
	}
}

// Without such an answer it has finished when its age reaches the sojourn estimate, or when its
// endpoint is removed.
func TestAbandonedAttemptEndsWithoutAnAnswer(t *testing.T) {
	h := newTrainedHarness(t, testSettings(), 1)
	target, abandoned := h.endpoint(0), &h.b.limiter.abandoned
	add := func() { abandoned.add(&attempt{endpoint: target, sentAt: h.now - 600}) }
	abandoned.sojournMs, target.traffic.answeredSentAt = 1000, 0
	add()
	if abandoned.removeFinished(h.now); target.traffic.abandoned != 1 {
		t.Errorf("at 0.6 of the sojourn got %d abandoned, want 1", target.traffic.abandoned)
	}
	if abandoned.removeFinished(h.now + 401); target.traffic.abandoned != 0 {
		t.Errorf("past the sojourn got %d abandoned, want 0", target.traffic.abandoned)
	}
	add()
	target.usable = false
	if abandoned.removeFinished(h.now); target.traffic.abandoned != 0 {
		t.Errorf("at an endpoint that is gone got %d abandoned, want 0", target.traffic.abandoned)
	}
}

// The sojourn estimate rises to its bound while most attempts go unanswered, and stays near the answer
// times while most are answered.
func TestAbandonedAttemptsEstimateTheSojourn(t *testing.T) {
	for _, test := range []struct {
		name        string
		answered    func(i int) bool
		least, most float64
	}{
		{"two in three answered after 30 ms", func(i int) bool { return i%3 > 0 }, 0, 450},
		{"four in five unanswered", func(i int) bool { return i%5 == 0 }, 1000, 3000},
		{"answered again", func(i int) bool { return i > 100 }, 0, 31},
	} {
		t.Run(test.name, func(t *testing.T) {
			var abandoned abandonedAttempts
			for i := range 200 {
				if test.answered(i) {
					abandoned.observeAnswered(30)
				} else {
					abandoned.observeUnanswered(300, 3000)
				}
			}
			if got := abandoned.sojournMs; got < test.least || got > test.most {
				t.Errorf("got %v ms, want %v to %v", got, test.least, test.most)
			}
		})
	}
}
