// This file holds the rate at which requests arrive.

package policy

import "math"

// minMeasuredFraction bounds the correction of the rate soon after the start, when the decaying
// count covers only a part of its time constant. That part is assumed to be at least this fraction,
// so the correction is at most 1/minMeasuredFraction.
const minMeasuredFraction = 0.01

// requestRate measures the rate of the requests of this agent's clients.
type requestRate struct {
	*environment
	recentCount float64 // requests; decays exponentially with decayMs, as of recentAt
	recentAt    float64 // ms
	startedAt   float64 // ms
	totalCount  float64 // requests since the start, retries included
}

// newRequestRate returns a requestRate that has not been started.
func newRequestRate(env *environment) requestRate { return requestRate{environment: env} }

// start begins to measure.
func (r *requestRate) start() { r.startedAt, r.recentAt = r.now, r.now }

// decayMs returns the time constant of recentCount, in ms: the time for which idle connections are
// kept or, if none are, the time in which an endpoint may become overloaded.
func (r *requestRate) decayMs() float64 {
	return max(r.settings.Limits.KeepaliveMs, r.settings.Contract.OverloadWindowMs, 1)
}

// count counts a request. Retries are left out of the recent rate: their number rises with failures,
// and the quotas in the settings don't include them.
func (r *requestRate) count(retry bool) {
	r.totalCount++
	if !retry {
		r.recentCount = r.recentCount*math.Exp((r.recentAt-r.now)/r.decayMs()) + 1
		r.recentAt = r.now
	}
}

// rescale adapts the recent count to a reload of the settings that changed its time constant from
// oldDecayMs. The measured rate remains the same.
func (r *requestRate) rescale(oldDecayMs float64) { r.recentCount *= r.decayMs() / oldDecayMs }

// perMs returns the recent rate, in requests per ms.
func (r *requestRate) perMs() float64 {
	decayMs := r.decayMs()
	decay := math.Exp((r.recentAt - r.now) / decayMs)
	return r.recentCount * decay / decayMs / max(1-math.Exp((r.startedAt-r.now)/decayMs), minMeasuredFraction)
}

// lifetimePerMs returns the rate since the start, in requests per ms, retries included.
func (r *requestRate) lifetimePerMs() float64 { return r.totalCount / max(r.now-r.startedAt, 1) }
