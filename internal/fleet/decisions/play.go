package decisions

import (
	"context"
	"fmt"

	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

const (
	warmRounds   = 6   // before those that are measured
	byteRequests = 100 // requests of a round whose bytes are measured: each reading stops the world
	// Changes of the list in a round.
	replacements, wholeLists = 20, 3
)

// play is one case.
type play struct {
	workload
	at     float64 // the value of the series' parameter
	lists  bool    // list changes are measured, not requests
	player *player
	state  float64 // bytes
	rounds [][]fleet.Figure
}

// start begins the play and goes on until its balancer has used its servers.
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
	p.player.counts = requestCounts{} // their memory is not the balancer's
	p.state = inUse() - before
	return nil
}

// round measures once, first times and then bytes.
func (p *play) round(o Options, readNs float64) {
	var c fleet.Case
	if p.lists {
		p.measureLists(&c, readNs)
	} else {
		p.measureTimes(&c, o.Requests, readNs)
		p.measureBytes(&c, min(o.Requests, byteRequests))
	}
	p.rounds = append(p.rounds, c.Figures)
}

// measureLists adds what changes of the list cost.
func (p *play) measureLists(c *fleet.Case, readNs float64) {
	m := p.player.meter
	m.begin(timing, readNs, p.player.balancer)
	p.changeLists()
	c.Add("delta", "us", m.us(delta))
	c.Add("whole list", "us", m.us(wholeList))
	m.begin(counting, 0, p.player.balancer)
	p.changeLists()
	c.Add("delta alloc", "bytes", m.bytes(delta))
	c.Add("whole list alloc", "bytes", m.bytes(wholeList))
}

// measureTimes adds the processor time of so many requests, and what became of them.
func (p *play) measureTimes(c *fleet.Case, requests int, readNs float64) {
	m, n := p.player.meter, float64(requests)
	p.player.counts = requestCounts{}
	m.begin(timing, readNs, p.player.balancer)
	from := p.player.now
	p.player.advance(requests)
	c.Add("request", "us", m.us(newRequest))
	c.Add("outcome", "us", m.us(outcome))
	c.Add("tick", "us", m.us(timerFired))
	ns := m.perKind[newRequest].ns + m.perKind[outcome].ns + m.perKind[timerFired].ns
	c.Add("call", "us", ns/1000/n)
	c.Add("core", "share", ns/1e6/max(p.player.now-from, 1))
	c.Add("work", "count", float64(p.player.balancer.Work()-m.workBefore)/n)
	c.Add("attempts", "count", float64(p.player.counts.attempts)/n)
	c.Add("refused", "share", float64(p.player.counts.rejected)/n)
}

// measureBytes adds the bytes that so many requests allocate.
func (p *play) measureBytes(c *fleet.Case, requests int) {
	m := p.player.meter
	m.begin(counting, 0, p.player.balancer)
	p.player.advance(requests)
	c.Add("request alloc", "bytes", m.bytes(newRequest))
	c.Add("outcome alloc", "bytes", m.bytes(outcome))
	c.Add("tick alloc", "bytes", m.bytes(timerFired))
	c.Add("call alloc", "bytes", (m.perKind[newRequest].bytes+m.perKind[outcome].bytes+m.perKind[timerFired].bytes)/float64(requests))
}

// changeLists replaces servers one by one, and then passes the whole list on a few times.
func (p *play) changeLists() {
	for range replacements {
		p.player.replace()
	}
	for range wholeLists {
		p.player.list(policy.ListFull, p.player.entries, wholeList)
	}
}

// result returns the case with the medians of its rounds.
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
