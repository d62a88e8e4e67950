// This file implements the set of listed endpoints.

package policy

import (
	"cmp"
	"slices"
)

// endpointSet holds the listed endpoints, and the subsets of them that are ejected or busy.
type endpointSet struct {
	*environment
	all     orderedEndpoints
	ejected orderedEndpoints // endpoints whose state is worse than StateUnknown
	busy    orderedEndpoints // endpoints with attempts in flight
	byAddr  map[Addr]*endpoint
	epoch   uint64 // incremented when a tier or the list changes
	ready   int    // number of endpoints listed as ready
}

// newEndpointSet returns an empty set.
func newEndpointSet(env *environment) endpointSet {
	return endpointSet{environment: env, byAddr: map[Addr]*endpoint{}}
}

// contains reports whether the endpoint is listed. It is false for an endpoint that was removed and
// whose address was listed again.
func (s *endpointSet) contains(endpoint *endpoint) bool { return s.byAddr[endpoint.id] == endpoint }

// add adds an endpoint to the list. Only the start of its process, in ms, is known.
func (s *endpointSet) add(addr Addr, startedAt float64) *endpoint {
	endpoint := &endpoint{id: addr, hash: splitmix64(packAddr(addr)),
		health: endpointHealth{state: StateUnknown, since: s.now},
		window: endpointWindow{size: initialWindow},
		slowStart: endpointSlowStart{startedAt: startedAt, listedStartAt: startedAt,
			allowance: s.rng.Float64()}}
	endpoint.sortKey = splitmix64(endpoint.hash ^ splitmix64(uint64(s.settings.Index)+1))
	s.byAddr[addr] = endpoint
	s.all.insert(endpoint)
	return endpoint
}

// startEpoch starts a new epoch, because the list is about to change.
func (s *endpointSet) startEpoch() { s.epoch++ }

// markUnlisted marks all endpoints as unusable that a whole list does not name.
func (s *endpointSet) markUnlisted(listed map[Addr]bool) {
	s.countWork(s.all)
	for _, endpoint := range s.all {
		endpoint.usable = endpoint.usable && listed[endpoint.id]
	}
}

// removeUnusable counts the ready endpoints. It removes the endpoints that are not usable, have no
// attempts in flight and no health check in progress, and calls onRemove for each of them.
func (s *endpointSet) removeUnusable(onRemove func(*endpoint)) {
	s.ready = 0
	s.countWork(s.all)
	s.all = slices.DeleteFunc(s.all, func(endpoint *endpoint) bool {
		if endpoint.usable {
			s.ready++
		}
		removable := !endpoint.usable && len(endpoint.traffic.inFlight) == 0 &&
			!endpoint.health.checkInProgress
		if removable {
			delete(s.byAddr, endpoint.id)
			s.ejected.remove(endpoint)
			s.busy.remove(endpoint)
			onRemove(endpoint)
		}
		return removable
	})
}

// attemptSent records an attempt that is sent to its endpoint.
func (s *endpointSet) attemptSent(sent *attempt) {
	sent.endpoint.traffic.attemptSent(sent)
	s.busy.insert(sent.endpoint)
}

// attemptEnded records that an attempt is no longer in flight.
func (s *endpointSet) attemptEnded(ended *attempt) {
	ended.endpoint.traffic.attemptEnded(ended)
	if len(ended.endpoint.traffic.inFlight) == 0 {
		s.busy.remove(ended.endpoint)
	}
}

// setEjected adds an endpoint to the ejected ones or removes it from them. Either changes the tiers.
// So does a change from one ejected state to another.
func (s *endpointSet) setEjected(endpoint *endpoint, ejected bool) {
	_, wasEjected := s.ejected.find(endpoint)
	if wasEjected || ejected {
		s.epoch++
	}
	switch {
	case ejected && !wasEjected:
		s.ejected.insert(endpoint)
	case wasEjected && !ejected:
		s.ejected.remove(endpoint)
	}
}

// orderedEndpoints is a set of endpoints, sorted by endpoint.sortKey.
type orderedEndpoints []*endpoint

// find returns the index at which an endpoint is or would be inserted, and whether it is there.
func (o orderedEndpoints) find(searched *endpoint) (index int, found bool) {
	return slices.BinarySearchFunc(o, searched, func(x, y *endpoint) int {
		return cmp.Compare(x.sortKey, y.sortKey)
	})
}

// insert adds an endpoint, unless the set contains it.
func (o *orderedEndpoints) insert(endpoint *endpoint) {
	if i, found := o.find(endpoint); !found {
		*o = slices.Insert(*o, i, endpoint)
	}
}

// remove removes an endpoint, if the set contains it.
func (o *orderedEndpoints) remove(endpoint *endpoint) {
	if i, found := o.find(endpoint); found {
		*o = slices.Delete(*o, i, i+1)
	}
}
