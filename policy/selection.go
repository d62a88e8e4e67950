// This file holds the choice of an endpoint: tiers, then rendezvous hashing with bounded load.

package policy

import (
	"math"
)

const (
	// boundedLoadFactor is how far above its even share of the agent's attempts an endpoint may go
	// before a key's request moves on to the next in hash order.
	boundedLoadFactor = 3.0
	// keyAffinityWait is the part of its objective that a request may wait for one of the
	// keyEndpoints nearest its key: going on at once would lose the warm key just when time is
	// short.
	keyAffinityWait, keyEndpoints = 0.25, 2
	// keyHistory is over how many requests keys are counted, popularKeyParts into how many parts
	// a key is split that alone would be an endpoint's even share: it is not alone there.
	keyHistory, popularKeyParts = 128, 4.0
	// minSubset is the least number of endpoints an agent sends to, where so many are listed.
	minSubset = 16
	// recentSlack is how much slower than the fleet an endpoint may seem by chance,
	// minRecentWeight what the slowest keeps of its weight.
	recentSlack, minRecentWeight = 1.1, 0.02
	// slowStartWeightFactor is how many times its share one that is warming up weighs in a key's
	// order, up to 1: its allowance limits it.
	slowStartWeightFactor = 4
	// tiers is the number of tiers.
	tiers = 3
)

// selector chooses the endpoint of a request.
type selector struct {
	*environment
	endpoints *endpointSet
	classes   *classStats
	traffic   *requestRate
	limiter   *concurrencyLimiter
	slowStart *slowStart
	latency   *latencyTracker
	retries   *retryPolicy

	scratch    []*endpoint // of candidates
	recentKeys keyCounter
	zones      zoneWeights
	kinds      machineKindWeights
}

// newSelector gives a selector that has learnt nothing; the components that it asks are set after.
func newSelector(env *environment) selector {
	return selector{environment: env, recentKeys: keyCounter{count: map[uint64]int{}},
		zones: newZoneWeights(), kinds: newMachineKindWeights()}
}

// tierOf is the endpoint's tier for the request, from 0, the best.
func (s *selector) tierOf(endpoint *endpoint, request *request) int {
	switch endpoint.health.state {
	case StateUnhealthy:
		return 2
	case StateUnhealthyPending:
		// What must not run twice does not validate an endpoint while others are healthy.
		once := request.class.Effect == EffectNonIdempotent
		checked := s.set.Limits.HealthChecks && s.now-endpoint.health.since < s.classes.shortestObjectiveMs
		if once || checked {
			return 1
		}
	}
	return 0
}

// selectEndpoint gives the first endpoint of the best tier that has any, in the order of the
// request's hash, that is under its load bound and has capacity; nil if there is none.
func (s *selector) selectEndpoint(request *request) *endpoint {
	waits, subset := s.waitsForKey(request), s.subset()
	for tier := range tiers {
		candidates, nearest := s.candidates(request, tier, subset, waits)
		if request.placement.tierWeight == 0 {
			continue // an empty tier passes down
		}
		if waits && len(candidates) > keyEndpoints {
			request.placement.nearest, request.placement.epoch = nearest, s.endpoints.epoch
			candidates = nearest[:]
		}
		return s.best(candidates, request)
	}
	return nil
}

// candidates scores the endpoints of a tier that the request may be sent to, up to subset of them,
// and gives those nearest its key. Where the request doesn't wait only those that have capacity
// are scored. It sets the request's tierWeight.
func (s *selector) candidates(request *request, tier, subset int, waits bool) ([]*endpoint,
	[keyEndpoints]*endpoint) {
	scored, inTier, seen := s.scratch[:0], 0, 0
	var nearest [keyEndpoints]*endpoint
	request.placement.tierWeight = 0
	for _, endpoint := range s.endpoints.all {
		seen++
		if s.tierOf(endpoint, request) != tier || !s.retries.maySend(request, endpoint) {
			continue
		}
		if inTier++; inTier > subset && len(scored) > 0 {
			break
		}
		request.placement.tierWeight += endpoint.weight * s.capacityFraction(endpoint)
		if !waits && !s.hasCapacity(endpoint, request) {
			continue
		}
		endpoint.score = s.score(request, endpoint)
		scored = append(scored, endpoint)
		for i, next := 0, endpoint; i < keyEndpoints && next != nil; i++ {
			if nearest[i] == nil || next.score < nearest[i].score {
				nearest[i], next = next, nearest[i]
			}
		}
	}
	s.scratch = scored
	s.work += uint64(seen)
	return scored, nearest
}

// best is the candidate with the lowest score that accepts the request, or nil.
func (s *selector) best(candidates []*endpoint, request *request) *endpoint {
	var best *endpoint
	for _, endpoint := range candidates {
		if (best == nil || endpoint.score < best.score) && s.accepts(endpoint, request) {
			best = endpoint
		}
	}
	return best
}

// accepts tells whether the endpoint is under its load bound in the tier of the request's last
// selection and has capacity.
func (s *selector) accepts(endpoint *endpoint, request *request) bool {
	share := endpoint.weight * s.capacityFraction(endpoint) / request.placement.tierWeight
	most := math.Ceil(boundedLoadFactor * float64(s.limiter.inFlight+1) * share)
	return float64(endpoint.load()) < most && s.hasCapacity(endpoint, request)
}

// hasCapacity bounds what an endpoint holds of this agent: its window, one at a time until it is
// validated, and its allowance while it is warming up.
func (s *selector) hasCapacity(endpoint *endpoint, request *request) bool {
	if endpoint.health.state >= StateUnhealthyPending {
		return endpoint.load() == 0
	}
	if !endpoint.windowOpen(s.now) {
		return false
	}
	if s.capacityFraction(endpoint) == 1 {
		return true
	}
	cost := s.latency.hints.cost(request)
	if endpoint.slowStart.allowance >= cost {
		return true
	}
	if s.slowStart.warmWeight() > 0 {
		return false
	}
	if s.slowStart.flow > 0 {
		return s.slowStart.rested(endpoint, cost)
	}
	// It never met a warm endpoint, so nothing tells what one that is warming up may be sent: no
	// more than it answers, as one attempt of this agent at a time waits there and the limit
	// bounds them all.
	return len(endpoint.traffic.inFlight) == 0 && (s.latency.answers > 0 || s.hasFirstTurn(endpoint))
}

// hasFirstTurn paces an agent that no endpoint has answered yet: agents take turns by the latency
// objective, or all would go on calling what can't answer. All together make attemptsPerEndpoint
// attempts at each endpoint in that time, whatever they are asked: an agent's rate is not known in
// its first moments. Of an endpoint that is warming up that is as many as the contract allows it
// of what it does warm. The first turn comes at a part of that time after the agent was notified of
// the start, which differs from agent to agent. Else each would make its first attempt with its
// first request, before anything tells what the endpoints bear.
func (s *selector) hasFirstTurn(endpoint *endpoint) bool {
	alone := s.classes.shortestObjectiveMs // a turn of one that is alone
	if multiple := s.set.Contract.OverloadMultiple; multiple > 0 {
		alone /= min(s.capacityFraction(endpoint)*multiple, 1)
	}
	turn := alone * max(float64(s.set.Replicas)/(attemptsPerEndpoint*s.slowStart.fleetCapacity()), 1)
	// The fractions of the golden ratio's multiples by successive numbers are spread evenly,
	// however many agents there are.
	_, part := math.Modf(math.Phi * float64(s.set.Index))
	return s.now-s.limiter.lastAttemptAt >= turn && s.now-endpoint.health.since >= part*(turn-alone)
}

// subset is how many endpoints of a tier, in an order of its own, an agent sends to: those it can
// meet every few seconds. An agent that meets an endpoint more seldom opens a connection for each
// request and can't learn which are slow or hung. Orders differ, so each endpoint keeps its share;
// keys find theirs within. Where connections have no price, more endpoints keep more keys warm.
func (s *selector) subset() int {
	size := s.traffic.recent
	if s.set.Limits.KeepaliveMs <= 0 {
		size = math.Inf(1)
	} else if s.set.Prices.Handshake > 0 {
		size /= 4
	}
	return int(min(max(size, minSubset), float64(len(s.endpoints.all))))
}

// waitsForKey tells whether the request still waits for the endpoints nearest its key.
func (s *selector) waitsForKey(request *request) bool {
	timing := &request.timing
	return request.key != 0 && len(request.tries.counted) == 0 &&
		s.now-timing.arrived < keyAffinityWait*(timing.objectiveAt-timing.arrived)
}

// keyEndpointsFull tells whether the request waits for the endpoints nearest its key and none of
// them accepts it yet.
func (s *selector) keyEndpointsFull(request *request) bool {
	placement := &request.placement
	nearest := placement.nearest
	return s.waitsForKey(request) && nearest[0] != nil && placement.epoch == s.endpoints.epoch &&
		!s.accepts(nearest[0], request) && !s.accepts(nearest[1], request)
}

// score orders endpoints by weighted rendezvous hashing: every agent of a zone finds the same
// order for a key, and an endpoint's share of keys is that of its weight.
func (s *selector) score(request *request, endpoint *endpoint) float64 {
	hash := mix(request.hash ^ endpoint.hash)
	uniform := float64(hash>>11) / (1 << 53)
	warmth := min(slowStartWeightFactor*s.slowStart.share(s.capacityFraction(endpoint)), 1)
	weight := endpoint.weight * s.kinds.of(endpoint) * warmth
	weight *= s.recentWeight(endpoint)
	if endpoint.zone == s.set.Zone {
		weight *= s.zones.weight
	}
	return -math.Log(uniform+1e-18) / weight
}

// recentWeight is what an endpoint keeps of its weight: one that answers later than the fleet
// gets less, so that its queue can drain. Tiers ignore latency, and windows need many answers:
// where agents are many and each meets an endpoint every few seconds, these alone would leave
// an overloaded endpoint its even share.
func (s *selector) recentWeight(endpoint *endpoint) float64 {
	if s.latency.recent == 0 {
		return 1
	}
	slower := s.latency.recentOf(endpoint) / (recentSlack * s.latency.recent)
	if slower <= 1 {
		return 1
	}
	return max(1/(slower*slower), minRecentWeight)
}

// hashOf gives a key the hash that orders the endpoints for it. A popular key is split into parts,
// each with its own order: it may be many times what its endpoint can do, and with one request in
// flight the load bound sees nothing of that. The fewer agents share an endpoint, the more each
// sees, and is left to the load bound.
func (s *selector) hashOf(key uint64) uint64 {
	if key == 0 {
		return s.rng.Uint64()
	}
	share := s.recentKeys.add(key) - 1.0/keyHistory
	endpoints := float64(s.subset())
	unseen := min(float64(s.set.Replicas)/max(boundedLoadFactor*endpoints, 1), 1)
	parts := max(share*popularKeyParts*endpoints*unseen, 1)
	return key + uint64(parts*s.rng.Float64())*0x9e3779b97f4a7c15 // part 0 keeps the key's own order
}

// observe takes an answer time, as a part of the objective, into the weights of zones and machine
// kinds.
func (s *selector) observe(endpoint *endpoint, fraction float64) {
	s.zones.observe(endpoint.zone == s.set.Zone, fraction, s.set.Prices.CrossZone)
	if s.set.Weights == "off" {
		s.kinds.observe(endpoint, fraction)
	}
}

// keyCounter counts how often each key came among the last keyHistory requests.
type keyCounter struct {
	last  [keyHistory]uint64
	next  int // index in last of the oldest
	total int
	count map[uint64]int
}

// add counts one more request for the key and returns the key's share.
func (k *keyCounter) add(key uint64) float64 {
	if k.total == keyHistory {
		old := k.last[k.next]
		if k.count[old]--; k.count[old] == 0 {
			delete(k.count, old)
		}
	} else {
		k.total++
	}
	k.last[k.next] = key
	k.next = (k.next + 1) % keyHistory
	k.count[key]++
	return float64(k.count[key]) / float64(k.total)
}
