// This file holds which part of the endpoints an agent sends to.

package policy

import "math"

// minSubset is the least number of endpoints an agent sends to, where so many are listed.
const minSubset = 16

// endpointSubset is the part of the endpoints that the agent sends to.
type endpointSubset struct {
	*environment
	endpoints *endpointSet
	traffic   *requestRate
}

// newEndpointSubset returns the subset of the endpoints for the traffic.
func newEndpointSubset(env *environment, endpoints *endpointSet, traffic *requestRate) endpointSubset {
	return endpointSubset{environment: env, endpoints: endpoints, traffic: traffic}
}

// size returns how many endpoints of a tier, in an order of its own, an agent sends to: those it can
// meet every few seconds. An agent that meets an endpoint more seldom opens a connection for each
// request and can't learn which are slow or hung. Orders differ, so each endpoint keeps its share;
// keys find theirs within. Where connections have no price, more endpoints keep more keys warm.
func (s *endpointSubset) size() int {
	size := s.traffic.recent
	if s.settings.Limits.KeepaliveMs <= 0 {
		size = math.Inf(1)
	} else if s.settings.Prices.Handshake > 0 {
		size /= 4
	}
	return int(min(max(size, minSubset), float64(len(s.endpoints.all))))
}

// meetMs returns the time in which the agent comes by each endpoint of the subset, in ms.
func (s *endpointSubset) meetMs() float64 {
	return s.settings.Limits.KeepaliveMs * float64(s.size()) / max(s.traffic.recent, 1)
}
