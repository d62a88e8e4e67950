// This file holds the statistics of each class of requests: answer times, shares and counts.

package policy

import (
	"math"
)

// classHistory is the number of a class's latest requests that servedInTime covers.
const classHistory = 32

// class is a class of requests with its statistics.
type class struct {
	Class
	meanMs       float64 // moving average of the answer times, as of meanAt
	meanAt       float64 // ms
	samples      float64 // number of answer times in meanMs
	requestShare float64 // recent share of all requests, see shareDecay
	servedInTime float64 // share of its last classHistory requests served within the objective
	counts       ClassCounts
}

// uncontendedMs returns the answer time that is assumed for a class before its first answer: half of
// the one that indicates congestion. A mean above it decays towards it.
func (c *class) uncontendedMs() float64 { return c.LatencyObjectiveMs * congestedFraction / 2 }

// observeLatency updates the class's mean with an answer time. The longer ago the last one, the more
// the new one weighs; the time constant is the class's deadline, after which its clients give up.
func (c *class) observeLatency(now, rttMs float64) {
	// The initial mean has the weight of one answer.
	weight := max(classSmoothing, 1/(c.samples+2))
	if c.samples > 0 {
		weight = max(weight, 1-math.Exp((c.meanAt-now)/c.DeadlineMs))
	}
	c.meanMs = ewma(c.meanMs, min(rttMs, maxObjectiveFraction*c.LatencyObjectiveMs), weight)
	c.samples++
	c.meanAt = now
}

// countAttempt counts an attempt that is sent for a request of the class.
func (c *class) countAttempt() { c.counts.Attempts++ }

// countUnserved counts a request that was rejected or failed.
func (c *class) countUnserved(rejected bool) {
	if rejected {
		c.counts.Rejected++
	} else {
		c.counts.Failed++
	}
}

// observeServed records that a request of the class was answered after rttMs. Its latency objective
// ended at objectiveAt.
func (c *class) observeServed(now, rttMs, objectiveAt float64) {
	c.observeLatency(now, rttMs)
	c.counts.Served++
	if now <= objectiveAt {
		c.counts.WithinObjective++
		c.servedInTime += 1.0 / classHistory
	}
}

// observeUnanswered updates the mean with an attempt that ended without an answer ageMs after it was
// sent, if that is longer than expected. It is not known how long the answer would have taken, nor
// whether the endpoint is alive. The attempt therefore counts as at most twice the mean, so that the
// mean keeps rising only if most attempts go unanswered.
func (c *class) observeUnanswered(now, ageMs float64) {
	if expected := c.expectedMs(now); ageMs > expected {
		c.observeLatency(now, min(ageMs, 2*expected))
	}
}

// expectedMs returns the expected answer time of the class: the mean, which decays towards the
// uncontended time. The time constant is the deadline after which clients give up, because by then
// no client waits for the requests that were queued before. Without the decay a class that was late
// once would be considered late for good. Its requests would be sent only while no other class is
// queued, so that no answer would show that the endpoints have become fast again.
func (c *class) expectedMs(now float64) float64 {
	uncontended := c.uncontendedMs()
	if c.meanMs <= uncontended {
		return c.meanMs
	}
	return uncontended + (c.meanMs-uncontended)*math.Exp((c.meanAt-now)/c.DeadlineMs)
}

// classStats holds the classes of requests and values computed over all of them.
type classStats struct {
	*environment
	all                 []*class
	worst               *class  // the class with the lowest share served in time
	meanPriority        float64 // mean priority weight of recent requests
	meanObjectiveMs     float64 // mean latency objective of recent requests
	shortestObjectiveMs float64
	longestDeadlineMs   float64
}

// newClassStats returns the classes of the settings.
func newClassStats(env *environment) classStats {
	c := classStats{environment: env}
	c.reset()
	return c
}

// reset sets the classes to those of the settings, with initial statistics.
func (c *classStats) reset() {
	c.all, c.shortestObjectiveMs, c.longestDeadlineMs = nil, math.Inf(1), 0
	for _, settings := range c.settings.Classes {
		class := &class{Class: settings, requestShare: 1 / float64(len(c.settings.Classes)), servedInTime: 1}
		class.meanMs = class.uncontendedMs()
		c.all = append(c.all, class)
		c.shortestObjectiveMs = min(c.shortestObjectiveMs, settings.LatencyObjectiveMs)
		c.longestDeadlineMs = max(c.longestDeadlineMs, settings.DeadlineMs)
	}
	c.worst = c.all[0]
}

// reload sets the classes to those of new settings. A class keeps its statistics if one of the same
// name existed before. Open requests keep the class that they point to. reload returns the new class
// of each old class whose name is still in the settings.
func (c *classStats) reload() map[*class]*class {
	byName := map[string]*class{}
	for _, old := range c.all {
		byName[old.Name] = old
	}
	worst := c.worst
	c.reset()
	successor := map[*class]*class{}
	for _, class := range c.all {
		old := byName[class.Name]
		if old == nil {
			continue
		}
		class.meanMs, class.meanAt, class.samples = old.meanMs, old.meanAt, old.samples
		class.requestShare, class.servedInTime, class.counts = old.requestShare, old.servedInTime, old.counts
		successor[old] = class
		if old == worst {
			c.worst = class
		}
	}
	return successor
}

// countRequest counts a new request of a class, and counts it as not served in time so far.
func (c *classStats) countRequest(counted *class) {
	counted.counts.Requests++
	c.meanPriority = 0
	objectives, shares := 0.0, 0.0
	for _, class := range c.all {
		class.requestShare *= shareDecay
		if class == counted {
			class.requestShare += 1 - shareDecay
			class.servedInTime -= class.servedInTime / classHistory
		}
		c.meanPriority += class.requestShare * class.PriorityWeight
		objectives += class.requestShare * class.LatencyObjectiveMs
		shares += class.requestShare
		if class.servedInTime < c.worst.servedInTime {
			c.worst = class
		}
	}
	c.meanObjectiveMs = objectives / shares
}
