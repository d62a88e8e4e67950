// This file holds the choice among eligible endpoints: rendezvous hashing with bounded load.

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
	// popularKeyParts is into how many parts a key is split that alone would be an endpoint's even
	// share: it is not alone there.
	popularKeyParts = 4.0
	// recentSlack is how much slower than the fleet an endpoint may seem by chance,
	// minRecentWeight what the slowest keeps of its weight.
	recentSlack, minRecentWeight = 1.1, 0.02
	// slowStartWeightFactor is how many times its share one that is warming up weighs in a key's
	// order, up to 1: its allowance limits it.
	slowStartWeightFactor = 4
)

// selector chooses the endpoint of a request.
type selector struct {
	*environment
	endpoints *endpointSet
	subset    *endpointSubset
	eligible  *eligibility
	slowStart *slowStart
	latency   *latencyTracker

	scratch    []*endpoint // of candidates
	recentKeys keyCounter
	zones      zoneWeights
	kinds      machineKindWeights
}

// newSelector returns a selector that has learnt nothing and asks the components given.
func newSelector(env *environment, endpoints *endpointSet, subset *endpointSubset,
	eligible *eligibility, slowStart *slowStart, latency *latencyTracker) selector {
	return selector{environment: env, endpoints: endpoints, subset: subset, eligible: eligible,
		slowStart: slowStart, latency: latency, recentKeys: newKeyCounter(),
		zones: newZoneWeights(), kinds: newMachineKindWeights()}
}

// selectEndpoint returns the first endpoint of the best tier that has any, in the order of the
// request's hash, that is under its load bound and has capacity; nil if there is none. inFlight is how
// many attempts the agent has in flight.
func (s *selector) selectEndpoint(request *request, inFlight int) *endpoint {
	waits, subset := s.waitsForKey(request), s.subset.size()
	for tier := range tierCount {
		candidates, nearest := s.candidates(request, tier, subset, waits)
		if request.placement.tierWeight == 0 {
			continue // an empty tier passes down
		}
		if waits && len(candidates) > keyEndpoints {
			request.placement.nearest, request.placement.epoch = nearest, s.endpoints.epoch
			candidates = nearest[:]
		}
		return s.best(candidates, request, inFlight)
	}
	return nil
}

// candidates scores the endpoints of a tier that the request may be sent to, up to subset of them,
// and returns them and those nearest its key. Where the request doesn't wait only those that have
// capacity are scored. It sets the request's tierWeight.
func (s *selector) candidates(request *request, tier, subset int, waits bool) ([]*endpoint,
	[keyEndpoints]*endpoint) {
	scored, inTier, seen := s.scratch[:0], 0, 0
	var nearest [keyEndpoints]*endpoint
	request.placement.tierWeight = 0
	for _, endpoint := range s.endpoints.all {
		seen++
		if s.eligible.tierOf(endpoint, request) != tier || !s.eligible.maySend(request, endpoint) {
			continue
		}
		if inTier++; inTier > subset && len(scored) > 0 {
			break
		}
		request.placement.tierWeight += endpoint.weight * s.capacityFraction(endpoint)
		if !waits && !s.eligible.hasCapacity(endpoint, request) {
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

// accepts reports whether the endpoint is under its load bound in the tier of the request's last
// selection and has capacity.
func (s *selector) accepts(endpoint *endpoint, request *request, inFlight int) bool {
	share := endpoint.weight * s.capacityFraction(endpoint) / request.placement.tierWeight
	most := math.Ceil(boundedLoadFactor * float64(inFlight+1) * share)
	return float64(endpoint.load()) < most && s.eligible.hasCapacity(endpoint, request)
}

// waitsForKey reports whether the request still waits for the endpoints nearest its key.
func (s *selector) waitsForKey(request *request) bool {
	timing := &request.timing
	return request.key != 0 && len(request.attempts.counted) == 0 &&
		s.now-timing.arrivedAt < keyAffinityWait*(timing.objectiveAt-timing.arrivedAt)
}

// keyEndpointsFull reports whether the request waits for the endpoints nearest its key and none of
// them accepts it yet.
func (s *selector) keyEndpointsFull(request *request, inFlight int) bool {
	placement := &request.placement
	nearest := placement.nearest
	return s.waitsForKey(request) && nearest[0] != nil && placement.epoch == s.endpoints.epoch &&
		!s.accepts(nearest[0], request, inFlight) && !s.accepts(nearest[1], request, inFlight)
}

// score returns what orders endpoints by weighted rendezvous hashing: every agent of a zone finds
// the same order for a key, and an endpoint's share of keys is that of its weight.
func (s *selector) score(request *request, endpoint *endpoint) float64 {
	hash := splitmix64(request.hash ^ endpoint.hash)
	uniform := float64(hash>>11) / (1 << 53)
	warmth := min(slowStartWeightFactor*s.slowStart.share(s.capacityFraction(endpoint)), 1)
	weight := endpoint.weight * s.kinds.of(endpoint) * warmth
	weight *= s.recentWeight(endpoint)
	if endpoint.zone == s.settings.Zone {
		weight *= s.zones.weight
	}
	return -math.Log(uniform+1e-18) / weight
}

// recentWeight returns what an endpoint keeps of its weight: one that answers later than the fleet
// gets less, so that its queue can drain. Tiers ignore latency, and windows need many answers:
// where agents are many and each meets an endpoint every few seconds, these alone would not
// take an overloaded endpoint's even share from it.
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

// hashOf returns the hash of a key that orders the endpoints for it. A popular key is split into parts,
// each with its own order: it may be many times what its endpoint can do, and with one request in
// flight the load bound sees nothing of that. The fewer agents share an endpoint, the more each
// sees, and the load bound holds it.
func (s *selector) hashOf(key uint64) uint64 {
	if key == 0 {
		return s.rng.Uint64()
	}
	share := s.recentKeys.add(key) - 1.0/keyHistory
	endpoints := float64(s.subset.size())
	unseen := min(float64(s.settings.Replicas)/max(boundedLoadFactor*endpoints, 1), 1)
	parts := max(share*popularKeyParts*endpoints*unseen, 1)
	return key + uint64(parts*s.rng.Float64())*0x9e3779b97f4a7c15 // part 0 keeps the key's own order
}

// observe takes an answer time, as a part of the objective, into the weights of zones and machine
// kinds.
func (s *selector) observe(endpoint *endpoint, fraction float64) {
	s.zones.observe(endpoint.zone == s.settings.Zone, fraction, s.settings.Prices.CrossZone)
	if s.settings.Weights == "off" {
		s.kinds.observe(endpoint, fraction)
	}
}
