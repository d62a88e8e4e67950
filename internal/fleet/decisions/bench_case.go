package decisions

import (
	"context"
	"fmt"

	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

const (
	// warmupRounds is the number of rounds before the measured ones.
	warmupRounds = 6
	// maxAllocRequests bounds the requests of a round whose allocated bytes are measured. Each
	// reading stops the world.
	maxAllocRequests = 100
	// replacementsPerRound and wholeListsPerRound are the numbers of server replacements and of
	// whole lists in a round that measures changes of the endpoint list.
	replacementsPerRound, wholeListsPerRound = 20, 3
)

// benchCase is one case of a series.
type benchCase struct {
	workload
	paramValue    float64 // value of the series' parameter
	measuresLists bool    // true: the case measures changes of the endpoint list; false: it measures requests
	driver        *driver
	stateBytes    float64          // memory of the driver and its balancer after the warmup
	roundFigures  [][]fleet.Figure // figures of each measured round
}

// start creates the driver and runs the warmup, in which the balancer sends attempts to its
// servers.
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
	b.driver.counts = requestCounts{} // do not count the memory of the driver's statistics as the balancer's
	b.stateBytes = heapBytesInUse() - bytesBefore
	return nil
}

// measureRound runs one measured round: first for processor times, then for allocated bytes.
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

// measureListChanges adds the processor time and the allocated bytes of changes of the endpoint
// list.
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

// measureTimes adds the processor time and the work of that many requests, their attempts, and the
// share that was rejected.
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

// measureAllocations adds the bytes that the balancer allocates for that many requests.
func (b *benchCase) measureAllocations(c *fleet.Case, requests int) {
	m := b.driver.meter
	m.reset(measureBytesAllocated, 0, b.driver.balancer)
	b.driver.advance(requests)
	c.Add("request alloc", "bytes", m.meanBytes(newRequest))
	c.Add("outcome alloc", "bytes", m.meanBytes(outcomeArrived))
	c.Add("tick alloc", "bytes", m.meanBytes(timerFired))
	c.Add("call alloc", "bytes", (m.perKind[newRequest].bytes+m.perKind[outcomeArrived].bytes+m.perKind[timerFired].bytes)/float64(requests))
}

// applyListChanges replaces some servers one by one, and then passes the whole list to the balancer
// a few times.
func (b *benchCase) applyListChanges() {
	for range replacementsPerRound {
		b.driver.replaceServer()
	}
	for range wholeListsPerRound {
		b.driver.updateList(policy.ListFull, b.driver.entries, wholeList)
	}
}

// medianCase returns the case for the result. Each figure is the median over the measured rounds.
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
