// This file holds what is learnt of each class of requests.

package policy

import (
	"math"
)

// classMemory is over how many of its requests the share of a class served in time counts.
const classMemory = 32

// class is a class of requests and what was learnt of it.
type class struct {
	Class
	meanMs       float64 // mean answer time, as of meanAt
	meanAt       float64 // ms
	answers      float64 // that it was learnt from
	requestShare float64 // recent share of all requests
	servedInTime float64 // share of its last classMemory requests served within the objective
	counts       ClassCounts
}

// uncontendedMs returns the answer time that a class of which nothing is known is taken to have.
func (c *class) uncontendedMs() float64 { return c.LatencyObjectiveMs * crowdedFraction / 2 }

// learn takes an answer time into the class's mean, which follows the answers of the time
// after which its clients give up.
func (c *class) learn(now, rttMs float64) {
	weight := max(4*fleetSmoothing, 1/(c.answers+2))
	if c.answers > 0 {
		weight = max(weight, 1-math.Exp((c.meanAt-now)/c.DeadlineMs))
	}
	c.meanMs = ewma(c.meanMs, min(rttMs, 2*c.LatencyObjectiveMs), weight)
	c.answers++
	c.meanAt = now
}

// countAttempt counts an attempt that is sent.
func (c *class) countAttempt() { c.counts.Attempts++ }

// countUnserved counts a request that was rejected or failed.
func (c *class) countUnserved(rejected bool) {
	if rejected {
		c.counts.Rejected++
	} else {
		c.counts.Failed++
	}
}

// served counts a request that was answered, after rttMs, and had its objective's end at
// objectiveAt.
func (c *class) served(now, rttMs, objectiveAt float64) {
	c.learn(now, rttMs)
	c.counts.Served++
	if now <= objectiveAt {
		c.counts.WithinObjective++
		c.servedInTime += 1.0 / classMemory
	}
}

// unanswered takes an attempt into the mean that was given up on after its age. What it would
// have taken is not known, nor whether its endpoint lives: it counts as twice the mean at most,
// so that the mean runs away only where most go unanswered.
func (c *class) unanswered(now, ageMs float64) {
	if expected := c.expectedMs(now); ageMs > expected {
		c.learn(now, min(ageMs, 2*expected))
	}
}

// expectedMs returns the class's mean answer time. Late answers are forgotten over the time after
// which clients give up: nobody waits any more for what was in the queues then. A class taken
// to be late for good would be sent only when no other is queued, and then no answer of it
// would show that the endpoints have become quick.
func (c *class) expectedMs(now float64) float64 {
	uncontended := c.uncontendedMs()
	if c.meanMs <= uncontended {
		return c.meanMs
	}
	return uncontended + (c.meanMs-uncontended)*math.Exp((c.meanAt-now)/c.DeadlineMs)
}

// classStats holds the classes of requests and what compares them.
type classStats struct {
	*environment
	all                 []*class
	worst               *class  // the class with the least share served in time
	meanPriority        float64 // mean priority weight of a request
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

// reset takes the classes from the settings; nothing is known of them yet.
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

// reload takes the classes from new settings. Of a class by the same name all stays known; open
// requests keep the class that they hold. It returns the new class of each old one that is still
// named.
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
		class.meanMs, class.meanAt, class.answers = old.meanMs, old.meanAt, old.answers
		class.requestShare, class.servedInTime, class.counts = old.requestShare, old.servedInTime, old.counts
		successor[old] = class
		if old == worst {
			c.worst = class
		}
	}
	return successor
}

// count notes a request of a class, and that it was not served in time so far.
func (c *classStats) count(counted *class) {
	counted.counts.Requests++
	c.meanPriority = 0
	objectives, shares := 0.0, 0.0
	for _, class := range c.all {
		class.requestShare *= shareDecay
		if class == counted {
			class.requestShare += 1 - shareDecay
			class.servedInTime -= class.servedInTime / classMemory
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
