package decisions

import (
	"context"
	"fmt"
	"slices"

	"ploverreel/internal/fleet"
)

// limitRounds is how many rounds the cases of the limit are counted for, after warmRounds. They are played once.
const limitRounds = 14

// limit plays agents of the whole fleet that have only a part of its servers listed, as those of a service. Its
// cases have how many requests the agent's part of the fleet's concurrency limit rejects, and how long the others
// wait. All figures are of virtual time.
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
		c.Add("refused first", "share", float64(first.rejected)/float64(first.requests))
		c.Add("requests", "count", requests)
		c.Add("refused", "share", float64(counts.rejected)/requests)
		c.Add("attempts", "count", float64(counts.attempts)/requests)
		c.Add("wait p50", "ms", quantile(counts.waits, 0.5))
		c.Add("wait p99", "ms", quantile(counts.waits, 0.99))
		cases = append(cases, c)
	}
	return cases, nil
}

// quantile returns the value below which the share q of the sorted values lies, 0 if there is none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
