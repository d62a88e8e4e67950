package decisions

import (
	"math"
	"slices"

	"ploverreel/internal/fleet"
)

// Options are what is played; the command line of 'fleetbench decide' explains each field.
type Options struct {
	Size     fleet.Size
	Requests int // of a case, in each round
	Repeats  int // rounds; times are medians of them
}

// Bounds of the options, and the bytes that a play needs for each server listed.
const (
	maxRequests, maxRepeats = 1_000_000, 1000
	serverBytes             = 1500
)

// maxQueued is how many requests a balancer queues at most.
const maxQueued = 512

// series is a set of cases that differ in one parameter.
type series struct {
	name     string
	over     string // the parameter
	target   float64
	figures  []string // that are fitted over it
	unfitted int      // how many cases at the front have another load, and are left out of the fits
	plays    []*play
}

// Figures that lines are fitted through, by the names that results have.
var (
	callFigures = []string{"request", "outcome", "tick", "core", "call", "call alloc", "work"}
	listFigures = []string{"delta", "delta alloc", "whole list", "whole list alloc", "state"}
)

// Validate returns a *fleet.UsageError for the first option that is out of range or needs more memory
// than the machine has.
func (o Options) Validate() error {
	_, err := o.plan()
	return err
}

// plan validates the options and returns the series in the order in which they are played.
func (o Options) plan() ([]*series, error) {
	if err := o.Size.Validate(); err != nil {
		return nil, err
	}
	if o.Requests < 1 || o.Requests > maxRequests {
		return nil, fleet.NewUsageError("requests", "must be from 1 to %d, is %d", maxRequests, o.Requests)
	}
	if o.Repeats < 1 || o.Repeats > maxRepeats {
		return nil, fleet.NewUsageError("repeats", "must be from 1 to %d, is %d", maxRepeats, o.Repeats)
	}
	servers, lists := o.byServers()
	warming := o.byShare("cold", func(l *workload, share float64) { l.warming = share })
	unhealthy := o.byShare("unhealthy", func(l *workload, share float64) { l.unhealthy = share })
	all := []*series{servers, o.byQueued(), warming, unhealthy, o.byReplicas(), lists}
	total := 0
	for _, s := range all {
		for _, p := range s.plays {
			total += p.servers
		}
	}
	return all, fleet.CheckMemory("servers", float64(total)*serverBytes)
}

// byServers returns two series over the servers listed, in fleets of as many agents: of requests, and of
// changes of the list.
func (o Options) byServers() (requests, lists *series) {
	base := o.base()
	requests = &series{name: "servers", over: "servers", target: float64(base.servers), figures: callFigures}
	lists = &series{name: "lists", over: "servers", target: float64(base.servers), figures: listFigures}
	for _, n := range o.lengths() {
		l := base
		l.servers, l.replicas = n, max(int(math.Round(float64(base.replicas)*float64(n)/float64(base.servers))), 1)
		requests.plays = append(requests.plays, &play{workload: l, at: float64(n)})
		lists.plays = append(lists.plays, &play{workload: l, at: float64(n), lists: true})
	}
	return requests, lists
}

// byQueued returns the series over the requests queued. The first case, with none, has an easy load and is not fitted.
// Nor is the cost of a call: where requests are queued, most calls end unserved.
func (o Options) byQueued() *series {
	queued := &series{name: "held", over: "held", target: maxQueued, figures: callFigures[:4], unfitted: 1}
	for _, n := range []int{0, 8, 32, 64, 256, maxQueued} {
		l := o.base()
		l.queued = n
		queued.plays = append(queued.plays, &play{workload: l, at: float64(n)})
	}
	return queued
}

// byShare returns a series over the share of the servers that warm up or refuse connections, which set sets.
func (o Options) byShare(name string, set func(l *workload, share float64)) *series {
	s := &series{name: name, over: name}
	for _, share := range []float64{0, 0.1, 0.5} {
		l := o.base()
		set(&l, share)
		s.plays = append(s.plays, &play{workload: l, at: share})
	}
	return s
}

// byReplicas returns the series over the number of agents.
func (o Options) byReplicas() *series {
	base := o.base()
	replicas := &series{name: "replicas", over: "replicas", target: float64(base.replicas),
		figures: []string{"call", "work"}}
	for _, n := range sizes(base.replicas, 1, 100, 20, 4, 2, 1) {
		l := base
		l.replicas = n
		replicas.plays = append(replicas.plays, &play{workload: l, at: float64(n)})
	}
	return replicas
}

// base returns the workload of an agent of the whole fleet, with all its servers listed.
func (o Options) base() workload {
	return workload{servers: o.Size.Servers, replicas: o.Size.Agents, perAgent: o.Size.Rate / float64(o.Size.Agents),
		zones: o.Size.Zones, seed: o.Size.Seed}
}

// lengths returns those of the lists: of a service of mean size, and parts of the fleet.
func (o Options) lengths() []int {
	return sizes(o.Size.Servers, o.Size.Servers/o.Size.Services, 40, 10, 4, 2, 1)
}

// sizes returns the least one and the parts of the whole, ascending, each once.
func sizes(whole, least int, parts ...int) []int {
	list := []int{max(least, 1)}
	for _, part := range parts {
		list = append(list, max(whole/part, 1))
	}
	slices.Sort(list)
	return slices.Compact(list)
}
