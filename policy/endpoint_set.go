// This file holds the list of endpoints and how it changes.

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

// newEndpointSet gives an empty set.
func newEndpointSet(env *environment) endpointSet {
	return endpointSet{environment: env, byAddr: map[Addr]*endpoint{}}
}

// add takes an endpoint into the list of which nothing is known but when its process started, in
// ms.
func (s *endpointSet) add(addr Addr, startedAt float64) *endpoint {
	endpoint := &endpoint{id: addr, hash: mix(hashAddr(addr)),
		health:    endpointHealth{state: StateUnknown, since: s.now},
		window:    endpointWindow{size: initialWindow},
		slowStart: endpointSlowStart{startedAt: startedAt, listedAt: startedAt, allowance: s.rng.Float64()}}
	endpoint.order = mix(endpoint.hash ^ mix(uint64(s.set.Index)+1))
	s.byAddr[addr] = endpoint
	s.all.insert(endpoint)
	return endpoint
}

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

// orderedEndpoints is a set of endpoints in the agent's own order.
type orderedEndpoints []*endpoint

// find gives the index at which an endpoint is or belongs, and whether it is there.
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
