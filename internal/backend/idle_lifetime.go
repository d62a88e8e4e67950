package backend

import (
	"math"
	"time"
)

const (
	// baselineIdleTime bounds the idle times that form the baseline: a connection that breaks after
	// a shorter idle time did not break because it was idle. idleTimeBuckets is the number of
	// histogram buckets above it. They reach 262 s, and the last one also holds all longer idle
	// times.
	baselineIdleTime, idleTimeBuckets = 64 * time.Millisecond, 24
	// bucketsPerDoubling is the number of buckets in which the idle time doubles. The bounds of a
	// bucket are therefore √2 times those of the bucket before.
	bucketsPerDoubling = 2
	// countHalfLife is the time in which a count decays to half. Because of the decay, the pool
	// tries idle times again that it had excluded.
	countHalfLife = 10 * time.Second
	// decaysPerHalfLife bounds how often the counts are decayed in each countHalfLife.
	decaysPerHalfLife = 10
	// A bucket is excluded if at least minBrokenReuses of its reused connections broke, and their
	// share is above brokenShareFactor times the baseline's share plus brokenShareMargin.
	minBrokenReuses, brokenShareFactor, brokenShareMargin = 3, 3, 0.1
)

// idleLifetimeEstimator estimates how long a connection may be idle and still be reused. A backend,
// or a middlebox in front of it, may drop idle connections silently long before the configured idle
// timeout. The next request on such a connection ends as a reset, and it may have run.
//
// The estimator is a histogram of reuses by idle time, with geometric buckets and exponentially
// decaying counts (exponential forgetting). The limit is the lower bound of the first bucket whose
// share of broken connections is clearly above the baseline's. The baseline consists of the
// connections that were idle for less than baselineIdleTime, which break for other reasons. The
// constants are not from a publication. With them a few resets lower the limit and a single one
// does not.
//
// The pool's mutex guards it. Its zero value is ready for use.
type idleLifetimeEstimator struct {
	baseline  reuseCount
	buckets   [idleTimeBuckets]reuseCount
	decayedAt time.Time // when the counts were last decayed
}

// reuseCount counts the reuses of connections within one range of idle times, and those of them
// that broke before the first byte of a response. The counts decay, so they are not whole numbers.
type reuseCount struct{ reuses, broken float64 }

// bucketOf returns the index of the bucket of an idle time, which must be at least
// baselineIdleTime.
func bucketOf(idleFor time.Duration) int {
	return min(int(bucketsPerDoubling*math.Log2(float64(idleFor)/float64(baselineIdleTime))), idleTimeBuckets-1)
}

// observe records the reuse of a connection after an idle time, and whether the connection broke.
func (e *idleLifetimeEstimator) observe(idleFor time.Duration, broke bool, now time.Time) {
	e.decay(now)
	count := &e.baseline
	if idleFor >= baselineIdleTime {
		count = &e.buckets[bucketOf(idleFor)]
	}
	count.reuses++
	if broke {
		count.broken++
	}
}

// decay applies the decay up to now to all counts, at most decaysPerHalfLife times in each
// countHalfLife.
func (e *idleLifetimeEstimator) decay(now time.Time) {
	if e.decayedAt.IsZero() {
		e.decayedAt = now
	}
	passed := now.Sub(e.decayedAt)
	if passed <= countHalfLife/decaysPerHalfLife {
		return
	}
	keep := math.Exp2(-float64(passed) / float64(countHalfLife))
	e.baseline.scale(keep)
	for i := range e.buckets {
		e.buckets[i].scale(keep)
	}
	e.decayedAt = now
}

// scale multiplies both counts by a factor.
func (c *reuseCount) scale(factor float64) {
	c.reuses *= factor
	c.broken *= factor
}

// limit returns the longest idle time after which a connection may be reused. It is at most
// idleTimeout.
func (e *idleLifetimeEstimator) limit(idleTimeout time.Duration) time.Duration {
	baselineShare := 0.0 // share of the baseline's reused connections that broke
	if e.baseline.reuses > 0 {
		baselineShare = e.baseline.broken / e.baseline.reuses
	}
	for i, bucket := range e.buckets {
		if bucket.broken >= minBrokenReuses &&
			bucket.broken > bucket.reuses*(brokenShareFactor*baselineShare+brokenShareMargin) {
			return min(idleTimeout, time.Duration(float64(baselineIdleTime)*math.Exp2(float64(i)/bucketsPerDoubling)))
		}
	}
	return idleTimeout
}
