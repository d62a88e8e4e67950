package decisions

import (
	"math"
	"slices"

	"ploverreel/internal/fleet"
)

// Options describe a run. The flags of 'fleetbench decide' explain each field.
type Options struct {
	Size     fleet.Size
	Requests int // requests of a case in each round
	Repeats  int // measured rounds; each figure is their median
}

const (
	// maxRequests and maxRepeats are upper bounds of the options.
	maxRequests, maxRepeats = 1_000_000, 1000
	// bytesPerListedServer is the memory that a case needs for each listed server.
	bytesPerListedServer = 1500
)

// maxQueued is the maximum number of requests that a balancer queues.
const maxQueued = 512

// series is a set of cases that differ in one parameter.
type series struct {
	name          string
	param         string   // name of the parameter
	target        float64  // value of the parameter that the fitted lines predict figures for
	fittedFigures []string // figures that lines over the parameter are fitted to
	unfittedCases int      // number of first cases that the fits leave out, as their load is of another kind
	cases         []*benchCase
}

// Names of the figures that lines are fitted to.
var (
	callFigures = []string{"request", "outcome", "tick", "core", "call", "call alloc", "work"}
	listFigures = []string{"delta", "delta alloc", "whole list", "whole list alloc", "state"}
)

// Validate returns a *fleet.UsageError for the first option that is out of range, or if the cases
// need too much of the machine's memory.
func (o Options) Validate() error {
	_, err := o.allSeries()
	return err
}

// allSeries validates the options and returns the series in the order in which they run.
func (o Options) allSeries() ([]*series, error) {
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
	warming := o.byShare("cold", func(w *workload, share float64) { w.warmingShare = share })
	unhealthy := o.byShare("unhealthy", func(w *workload, share float64) { w.refusingShare = share })
	all := []*series{servers, o.byQueued(), warming, unhealthy, o.byReplicas(), lists}
	totalServers := 0
	for _, s := range all {
		for _, b := range s.cases {
			totalServers += b.servers
		}
	}
	return all, fleet.CheckMemory("servers", float64(totalServers)*bytesPerListedServer)
}

// byServers returns two series over the number of listed servers. One measures requests, the other
// changes of the endpoint list. The number of agents changes in proportion to the number of
// servers.
func (o Options) byServers() (requests, lists *series) {
	base := o.baseWorkload()
	requests = &series{name: "servers", param: "servers", target: float64(base.servers), fittedFigures: callFigures}
	lists = &series{name: "lists", param: "servers", target: float64(base.servers), fittedFigures: listFigures}
	for _, listed := range o.listLengths() {
		w := base
		w.servers, w.replicas = listed, max(int(math.Round(float64(base.replicas)*float64(listed)/float64(base.servers))), 1)
		requests.cases = append(requests.cases, &benchCase{workload: w, paramValue: float64(listed)})
		lists.cases = append(lists.cases, &benchCase{workload: w, paramValue: float64(listed), measuresLists: true})
	}
	return requests, lists
}

// byQueued returns the series over the number of queued requests. The first case has none: its load
// is uncongested, and it is left out of the fits. No line is fitted to the cost of a call, because
// most calls end unserved if requests are queued.
func (o Options) byQueued() *series {
	queued := &series{name: "held", param: "held", target: maxQueued, fittedFigures: callFigures[:4], unfittedCases: 1}
	for _, n := range []int{0, 8, 32, 64, 256, maxQueued} {
		w := o.baseWorkload()
		w.queued = n
		queued.cases = append(queued.cases, &benchCase{workload: w, paramValue: float64(n)})
	}
	return queued
}

// byShare returns a series over the share of servers that warm up or that refuse connections. set
// sets that share in a workload.
func (o Options) byShare(name string, set func(w *workload, share float64)) *series {
	s := &series{name: name, param: name}
	for _, share := range []float64{0, 0.1, 0.5} {
		w := o.baseWorkload()
		set(&w, share)
		s.cases = append(s.cases, &benchCase{workload: w, paramValue: share})
	}
	return s
}

// byReplicas returns the series over the number of agents.
func (o Options) byReplicas() *series {
	base := o.baseWorkload()
	replicas := &series{name: "replicas", param: "replicas", target: float64(base.replicas),
		fittedFigures: []string{"call", "work"}}
	for _, n := range fractions(base.replicas, 1, 100, 20, 4, 2, 1) {
		w := base
		w.replicas = n
		replicas.cases = append(replicas.cases, &benchCase{workload: w, paramValue: float64(n)})
	}
	return replicas
}

// baseWorkload returns the workload of an agent of the whole fleet that lists all servers.
func (o Options) baseWorkload() workload {
	return workload{servers: o.Size.Servers, replicas: o.Size.Agents, ratePerAgent: o.Size.Rate / float64(o.Size.Agents),
		zones: o.Size.Zones, seed: o.Size.Seed}
}

// listLengths returns the numbers of listed servers: those of a service of mean size, and fractions
// of the fleet.
func (o Options) listLengths() []int {
	return fractions(o.Size.Servers, o.Size.Servers/o.Size.Services, 40, 10, 4, 2, 1)
}

// fractions returns least and the whole divided by each of parts, without duplicates and in
// ascending order. All values are 1 or more.
func fractions(whole, least int, parts ...int) []int {
	list := []int{max(least, 1)}
	for _, part := range parts {
		list = append(list, max(whole/part, 1))
	}
	slices.Sort(list)
	return slices.Compact(list)
}
