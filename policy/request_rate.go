// This file holds how many requests come.

package policy

import "math"

// minMeasuredFraction is the least part of the span that counts as measured: the rate of the first
// moments is not taken to be higher than 1/minMeasuredFraction times what was seen.
const minMeasuredFraction = 0.01

// requestRate measures the requests of this agent's clients.
type requestRate struct {
	*environment
	recentCount float64 // requests, fading over decayMs, as of recentAt
	recentAt    float64 // ms
	startedAt   float64 // ms
	totalCount  float64 // requests since the start, retries included
}

// newRequestRate returns a measure that has not been started.
func newRequestRate(env *environment) requestRate { return requestRate{environment: env} }

// start begins to measure.
func (r *requestRate) start() { r.startedAt, r.recentAt = r.now, r.now }

// decayMs returns the time over which requests are counted: that for which a connection is kept, and
// where none is, that in which an endpoint may be overloaded.
func (r *requestRate) decayMs() float64 {
	return max(r.set.Limits.KeepaliveMs, r.set.Contract.OverloadWindowMs, 1)
}

// count notes a request. Retries don't count towards the recent rate: they swell with failures,
// and the settings don't foresee them.
func (r *requestRate) count(retry bool) {
	r.totalCount++
	if !retry {
		r.recentCount = r.recentCount*math.Exp((r.recentAt-r.now)/r.decayMs()) + 1
		r.recentAt = r.now
	}
}

// rescale adapts the recent count, which fades over a time, to settings that changed that time from
// oldSpanMs: it stands for as much as before.
func (r *requestRate) rescale(oldSpanMs float64) { r.recentCount *= r.decayMs() / oldSpanMs }

// perMs returns the recent rate, in requests a ms.
func (r *requestRate) perMs() float64 {
	span := r.decayMs()
	decay := math.Exp((r.recentAt - r.now) / span)
	return r.recentCount * decay / span / max(1-math.Exp((r.startedAt-r.now)/span), minMeasuredFraction)
}

// lifetimePerMs returns the rate since the start, in requests a ms.
func (r *requestRate) lifetimePerMs() float64 { return r.totalCount / max(r.now-r.startedAt, 1) }
