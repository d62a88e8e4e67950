package controlplane

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ploverreel/internal/fleet"
)

const (
	// maxDelay is the longest delay that the histogram can record. The plan's limit is at most as long.
	maxDelay = time.Hour
	// delayDigits is the number of significant decimal digits that the histogram keeps of a delay.
	delayDigits = 3
)

// delays are how long versions took to be in force, over agents and versions.
type delays struct {
	histogram *hdrhistogram.Histogram // in microseconds
	without   int                     // agents, over all versions, that did not get the version
}

// newDelays returns delays without any.
func newDelays() *delays {
	return &delays{histogram: hdrhistogram.New(1, maxDelay.Microseconds(), delayDigits)}
}

// add takes in one version: for each of the agents the time from begin until it is in force there.
func (d *delays) add(f *fleetRun, agents []int, v version, begin func(agent int) time.Time) error {
	for _, a := range agents {
		at, ok := f.inForceAt(a, v)
		if !ok {
			d.without++
			continue
		}
		if err := d.histogram.RecordValue(max(at.Sub(begin(a)).Microseconds(), 1)); err != nil {
			return fmt.Errorf("time of agent %d: %w", a, err)
		}
	}
	return nil
}

// addTo adds the figures to a case. Their names begin with prefix. A quantile that
// takes in agents that were not reached is left out.
func (d *delays) addTo(c *fleet.Case, prefix string) {
	reached := float64(d.histogram.TotalCount())
	all := reached + float64(d.without)
	c.Add(prefix+"_agents", "count", all)
	c.Add(prefix+"_without", "count", float64(d.without))
	for _, part := range []struct {
		name  string
		share float64
	}{{"_p50", 0.5}, {"_p99", 0.99}, {"_all", 1}} {
		if reached >= part.share*all && reached > 0 {
			c.Add(prefix+part.name, "s", float64(d.histogram.ValueAtQuantile(100*part.share*all/reached))/1e6)
		}
	}
}
