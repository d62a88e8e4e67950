// This file holds the set of listed endpoints.

package policy

import (
	"cmp"
	"slices"
)

// endpointSet holds the listed endpoints and those of them that need attention.
type endpointSet struct {
	*environment
	all     orderedEndpoints
	ejected orderedEndpoints // in a state after StateUnknown
	busy    orderedEndpoints // with attempts in flight
	byAddr  map[Addr]*endpoint
	epoch   uint64 // counts changes of tiers and of the list
	ready   int    // endpoints listed as ready
}

// newEndpointSet returns an empty set.
func newEndpointSet(env *environment) endpointSet {
	return endpointSet{environment: env, byAddr: map[Addr]*endpoint{}}
}

// contains reports whether the endpoint is listed; a process that was listed again under its address
// is another one.
func (s *endpointSet) contains(endpoint *endpoint) bool { return s.byAddr[endpoint.id] == endpoint }

// add takes an endpoint into the list of which nothing is known but when its process started, in
// ms.
func (s *endpointSet) add(addr Addr, startedAt float64) *endpoint {
	endpoint := &endpoint{id: addr, hash: splitmix64(packAddr(addr)),
		health:    endpointHealth{state: StateUnknown, since: s.now},
		window:    endpointWindow{size: initialWindow},
		slowStart: endpointSlowStart{startedAt: startedAt, listedAt: startedAt, allowance: s.rng.Float64()}}
	endpoint.order = splitmix64(endpoint.hash ^ splitmix64(uint64(s.settings.Index)+1))
	s.byAddr[addr] = endpoint
	s.all.insert(endpoint)
	return endpoint
}

// listChanged notes that the list is about to change.
func (s *endpointSet) listChanged() { s.epoch++ }

// keepListed takes all endpoints that a whole list doesn't name for not usable.
func (s *endpointSet) keepListed(listed map[Addr]bool) {
	s.countWork(s.all)
	for _, endpoint := range s.all {
		endpoint.usable = endpoint.usable && listed[endpoint.id]
	}
}

// removeGone counts the ready endpoints and drops those that are no longer listed and have
// nothing in flight; forgotten is called for each.
func (s *endpointSet) removeGone(forgotten func(*endpoint)) {
	s.ready = 0
	s.countWork(s.all)
	s.all = slices.DeleteFunc(s.all, func(endpoint *endpoint) bool {
		if endpoint.usable {
			s.ready++
		}
		gone := !endpoint.usable && len(endpoint.traffic.inFlight) == 0 && !endpoint.health.checking
		if gone {
			delete(s.byAddr, endpoint.id)
			s.ejected.remove(endpoint)
			s.busy.remove(endpoint)
			forgotten(endpoint)
		}
		return gone
	})
}

// attemptSent notes an attempt that is sent to its endpoint.
func (s *endpointSet) attemptSent(sent *attempt) {
	sent.endpoint.traffic.send(sent)
	s.busy.insert(sent.endpoint)
}

// attemptEnded notes that an attempt is no longer in flight.
func (s *endpointSet) attemptEnded(ended *attempt) {
	ended.endpoint.traffic.remove(ended)
	if len(ended.endpoint.traffic.inFlight) == 0 {
		s.busy.remove(ended.endpoint)
	}
}

// setEjected moves an endpoint among the ejected ones or from them; tiers change with that, and from
// one state of an ejected endpoint to another.
func (s *endpointSet) setEjected(endpoint *endpoint, ejected bool) {
	_, was := s.ejected.find(endpoint)
	if was || ejected {
		s.epoch++
	}
	switch {
	case ejected && !was:
		s.ejected.insert(endpoint)
	case was && !ejected:
		s.ejected.remove(endpoint)
	}
}

// orderedEndpoints is a set of endpoints in the agent's own order.
type orderedEndpoints []*endpoint

// find returns the index at which an endpoint is or belongs, and whether it is there.
func (o orderedEndpoints) find(searched *endpoint) (index int, found bool) {
	return slices.BinarySearchFunc(o, searched, func(x, y *endpoint) int {
		return cmp.Compare(x.order, y.order)
	})
}

// insert adds an endpoint that is not in the set yet.
func (o *orderedEndpoints) insert(endpoint *endpoint) {
	if i, found := o.find(endpoint); !found {
		*o = slices.Insert(*o, i, endpoint)
	}
}

// remove takes out an endpoint that is in the set.
func (o *orderedEndpoints) remove(endpoint *endpoint) {
	if i, found := o.find(endpoint); found {
		*o = slices.Delete(*o, i, i+1)
	}
}
