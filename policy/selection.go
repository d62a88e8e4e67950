// This file holds the selection of an endpoint among the eligible ones: weighted rendezvous hashing
// with bounded loads.

package policy

import (
	"math"
)

const (
	// boundedLoadFactor bounds the attempts of this agent at an endpoint, as a multiple of an even
	// share. A request goes to the next endpoint in its hash order when this bound is reached.
	boundedLoadFactor = 3.0
	// keyAffinityWaitFraction is the fraction of its latency objective for which a request waits for
	// one of the first keyEndpoints endpoints in the hash order of its key. A request that went to
	// another endpoint at once would lose the warm key just when time is short.
	keyAffinityWaitFraction, keyEndpoints = 0.25, 2
	// keySplitFactor multiplies the number of parts into which a popular key is split. A key that
	// makes up an endpoint's even share by itself gets this many parts, because the endpoint serves
	// other keys too.
	keySplitFactor = 4.0
	// recentLatencyTolerance is the ratio of an endpoint's recent answer time to the fleet's that
	// may be due to chance. minRecentWeight is the smallest factor by which a slow endpoint's weight
	// is multiplied.
	recentLatencyTolerance, minRecentWeight = 1.1, 0.02
	// slowStartWeightFactor multiplies the share of an endpoint that is warming up, for its weight
	// in the hash order of a key. The weight is at most that of a warm endpoint, and may be above
	// the share because the endpoint's allowance limits what it is sent.
	slowStartWeightFactor = 4
)

// selector selects the endpoint of a request.
type selector struct {
	*environment
	endpoints   *endpointSet
	subset      *endpointSubset
	eligibility *eligibility
	slowStart   *slowStart
	latency     *latencyTracker

	scratch    []*endpoint // buffer that candidates reuses
	recentKeys keyCounter
	zones      zoneWeights
	kinds      machineKindWeights
}

// newSelector returns a selector with initial weights, which has counted no key yet.
func newSelector(env *environment, endpoints *endpointSet, subset *endpointSubset,
	eligibility *eligibility, slowStart *slowStart, latency *latencyTracker) selector {
	return selector{environment: env, endpoints: endpoints, subset: subset, eligibility: eligibility,
		slowStart: slowStart, latency: latency, recentKeys: newKeyCounter(),
		zones: newZoneWeights(), kinds: newMachineKindWeights()}
}

// selectEndpoint returns an endpoint of the best tier that has any to which the request may be sent:
// the first in the request's hash order that is below its load bound and has capacity. It returns nil
// if there is none in that tier. inFlight is the number of attempts that the agent has in flight.
func (s *selector) selectEndpoint(request *request, inFlight int) *endpoint {
	waits, subset := s.waitsForKey(request), s.subset.size()
	for tier := range tierCount {
		candidates, nearest := s.candidates(request, tier, subset, waits)
		if request.placement.tierWeight == 0 {
			continue // no endpoint in this tier
		}
		if waits && len(candidates) > keyEndpoints {
			request.placement.nearest, request.placement.epoch = nearest, s.endpoints.epoch
			candidates = nearest[:]
		}
		return s.best(candidates, request, inFlight)
	}
	return nil
}

// candidates scores the endpoints of a tier that the request may be sent to. It considers the first
// subset of them in the agent's own order, and further ones until one is scored. If the request does
// not wait for its key's endpoints, only those that have capacity are scored. candidates returns the
// scored endpoints, and the first keyEndpoints of these in the request's hash order (nearest). It
// sets the request's tierWeight.
func (s *selector) candidates(request *request, tier, subset int, waits bool) ([]*endpoint,
	[keyEndpoints]*endpoint) {
	scored, inTier, seen := s.scratch[:0], 0, 0
	var nearest [keyEndpoints]*endpoint
	request.placement.tierWeight = 0
	for _, endpoint := range s.endpoints.all {
		seen++
		if s.eligibility.tierOf(endpoint, request) != tier || !s.eligibility.maySend(request, endpoint) {
			continue
		}
		if inTier++; inTier > subset && len(scored) > 0 {
			break
		}
		request.placement.tierWeight += endpoint.weight * s.capacityFraction(endpoint)
		if !waits && !s.eligibility.hasCapacity(endpoint, request) {
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

// best returns the candidate with the lowest score that accepts the request, or nil.
func (s *selector) best(candidates []*endpoint, request *request, inFlight int) *endpoint {
	var best *endpoint
	for _, endpoint := range candidates {
		if (best == nil || endpoint.score < best.score) && s.accepts(endpoint, request, inFlight) {
			best = endpoint
		}
	}
	return best
}

// accepts reports whether the endpoint is below its load bound and has capacity. The bound is for the
// tier that candidates visited last for the request.
func (s *selector) accepts(endpoint *endpoint, request *request, inFlight int) bool {
	share := endpoint.weight * s.capacityFraction(endpoint) / request.placement.tierWeight
	maxLoad := math.Ceil(boundedLoadFactor * float64(inFlight+1) * share)
	return float64(endpoint.load()) < maxLoad && s.eligibility.hasCapacity(endpoint, request)
}

// waitsForKey reports whether the request still waits for the first endpoints in its key's order.
func (s *selector) waitsForKey(request *request) bool {
	timing := &request.timing
	return request.key != 0 && len(request.attempts.counted) == 0 &&
		s.now-timing.arrivedAt < keyAffinityWaitFraction*(timing.objectiveAt-timing.arrivedAt)
}

// keyEndpointsFull reports whether the request waits for the first endpoints in its key's order and
// none of them accepts it yet.
func (s *selector) keyEndpointsFull(request *request, inFlight int) bool {
	placement := &request.placement
	nearest := placement.nearest
	return s.waitsForKey(request) && nearest[0] != nil && placement.epoch == s.endpoints.epoch &&
		!s.accepts(nearest[0], request, inFlight) && !s.accepts(nearest[1], request, inFlight)
}

// score returns the endpoint's score for the request by weighted rendezvous hashing; the lowest
// score is the first in the hash order. All agents of a zone find the same order for a key, and an
// endpoint's share of the keys is in proportion to its weight.
func (s *selector) score(request *request, endpoint *endpoint) float64 {
	hash := splitmix64(request.hash ^ endpoint.hash)
	uniform := float64(hash>>11) / (1 << 53) // in [0, 1), from the 53 bits that a float64 holds exactly
	slowStartWeight := min(slowStartWeightFactor*s.slowStart.share(s.capacityFraction(endpoint)), 1)
	weight := endpoint.weight * s.kinds.weightOf(endpoint) * slowStartWeight
	weight *= s.recentWeight(endpoint)
	if endpoint.zone == s.settings.Zone {
		weight *= s.zones.weight
	}
	return -math.Log(uniform+1e-18) / weight // 1e-18 avoids the logarithm of 0
}

// recentWeight returns the factor by which an endpoint's weight is multiplied. It is below 1 for an
// endpoint that recently answered more slowly than the fleet, so that its queue can drain. Tiers
// ignore latency, and windows need many answers. With many agents, each of which sends to an
// endpoint only every few seconds, tiers and windows alone would leave an overloaded endpoint its
// even share.
func (s *selector) recentWeight(endpoint *endpoint) float64 {
	if s.latency.fleetRecent == 0 {
		return 1
	}
	slowness := s.latency.recentOf(endpoint) / (recentLatencyTolerance * s.latency.fleetRecent)
	if slowness <= 1 {
		return 1
	}
	return max(1/(slowness*slowness), minRecentWeight)
}

// hashOf returns the hash that orders the endpoints for a key, a random one without a key. A popular
// key is split into parts, each with its own order, and each request goes to a random part. Such a
// key may be a multiple of what its first endpoint can serve, and the load bound does not show this
// to an agent with one request in flight. With fewer agents per endpoint each agent sees more of
// the load, so that the load bound suffices and the key gets fewer parts.
func (s *selector) hashOf(key uint64) uint64 {
	if key == 0 {
		return s.rng.Uint64()
	}
	share := s.recentKeys.add(key) - 1.0/keyHistory // without the present request
	endpoints := float64(s.subset.size())
	// unseen is the fraction of the key's load for which the load bound does not suffice.
	unseen := min(float64(s.settings.Replicas)/max(boundedLoadFactor*endpoints, 1), 1)
	parts := max(share*keySplitFactor*endpoints*unseen, 1)
	// Part 0 has the hash order of the key itself. The factor, 2^64 over the golden ratio, gives each
	// other part a different one.
	return key + uint64(parts*s.rng.Float64())*0x9e3779b97f4a7c15
}

// observe updates the weights of zones and machine kinds with an answer time, as a fraction of the
// latency objective.
func (s *selector) observe(endpoint *endpoint, fraction float64) {
	s.zones.observe(endpoint.zone == s.settings.Zone, fraction, s.settings.Prices.CrossZone)
	if s.settings.Weights == "off" {
		s.kinds.observe(endpoint, fraction)
	}
}
