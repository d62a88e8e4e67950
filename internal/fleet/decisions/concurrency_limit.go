package decisions

import (
	"context"
	"fmt"
	"slices"

	"ploverreel/internal/fleet"
)

// measuredLimitRounds is the number of rounds after the warmup that the cases of the concurrency
// limit count. These cases run only once.
const measuredLimitRounds = 14

// concurrencyLimitCases measures an agent of the whole fleet that lists only a part of its servers,
// such as those of one service. The cases have the share of requests that are rejected because of
// the agent's part of the fleet's concurrency limit, and how long the other requests wait. All
// times are virtual.
func (o Options) concurrencyLimitCases(ctx context.Context) ([]fleet.Case, error) {
	var cases []fleet.Case
	serversPerService := o.Size.Servers / o.Size.Services
	listLengths := []int{serversPerService, min(5*serversPerService, o.Size.Servers), max(o.Size.Servers/10, 1)}
	slices.Sort(listLengths)
	for _, listed := range slices.Compact(listLengths) {
		w := o.baseWorkload()
		w.servers = listed
		d, err := newDriver(w)
		if err != nil {
			return nil, err
		}
		var warmupCounts requestCounts
		for round := range warmupRounds + measuredLimitRounds {
			if err := ctx.Err(); err != nil {
				return nil, fmt.Errorf("decide: interrupted: %w", err)
			}
			if round == warmupRounds {
				warmupCounts, d.counts = d.counts, requestCounts{}
			}
			d.advance(o.Requests)
		}
		c := fleet.Case{Name: fmt.Sprintf("limit %d", listed), Params: w.params()}
		counts := &d.counts
		slices.Sort(counts.waitsMs)
		requests := float64(counts.requests)
		c.Add("refused first", "share", float64(warmupCounts.rejected)/float64(warmupCounts.requests))
		c.Add("requests", "count", requests)
		c.Add("refused", "share", float64(counts.rejected)/requests)
		c.Add("attempts", "count", float64(counts.attempts)/requests)
		c.Add("wait p50", "ms", quantile(counts.waitsMs, 0.5))
		c.Add("wait p99", "ms", quantile(counts.waitsMs, 0.99))
		cases = append(cases, c)
	}
	return cases, nil
}

// quantile returns the q-quantile of the sorted values, or 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
