// This file holds what is learnt from answer times, and how it is forgotten.

package policy

import (
	"math"
)

const (
	// crowdShare is the part of the aim that a server's mean answer time may take.
	crowdedFraction = 0.5
	// crowdFactor is how many times the fleet's calm answer time a calm server's may be.
	crowdedFactor = 1.5
	initialWindow = 2.0 // attempts an unmeasured server may hold
	// calmSamples is the number of answers that make the first measure of calm; until
	// then no window grows, so that a start does not crowd what it measures.
	uncontendedSamples = 50
	// minWindow is left to the most crowded server: enough to see when it is not.
	minWindow, overloadFactor = 0.1, 2.5
	// ownZone is how much more a server of the agent's own zone weighs in a key's order at
	// the least, ownPrice the most for the whole worth as the price of crossing; leastKind
	// what a slow kind of machine keeps; weighStep is how fast weights follow.
	minLocalZoneWeight, zonePriceFactor, minMachineKindWeight, weightStep = 1.5, 100.0, 0.25, 0.05
	// smooth is the weight of an answer in a server's mean, slowSmooth in a fleet-wide one;
	// fade lets requests count less for shares with age, over about 500.
	endpointSmoothing, fleetSmoothing, shareDecay = 0.2, 0.005, 0.998
	// paceStep and fleetStep are the weights of an answer in what its server and the fleet
	// are held to take, paceFade is how fast an agent forgets the first, in ms: a jammed
	// server recovers within seconds of rest. paceSlack is how much slower than the fleet a
	// server may seem by chance, leastPace what the slowest keeps of its weight.
	recentStep, recentFleetStep, recentMemoryMs, recentSlack, minRecentWeight = 0.5, 0.02, 10000.0, 1.1, 0.02
)

// latencyTracker holds the answer times over all endpoints, in fractions of the latency objective.
type latencyTracker struct {
	answers     float64 // served so far
	fleet       float64 // mean
	uncontended float64 // the same when no endpoint is crowded
	recent      float64 // mean of the last answers
	hints       hintRegression
}

// hintRegression is the straight line of answer time over hinted work.
type hintRegression struct {
	mean         float64 // hint of all hinted requests
	answers      float64 // answers to hinted requests, and their means and spread
	answeredMean float64
	meanTimeMs   float64
	variance     float64
	covariance   float64
}

func (b *Balancer) served(a *attempt, rtt float64) {
	s, r := a.target, a.request
	s.health.failureRate -= outcomeWeight * s.health.failureRate
	b.learnHint(r, rtt)
	b.recordAnswer(s)
	b.limiter.abandoned.answered(rtt)
	s.traffic.answeredSentAt = max(s.traffic.answeredSentAt, a.sentAt)
	s.latency.lastMs = rtt
	c := r.class
	c.learn(b.now, rtt)
	c.counts.Served++
	if b.now <= r.timing.objectiveAt {
		c.counts.WithinObjective++
		c.servedInTime += 1.0 / classMemory
	}
	x := b.objectiveFraction(r, rtt)
	b.latency.answers++
	b.latency.fleet = mean(b.latency.fleet, x, max(fleetSmoothing, 1/b.latency.answers))
	switch {
	case b.latency.answers <= uncontendedSamples:
		// One quick answer must not set the measure, nor a crowd at the start.
		b.latency.uncontended = min(b.latency.fleet, crowdedFraction/2)
	case b.latency.fleet < b.latency.uncontended:
		b.latency.uncontended = mean(b.latency.uncontended, b.latency.fleet, fleetSmoothing)
	default:
		b.latency.uncontended = mean(b.latency.uncontended, b.latency.fleet, b.uncontendedRise(a))
	}
	b.observeLatency(s, x)
	limit := b.crowdedThreshold(s)
	if s.health.state == StateUnhealthy && a.sentAt < s.health.since && !s.health.silent {
		return // sent before the failure: says nothing about what came after
	}
	if s.health.state != StateConnected {
		b.enter(s, StateConnected)
	}
	if s.health.silent {
		s.health.silent, s.health.consecutiveEjections = false, max(s.health.consecutiveEjections-1, 0)
	}
	if s.health.served++; s.health.served >= 16*s.health.consecutiveEjections {
		s.health.served, s.health.consecutiveEjections = 0, max(s.health.consecutiveEjections-1, 0)
	}
	switch {
	case s.latency.mean > limit && b.now-s.window.cutAt > rtt:
		least := 1.0
		if s.latency.mean > overloadFactor*limit {
			least = minWindow
		}
		b.shrinkWindow(s, 0.85, least)
	case s.latency.mean < limit && float64(len(s.traffic.inFlight)+2) > s.window.size && b.latency.answers > uncontendedSamples:
		s.window.size += min(1/s.window.size, s.window.size)
	}
}

// pace is a server's answer time as a part of the aim, as far as this agent can tell: what
// it saw, forgotten in favour of the fleet's over paceFade, and what it is waiting for.
func (b *Balancer) recentLatency(s *endpoint) float64 {
	p := b.latency.recent + (s.latency.recent-b.latency.recent)*math.Exp((s.latency.recentAt-b.now)/recentMemoryMs)
	if len(s.traffic.inFlight) > 0 {
		a := s.traffic.inFlight[0]
		p = max(p, b.objectiveFraction(a.request, b.now-a.sentAt))
	}
	return p
}

func (b *Balancer) observeLatency(s *endpoint, x float64) {
	s.latency.samples++
	s.latency.mean = mean(s.latency.mean, x, max(endpointSmoothing, 1/float64(s.latency.samples), 1-math.Exp((s.latency.recentAt-b.now)/recentMemoryMs)))
	b.observeRecentLatency(s, x)
	b.updateWeights(s, x)
}

func (b *Balancer) observeRecentLatency(s *endpoint, x float64) {
	if b.latency.recent == 0 {
		s.latency.recent = x
	}
	p := b.recentLatency(s)
	s.latency.recent, s.latency.recentAt = p+recentStep*(x-p), b.now
	b.latency.recent = mean(b.latency.recent, x, recentFleetStep)
}

// learnHint keeps the straight line of answer time over hinted work: the network's
// share does not grow with the work.
func (b *Balancer) learnHint(r *request, rtt float64) {
	if r.hint <= 0 {
		return
	}
	b.latency.hints.answers++
	w := max(fleetSmoothing, 1/b.latency.hints.answers)
	dh, dt := r.hint-b.latency.hints.answeredMean, rtt-b.latency.hints.meanTimeMs
	b.latency.hints.answeredMean += w * dh
	b.latency.hints.meanTimeMs += w * dt
	b.latency.hints.variance += w * (dh*dh*(1-w) - b.latency.hints.variance)
	b.latency.hints.covariance += w * (dh*dt*(1-w) - b.latency.hints.covariance)
}

// hintedTime is what the line says for the request; 0 while little is known.
func (b *Balancer) hintedTime(r *request) float64 {
	if r.hint <= 0 || b.latency.hints.answers < 1/(4*fleetSmoothing) || b.latency.hints.variance <= 0 {
		return 0
	}
	return max(b.latency.hints.meanTimeMs+b.latency.hints.covariance/b.latency.hints.variance*(r.hint-b.latency.hints.answeredMean), 0)
}

// partOfAim is an answer time as a part of the aim. Where hints tell the work a costly
// request counts as one of mean work; a small one's time is mostly the network's.
func (b *Balancer) objectiveFraction(r *request, rtt float64) float64 {
	x := rtt / r.class.LatencyObjectiveMs
	if r.hint > 0 {
		x *= min(b.latency.hints.mean/r.hint, 1)
	}
	return min(x, 2)
}

// weigh lets answer times set the weights that the list does not tell. Where crossing has
// a price the own zone gets more in proportion, as long as it answers no slower than the
// rest: what has more traffic than it can carry gets slower. A kind of machine that
// answers later than all gets less: equal shares choke the small ones.
func (b *Balancer) updateWeights(s *endpoint, x float64) {
	lat := &b.selector.zones.remoteLatency
	if s.zone == b.set.Zone {
		lat = &b.selector.zones.localLatency
	}
	*lat = mean(*lat, x, weightStep)
	most := max(zonePriceFactor*b.set.Prices.CrossZone, minLocalZoneWeight)
	b.selector.zones.weight = stepWeight(b.selector.zones.weight, b.selector.zones.localLatency > b.selector.zones.remoteLatency*(1+b.set.Prices.CrossZone), minLocalZoneWeight, most)
	if b.set.Weights != "off" {
		return
	}
	b.selector.kinds.meanLatency = mean(b.selector.kinds.meanLatency, x, weightStep)
	k := &b.selector.kinds.kind[s.machineKind&255]
	k.latency = mean(k.latency, x, weightStep)
	k.weight = stepWeight(k.weight, k.latency > b.selector.kinds.meanLatency, minMachineKindWeight, 1)
}

// calmRise is how fast calm follows longer answer times: hardly, or a crowd would become
// the measure. An attempt that was alone of its agent tells more the fewer agents there
// are: a lone one that took quick first answers for calm would leave its servers idle.
func (b *Balancer) uncontendedRise(a *attempt) float64 {
	if a.alone {
		return fleetSmoothing / min(2*math.Pow(float64(max(b.set.Replicas, 1)), 3), 250)
	}
	return fleetSmoothing / 250
}

// limit is the mean answer time, as a part of the aim, from which a server counts as
// crowded. A few agents see most of the load and need not fear to crowd a server that
// answers well within the aim. A cold one is slow before it is crowded.
func (b *Balancer) crowdedThreshold(s *endpoint) float64 {
	least := 2 * crowdedFraction / (2 + float64(b.set.Replicas))
	return min(crowdedFraction, max(crowdedFactor*b.latency.uncontended, least)) / b.capacityFraction(s)
}

func (b *Balancer) shrinkWindow(s *endpoint, by, least float64) {
	s.window.size, s.window.cutAt = min(s.window.size, max(s.window.size*by, least)), b.now
}

// stepWeight moves a weight a step down or up within its bounds.
func stepWeight(w float64, down bool, least, most float64) float64 {
	if down {
		return max(w/(1+weightStep), least)
	}
	return min(w*(1+weightStep), most)
}
