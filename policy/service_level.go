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
	expect   float64 // mean answer time, as of expectAt
	expectAt float64
	answers  float64 // that it was learnt from
	asked    float64 // share of all requests of late
	inTime   float64 // share of its last classMemory requests that were served within the aim
	counts   ClassCounts
}

// calm is the answer time that a class of which nothing is known is held to have.
func (c *class) calm() float64 { return c.LatencyObjectiveMs * crowdShare / 2 }

// learn takes an answer time into the class's mean, which follows the answers of the time
// after which its clients give up.
func (c *class) learn(now, rtt float64) {
	weight := max(4*slowSmooth, 1/(c.answers+2))
	if c.answers > 0 {
		weight = max(weight, 1-math.Exp((c.expectAt-now)/c.DeadlineMs))
	}
	c.expect = mean(c.expect, min(rtt, 2*c.LatencyObjectiveMs), weight)
	c.answers++
	c.expectAt = now
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
	calm := c.calm()
	if c.expect <= calm {
		return c.expect
	}
	return calm + (c.expect-calm)*math.Exp((c.expectAt-now)/c.DeadlineMs)
}

// takeClasses makes the settings' classes those of the Balancer; nothing is known of them yet.
func (b *Balancer) takeClasses() {
	b.classes, b.aimMin, b.giveUpMost = nil, math.Inf(1), 0
	for _, c := range b.set.Classes {
		of := &class{Class: c, asked: 1 / float64(len(b.set.Classes)), inTime: 1}
		of.expect = of.calm()
		b.classes = append(b.classes, of)
		b.aimMin = min(b.aimMin, c.LatencyObjectiveMs)
		b.giveUpMost = max(b.giveUpMost, c.DeadlineMs)
	}
	b.worst = b.classes[0]
}

// tally keeps the classes' shares of requests and of those served in time.
func (b *Balancer) tally(of *class) {
	b.credit = 0
	aims, all := 0.0, 0.0
	for _, c := range b.classes {
		c.asked *= fade
		if c == of {
			c.asked += 1 - fade
			c.inTime -= c.inTime / classMemory
		}
		b.credit += c.asked * c.PriorityWeight
		aims += c.asked * c.LatencyObjectiveMs
		all += c.asked
		if c.inTime < b.worst.inTime {
			b.worst = c
		}
	}
	b.meanAim = aims / all
}
