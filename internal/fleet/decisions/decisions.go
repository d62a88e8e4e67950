// Package decisions measures the decision module alone: one balancer is driven through virtual
// time, and what each kind of event costs it is taken down, against the number of servers
// listed, requests queued, the shares of cold and of unhealthy servers and the number of agents.
package decisions

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"runtime"
	"slices"

	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

// Options say how much is played; the command line of 'fleetbench decide' explains each field.
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

const (
	warmRounds   = 6   // before those that are measured
	limitRounds  = 14  // of the cases of the limit, which are played once
	byteRequests = 100 // requests of a round whose bytes are taken: each reading stops the world
	// What is done in a round to the list.
	replacements, wholeLists = 20, 3
)

// maxQueued is how many requests a balancer queues at most.
const maxQueued = 512

// series is a set of cases that differ in one parameter.
type series struct {
	name    string
	over    string // the parameter
	target  float64
	figures []string // that are fitted over it
	apart   int      // how many cases at the front are of another kind, and not fitted
	plays   []*play
}

// play is one case.
type play struct {
	workload
	at     float64 // the value of the series' parameter
	lists  bool    // list changes are measured, not requests
	player *player
	state  float64 // bytes
	rounds [][]fleet.Figure
}

var (
	callFigures = []string{"request", "outcome", "tick", "core", "call", "call alloc", "work"}
	listFigures = []string{"delta", "delta alloc", "whole list", "whole list alloc", "state"}
)

// Run plays all cases and adds them, with the lines fitted through them, to the result. Times are
// processor time of the calling goroutine's thread, which it locks meanwhile. It returns an error for
// invalid options, where the thread's clock can't be read, or when the context ends.
func Run(ctx context.Context, log *slog.Logger, o Options, r *fleet.Result) error {
	all, err := o.plan()
	if err != nil {
		return err
	}
	// Times are the thread's: nothing else may run on it, and the play not on another.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	readNs, err := clockCost()
	if err != nil {
		return err
	}
	for _, s := range all {
		for _, p := range s.plays {
			if err := p.start(ctx, o); err != nil {
				return err
			}
		}
		log.Info("ready", "series", s.name, "cases", len(s.plays))
	}
	// Every round has all cases: what slows the machine for a while slows them alike.
	for round := range o.Repeats {
		for _, s := range all {
			for _, p := range s.plays {
				if err := ctx.Err(); err != nil {
					return fmt.Errorf("decide: interrupted: %w", err)
				}
				p.round(o, readNs)
			}
		}
		log.Info("measured", "round", round+1, "of", o.Repeats)
	}
	for _, s := range all {
		var cases []fleet.Case
		for _, p := range s.plays {
			cases = append(cases, p.result(s))
		}
		r.Cases = append(r.Cases, cases...)
		for _, figure := range s.figures {
			f, err := fleet.FitLine(cases[s.apart:], figure, s.over, s.target)
			if err != nil {
				r.Notes = append(r.Notes, err.Error())
				continue
			}
			r.Fits = append(r.Fits, f)
		}
	}
	limit, err := o.limit(ctx)
	if err != nil {
		return err
	}
	r.Cases = append(r.Cases, limit...)
	log.Info("played the limit on attempts", "cases", len(limit))
	return nil
}

// Validate returns a *fleet.UsageError for the first option that is out of range or needs more memory
// than the machine has.
func (o Options) Validate() error {
	_, err := o.plan()
	return err
}

// plan validates the options and lists the series.
func (o Options) plan() ([]*series, error) {
	if err := o.Size.Validate(); err != nil {
		return nil, err
	}
	if o.Requests < 1 || o.Requests > maxRequests {
		return nil, fleet.Usage("requests", "must be from 1 to %d, is %d", maxRequests, o.Requests)
	}
	if o.Repeats < 1 || o.Repeats > maxRepeats {
		return nil, fleet.Usage("repeats", "must be from 1 to %d, is %d", maxRepeats, o.Repeats)
	}
	base := o.base()
	lists := &series{name: "lists", over: "servers", target: float64(base.servers), figures: listFigures}
	servers := &series{name: "servers", over: "servers", target: float64(base.servers), figures: callFigures}
	for _, n := range o.lengths() {
		l := base
		l.servers, l.replicas = n, max(int(math.Round(float64(base.replicas)*float64(n)/float64(base.servers))), 1)
		servers.plays = append(servers.plays, &play{workload: l, at: float64(n)})
		lists.plays = append(lists.plays, &play{workload: l, at: float64(n), lists: true})
	}
	// Where nothing is queued the load is another. What a call costs there says little: most end
	// unserved.
	queued := &series{name: "held", over: "held", target: maxQueued, figures: callFigures[:4], apart: 1}
	for _, n := range []int{0, 8, 32, 64, 256, maxQueued} {
		l := base
		l.queued = n
		queued.plays = append(queued.plays, &play{workload: l, at: float64(n)})
	}
	cold := &series{name: "cold", over: "cold"}
	unhealthy := &series{name: "unhealthy", over: "unhealthy"}
	for _, share := range []float64{0, 0.1, 0.5} {
		l := base
		l.cold = share
		cold.plays = append(cold.plays, &play{workload: l, at: share})
		l = base
		l.unhealthy = share
		unhealthy.plays = append(unhealthy.plays, &play{workload: l, at: share})
	}
	replicas := &series{name: "replicas", over: "replicas", target: float64(base.replicas),
		figures: []string{"call", "work"}}
	for _, n := range sizes(base.replicas, 1, 100, 20, 4, 2, 1) {
		l := base
		l.replicas = n
		replicas.plays = append(replicas.plays, &play{workload: l, at: float64(n)})
	}
	all := []*series{servers, queued, cold, unhealthy, replicas, lists}
	total := 0
	for _, s := range all {
		for _, p := range s.plays {
			total += p.servers
		}
	}
	return all, fleet.CheckMemory("servers", float64(total)*serverBytes)
}

// base is an agent of the whole fleet, with all its servers listed.
func (o Options) base() workload {
	return workload{servers: o.Size.Servers, replicas: o.Size.Agents, perAgent: o.Size.Rate / float64(o.Size.Agents),
		zones: o.Size.Zones, seed: o.Size.Seed}
}

// lengths are those of the lists: of a service of middle size, and parts of the fleet.
func (o Options) lengths() []int {
	return sizes(o.Size.Servers, o.Size.Servers/o.Size.Services, 40, 10, 4, 2, 1)
}

// sizes are the least one and the parts of the whole, ascending, each once.
func sizes(whole, least int, parts ...int) []int {
	list := []int{max(least, 1)}
	for _, part := range parts {
		list = append(list, max(whole/part, 1))
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// start begins the play and goes on until its balancer has met its servers.
func (p *play) start(ctx context.Context, o Options) error {
	before := inUse()
	var err error
	if p.player, err = newPlayer(p.workload); err != nil {
		return err
	}
	for range warmRounds {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("decide: interrupted: %w", err)
		}
		p.player.advance(o.Requests)
	}
	p.player.counts = requestCounts{} // not the balancer's
	p.state = inUse() - before
	return nil
}

// round measures once, first times and then bytes.
func (p *play) round(o Options, readNs float64) {
	m := p.player.meter
	var c fleet.Case
	if p.lists {
		m.begin(timing, readNs, p.player.balancer)
		p.changeLists()
		c.Add("delta", "us", m.us(delta))
		c.Add("whole list", "us", m.us(wholeList))
		m.begin(counting, 0, p.player.balancer)
		p.changeLists()
		c.Add("delta alloc", "bytes", m.bytes(delta))
		c.Add("whole list alloc", "bytes", m.bytes(wholeList))
		p.rounds = append(p.rounds, c.Figures)
		return
	}
	n := float64(o.Requests)
	p.player.counts = requestCounts{}
	m.begin(timing, readNs, p.player.balancer)
	from := p.player.now
	p.player.advance(o.Requests)
	c.Add("request", "us", m.us(newRequest))
	c.Add("outcome", "us", m.us(outcome))
	c.Add("tick", "us", m.us(tick))
	ns := m.perKind[newRequest].ns + m.perKind[outcome].ns + m.perKind[tick].ns
	c.Add("call", "us", ns/1000/n)
	c.Add("core", "share", ns/1e6/max(p.player.now-from, 1))
	c.Add("work", "count", float64(p.player.balancer.Work()-m.workBefore)/n)
	c.Add("attempts", "count", float64(p.player.counts.attempts)/n)
	c.Add("refused", "share", float64(p.player.counts.refused)/n)
	part := min(o.Requests, byteRequests)
	m.begin(counting, 0, p.player.balancer)
	p.player.advance(part)
	c.Add("request alloc", "bytes", m.bytes(newRequest))
	c.Add("outcome alloc", "bytes", m.bytes(outcome))
	c.Add("tick alloc", "bytes", m.bytes(tick))
	c.Add("call alloc", "bytes", (m.perKind[newRequest].bytes+m.perKind[outcome].bytes+m.perKind[tick].bytes)/float64(part))
	p.rounds = append(p.rounds, c.Figures)
}

// changeLists replaces servers one by one and then hands over the whole list a few times.
func (p *play) changeLists() {
	for range replacements {
		p.player.replace()
	}
	for range wholeLists {
		p.player.list(policy.ListFull, p.player.entries, wholeList)
	}
}

// result is the case with the medians of its rounds.
func (p *play) result(s *series) fleet.Case {
	c := fleet.Case{Name: fmt.Sprintf("%s %v", s.name, p.at), Params: p.params()}
	for i, f := range p.rounds[0] {
		var values []float64
		for _, round := range p.rounds {
			values = append(values, round[i].Value)
		}
		c.Add(f.Name, f.Unit, median(values))
	}
	if p.lists {
		c.Add("state", "bytes", p.state)
	}
	return c
}

func (l workload) params() map[string]float64 {
	return map[string]float64{"servers": float64(l.servers), "replicas": float64(l.replicas),
		"held": float64(l.queued), "cold": l.cold, "unhealthy": l.unhealthy}
}

// limit plays agents of the whole fleet that have only a part of its servers listed, as those
// of a service: how many requests their part of the fleet's attempts lets through. All its
// figures are of virtual time.
func (o Options) limit(ctx context.Context) ([]fleet.Case, error) {
	var cases []fleet.Case
	service := o.Size.Servers / o.Size.Services
	lengths := []int{service, min(5*service, o.Size.Servers), max(o.Size.Servers/10, 1)}
	slices.Sort(lengths)
	for _, n := range slices.Compact(lengths) {
		l := o.base()
		l.servers = n
		p, err := newPlayer(l)
		if err != nil {
			return nil, err
		}
		var first requestCounts
		for round := range warmRounds + limitRounds {
			if err := ctx.Err(); err != nil {
				return nil, fmt.Errorf("decide: interrupted: %w", err)
			}
			if round == warmRounds {
				first, p.counts = p.counts, requestCounts{}
			}
			p.advance(o.Requests)
		}
		c := fleet.Case{Name: fmt.Sprintf("limit %d", n), Params: l.params()}
		counts := &p.counts
		slices.Sort(counts.waits)
		requests := float64(counts.requests)
		c.Add("refused first", "share", float64(first.refused)/float64(first.requests))
		c.Add("requests", "count", requests)
		c.Add("refused", "share", float64(counts.refused)/requests)
		c.Add("attempts", "count", float64(counts.attempts)/requests)
		c.Add("wait p50", "ms", quantile(counts.waits, 0.5))
		c.Add("wait p99", "ms", quantile(counts.waits, 0.99))
		cases = append(cases, c)
	}
	return cases, nil
}

// quantile is the value of sorted ones below which the share q lies.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
