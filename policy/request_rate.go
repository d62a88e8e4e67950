// This file holds how many requests come.

package policy

import "math"

// minRateHistory is the least part of the span that counts as measured: the rate of the first
// moments is not taken to be higher than 1/minRateHistory times what was seen.
const minRateHistory = 0.01

// requestRate measures the requests of this agent's clients.
type requestRate struct {
	*environment
	recent    float64 // requests, fading over spanMs, as of recentAt
	recentAt  float64 // ms
	startedAt float64 // ms
	total     float64 // requests since the start, retries included
}

// newRequestRate returns a measure that has not been started.
func newRequestRate(env *environment) requestRate { return requestRate{environment: env} }

// start begins to measure.
func (r *requestRate) start() { r.startedAt, r.recentAt = r.now, r.now }

// spanMs returns the time over which requests are counted: that for which a connection is kept, and
// where none is, that in which an endpoint may be overloaded.
func (r *requestRate) spanMs() float64 {
	return max(r.settings.Limits.KeepaliveMs, r.settings.Contract.OverloadWindowMs, 1)
}

// count notes a request. Retries don't count towards the recent rate: they swell with failures,
// and the settings don't foresee them.
func (r *requestRate) count(retry bool) {
	r.total++
	if !retry {
		r.recent = r.recent*math.Exp((r.recentAt-r.now)/r.spanMs()) + 1
		r.recentAt = r.now
	}
}

// rescale adapts the recent count, which fades over a time, to settings that changed that time from
// oldSpanMs: it stands for as much as before.
func (r *requestRate) rescale(oldSpanMs float64) { r.recent *= r.spanMs() / oldSpanMs }

// perMs returns the recent rate, in requests a ms.
func (r *requestRate) perMs() float64 {
	span := r.spanMs()
	decay := math.Exp((r.recentAt - r.now) / span)
	return r.recent * decay / span / max(1-math.Exp((r.startedAt-r.now)/span), minRateHistory)
}

// lifetimePerMs returns the rate since the start, in requests a ms.
func (r *requestRate) lifetimePerMs() float64 { return r.total / max(r.now-r.startedAt, 1) }
