package controlplane

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ploverreel/internal/fleet"
)

const (
	// maxDelay is the longest delay that the histogram can record. It is also the longest limit that a
	// plan may have.
	maxDelay = maxDuration
	// delayDigits is the number of significant decimal digits that the histogram keeps of a delay.
	delayDigits = 3
)

// delayStats collects the delays after which agents applied versions of the list. It has one delay
// for each pair of an agent and a version.
type delayStats struct {
	histogram *hdrhistogram.Histogram // in microseconds
	unreached int                     // pairs in which the agent did not apply the version
}

// newDelayStats returns statistics without delays.
func newDelayStats() *delayStats {
	return &delayStats{histogram: hdrhistogram.New(1, maxDelay.Microseconds(), delayDigits)}
}

// addVersion adds one version: for each of the agents the time from startOf until it applied the
// version.
func (d *delayStats) addVersion(f *fleetRun, agents []int, v version, startOf func(agent int) time.Time) error {
	for _, a := range agents {
		appliedAt, ok := f.appliedAt(a, v)
		if !ok {
			d.unreached++
			continue
		}
		if err := d.histogram.RecordValue(max(appliedAt.Sub(startOf(a)).Microseconds(), 1)); err != nil {
			return fmt.Errorf("time of agent %d: %w", a, err)
		}
	}
	return nil
}

// addFigures adds the figures to a case. Their names start with prefix. A quantile is over all
// agents, reached or not. It is left out if the agents that were reached are a smaller share than
// the quantile's.
func (d *delayStats) addFigures(c *fleet.Case, prefix string) {
	reached := float64(d.histogram.TotalCount())
	all := reached + float64(d.unreached)
	c.Add(prefix+"_agents", "count", all)
	c.Add(prefix+"_without", "count", float64(d.unreached))
	for _, quantile := range []struct {
		name  string
		share float64
	}{{"_p50", 0.5}, {"_p99", 0.99}, {"_all", 1}} {
		if reached >= quantile.share*all && reached > 0 {
			c.Add(prefix+quantile.name, "s", float64(d.histogram.ValueAtQuantile(100*quantile.share*all/reached))/1e6)
		}
	}
}
