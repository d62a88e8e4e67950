// This file holds what is learnt of each class of requests.

package policy

import (
	"math"
)

const (
	// classMemory is over how many of its requests the share of a class served in time counts.
	classMemory   = 32
	maxEjections  = 5 // bounds the doubling of a bad server's ejection time
	maxEjectionMs = 60000.0
)

// class is a class of requests and what was learnt of it.
type class struct {
	Class
	meanMs       float64 // mean answer time, as of expectAt
	meanAt       float64
	answers      float64 // that it was learnt from
	requestShare float64 // share of all requests of late
	servedInTime float64 // share of its last classMemory requests that were served within the aim
	counts       ClassCounts
}

// classStats holds the classes of requests and what compares them.
type classStats struct {
	all                 []*class
	worst               *class  // the class served worst
	meanPriority        float64 // mean priority weight of a request
	meanObjectiveMs     float64 // mean latency objective of recent requests
	shortestObjectiveMs float64
	longestDeadlineMs   float64
}

// calm is the answer time that a class of which nothing is known is held to have.
func (c *class) uncontendedMs() float64 { return c.LatencyObjectiveMs * crowdedFraction / 2 }

// learn takes an answer time into the class's mean, which follows the answers of the time
// after which its clients give up.
func (c *class) learn(now, rtt float64) {
	weight := max(4*fleetSmoothing, 1/(c.answers+2))
	if c.answers > 0 {
		weight = max(weight, 1-math.Exp((c.meanAt-now)/c.DeadlineMs))
	}
	c.meanMs = mean(c.meanMs, min(rtt, 2*c.LatencyObjectiveMs), weight)
	c.answers++
	c.meanAt = now
}

// unanswered takes an attempt into the mean that was given up on after its age. What it would
// have taken is not known, nor whether its server lives: it counts as twice the mean at most,
// so that the mean runs away only where most go unanswered.
func (c *class) unanswered(now, age float64) {
	if expected := c.expected(now); age > expected {
		c.learn(now, min(age, 2*expected))
	}
}

// expected is the class's mean answer time. Late answers are forgotten over the time after
// which clients give up: nobody waits any more for what was in the queues then. A class held
// to be late for good is sent only when no other is held, and then nothing of it tells that
// servers have become quick.
func (c *class) expected(now float64) float64 {
	calm := c.uncontendedMs()
	if c.meanMs <= calm {
		return c.meanMs
	}
	return calm + (c.meanMs-calm)*math.Exp((c.meanAt-now)/c.DeadlineMs)
}

// takeClasses makes the settings' classes those of the Balancer; nothing is known of them yet.
func (b *Balancer) setClasses() {
	b.classes.all, b.classes.shortestObjectiveMs, b.classes.longestDeadlineMs = nil, math.Inf(1), 0
	for _, c := range b.set.Classes {
		of := &class{Class: c, requestShare: 1 / float64(len(b.set.Classes)), servedInTime: 1}
		of.meanMs = of.uncontendedMs()
		b.classes.all = append(b.classes.all, of)
		b.classes.shortestObjectiveMs = min(b.classes.shortestObjectiveMs, c.LatencyObjectiveMs)
		b.classes.longestDeadlineMs = max(b.classes.longestDeadlineMs, c.DeadlineMs)
	}
	b.classes.worst = b.classes.all[0]
}

// tally keeps the classes' shares of requests and of those served in time.
func (b *Balancer) countClass(of *class) {
	b.classes.meanPriority = 0
	aims, all := 0.0, 0.0
	for _, c := range b.classes.all {
		c.requestShare *= shareDecay
		if c == of {
			c.requestShare += 1 - shareDecay
			c.servedInTime -= c.servedInTime / classMemory
		}
		b.classes.meanPriority += c.requestShare * c.PriorityWeight
		aims += c.requestShare * c.LatencyObjectiveMs
		all += c.requestShare
		if c.servedInTime < b.classes.worst.servedInTime {
			b.classes.worst = c
		}
	}
	b.classes.meanObjectiveMs = aims / all
}
