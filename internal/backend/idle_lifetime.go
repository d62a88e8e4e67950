package backend

import (
	"math"
	"time"
)

const (
	// youngAge is the age up to which a connection that breaks says nothing of its age. ageSteps is
	// the number of steps above it, each longer by a factor of √2: up to 262 s.
	youngAge, ageSteps = 64 * time.Millisecond, 24
	// ageHalfLife is the time in which a count decays to half: ages that were given up are tried
	// again in time.
	ageHalfLife = 10 * time.Second
	// A step is too old if its connections broke at least minBreaks times and in more than
	// breakFactor times the share of the young ones, plus breakShare.
	minBreaks, breakFactor, breakShare = 3, 3, 0.1
)

// idleLifetimeEstimator learns how long connections may be idle. A backend, or a middlebox in
// front of it, may drop them silently long before the idle timeout of the settings. The next request
// then ends as a reset, and may have run.
//
// It is a histogram of reuses over the idle time, in geometric steps, whose counts decay by half in
// each ageHalfLife (exponential forgetting). The limit is the lower bound of the first step whose
// share of broken connections stands out against that of young ones, which break for other reasons.
// Its constants are this project's, not from a publication: a few resets must be enough to act on,
// and a single one must not be.
//
// The pool's mutex guards it. Its zero value is ready for use.
type idleLifetimeEstimator struct {
	young   reuseCount
	steps   [ageSteps]reuseCount
	decayed time.Time // when the counts were last decayed
}

// reuseCount counts the reuses of connections of about one age, and those of them that broke
// before the first byte of an answer. The counts decay, and so are no whole numbers.
type reuseCount struct{ reuses, broken float64 }

// stepOf returns the index of the step of an age, which must be at least youngAge.
func stepOf(age time.Duration) int {
	return min(int(2*math.Log2(float64(age)/float64(youngAge))), ageSteps-1)
}

// observe records how the reuse of a connection went that had been idle for age.
func (e *idleLifetimeEstimator) observe(age time.Duration, broke bool, now time.Time) {
	e.decay(now)
	count := &e.young
	if age >= youngAge {
		count = &e.steps[stepOf(age)]
	}
	count.reuses++
	if broke {
		count.broken++
	}
}

// decay ages the counts to the present, at most ten times in a half-life.
func (e *idleLifetimeEstimator) decay(now time.Time) {
	if e.decayed.IsZero() {
		e.decayed = now
	}
	passed := now.Sub(e.decayed)
	if passed <= ageHalfLife/10 {
		return
	}
	keep := math.Exp2(-float64(passed) / float64(ageHalfLife))
	e.young.scale(keep)
	for i := range e.steps {
		e.steps[i].scale(keep)
	}
	e.decayed = now
}

// scale multiplies the counts.
func (c *reuseCount) scale(factor float64) {
	c.reuses *= factor
	c.broken *= factor
}

// limit returns how long a connection may have been idle to be used again: at most the idle timeout.
func (e *idleLifetimeEstimator) limit(idleTimeout time.Duration) time.Duration {
	youngShare := 0.0 // of the young connections that broke
	if e.young.reuses > 0 {
		youngShare = e.young.broken / e.young.reuses
	}
	for i, step := range e.steps {
		if step.broken >= minBreaks && step.broken > step.reuses*(breakFactor*youngShare+breakShare) {
			return min(idleTimeout, time.Duration(float64(youngAge)*math.Exp2(float64(i)/2)))
		}
	}
	return idleTimeout
}
