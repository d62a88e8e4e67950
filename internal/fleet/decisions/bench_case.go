package decisions

import (
	"context"
	"fmt"

	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

const (
	warmupRounds     = 6   // before those that are measured
	maxAllocRequests = 100 // requests of a round whose bytes are measured: each reading stops the world
	// Changes of the list in a round.
	replacementsPerRound, wholeListsPerRound = 20, 3
)

// benchCase is one case.
type benchCase struct {
	workload
	paramValue    float64 // the value of the series' parameter
	measuresLists bool    // list changes are measured, not requests
	driver        *driver
	stateBytes    float64 // bytes
	roundFigures  [][]fleet.Figure
}

// start begins the play and goes on until its balancer has used its servers.
func (b *benchCase) start(ctx context.Context, o Options) error {
	bytesBefore := heapBytesInUse()
	var err error
	if b.driver, err = newDriver(b.workload); err != nil {
		return err
	}
	for range warmupRounds {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("decide: interrupted: %w", err)
		}
		b.driver.advance(o.Requests)
	}
	b.driver.counts = requestCounts{} // their memory is not the balancer's
	b.stateBytes = heapBytesInUse() - bytesBefore
	return nil
}

// measureRound measures once, first times and then bytes.
func (b *benchCase) measureRound(o Options, clockReadNs float64) {
	var c fleet.Case
	if b.measuresLists {
		b.measureListChanges(&c, clockReadNs)
	} else {
		b.measureTimes(&c, o.Requests, clockReadNs)
		b.measureAllocations(&c, min(o.Requests, maxAllocRequests))
	}
	b.roundFigures = append(b.roundFigures, c.Figures)
}

// measureListChanges adds what changes of the list cost.
func (b *benchCase) measureListChanges(c *fleet.Case, clockReadNs float64) {
	m := b.driver.meter
	m.reset(measureTime, clockReadNs, b.driver.balancer)
	b.applyListChanges()
	c.Add("delta", "us", m.meanUs(listDelta))
	c.Add("whole list", "us", m.meanUs(wholeList))
	m.reset(measureBytesAllocated, 0, b.driver.balancer)
	b.applyListChanges()
	c.Add("delta alloc", "bytes", m.meanBytes(listDelta))
	c.Add("whole list alloc", "bytes", m.meanBytes(wholeList))
}

// measureTimes adds the processor time of so many requests, and what became of them.
func (b *benchCase) measureTimes(c *fleet.Case, requests int, clockReadNs float64) {
	m, requestCount := b.driver.meter, float64(requests)
	b.driver.counts = requestCounts{}
	m.reset(measureTime, clockReadNs, b.driver.balancer)
	startMs := b.driver.nowMs
	b.driver.advance(requests)
	c.Add("request", "us", m.meanUs(newRequest))
	c.Add("outcome", "us", m.meanUs(outcomeArrived))
	c.Add("tick", "us", m.meanUs(timerFired))
	ns := m.perKind[newRequest].ns + m.perKind[outcomeArrived].ns + m.perKind[timerFired].ns
	c.Add("call", "us", ns/1000/requestCount)
	c.Add("core", "share", ns/1e6/max(b.driver.nowMs-startMs, 1))
	c.Add("work", "count", float64(b.driver.balancer.Work()-m.workBefore)/requestCount)
	c.Add("attempts", "count", float64(b.driver.counts.attempts)/requestCount)
	c.Add("refused", "share", float64(b.driver.counts.rejected)/requestCount)
}

// measureAllocations adds the bytes that so many requests allocate.
func (b *benchCase) measureAllocations(c *fleet.Case, requests int) {
	m := b.driver.meter
	m.reset(measureBytesAllocated, 0, b.driver.balancer)
	b.driver.advance(requests)
	c.Add("request alloc", "bytes", m.meanBytes(newRequest))
	c.Add("outcome alloc", "bytes", m.meanBytes(outcomeArrived))
	c.Add("tick alloc", "bytes", m.meanBytes(timerFired))
	c.Add("call alloc", "bytes", (m.perKind[newRequest].bytes+m.perKind[outcomeArrived].bytes+m.perKind[timerFired].bytes)/float64(requests))
}

// applyListChanges replaces servers one by one, and then passes the whole list on a few times.
func (b *benchCase) applyListChanges() {
	for range replacementsPerRound {
		b.driver.replaceServer()
	}
	for range wholeListsPerRound {
		b.driver.updateList(policy.ListFull, b.driver.entries, wholeList)
	}
}

// medianCase returns the case with the medians of its rounds.
func (b *benchCase) medianCase(s *series) fleet.Case {
	c := fleet.Case{Name: fmt.Sprintf("%s %v", s.name, b.paramValue), Params: b.params()}
	for i, f := range b.roundFigures[0] {
		var values []float64
		for _, round := range b.roundFigures {
			values = append(values, round[i].Value)
		}
		c.Add(f.Name, f.Unit, median(values))
	}
	if b.measuresLists {
		c.Add("state", "bytes", b.stateBytes)
	}
	return c
}
