// This file holds the subset of the endpoints that an agent sends to.

package policy

import "math"

// minSubset is the smallest number of endpoints that an agent sends to, unless fewer are listed.
const minSubset = 16

// requestsPerConnection divides the recent request count if new connections have a price: each
// endpoint of the subset is then sent several requests in the time for which it is kept connected.
const requestsPerConnection = 4

// endpointSubset determines the size of the subset of endpoints that the agent sends to.
type endpointSubset struct {
	*environment
	endpoints   *endpointSet
	requestRate *requestRate
}

// newEndpointSubset returns a subset of the endpoints whose size follows the traffic.
func newEndpointSubset(env *environment, endpoints *endpointSet, requestRate *requestRate) endpointSubset {
	return endpointSubset{environment: env, endpoints: endpoints, requestRate: requestRate}
}

// size returns the number of endpoints of a tier that an agent sends to. They are the first ones in
// an order of its own, as many as it can send to every few seconds. An agent that sends to an
// endpoint less often opens a connection for each request and can't detect which endpoints are slow
// or hung. The agents' orders differ, so that each endpoint still gets its share. The hash order of
// a key applies within the subset. If connections have no price, the subset is larger, so that more
// keys stay warm.
func (s *endpointSubset) size() int {
	size := s.requestRate.recentCount
	if s.settings.Limits.KeepaliveMs <= 0 {
		size = math.Inf(1)
	} else if s.settings.Prices.Handshake > 0 {
		size /= requestsPerConnection
	}
	return int(min(max(size, minSubset), float64(len(s.endpoints.all))))
}

// revisitIntervalMs returns the mean time between two requests of this agent at the same endpoint of
// the subset, in ms.
func (s *endpointSubset) revisitIntervalMs() float64 {
	return s.settings.Limits.KeepaliveMs * float64(s.size()) / max(s.requestRate.recentCount, 1)
}
