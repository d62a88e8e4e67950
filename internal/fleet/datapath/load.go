package datapath

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Range and precision of the histograms: from 1 us to maxLatencyUs (ten minutes), with three
	// digits. Longer latencies are recorded as maxLatencyUs.
	maxLatencyUs      = 600_000_000
	significantDigits = 3
	// keyCount is the number of different keys in the paths of the calls.
	keyCount = 10_000
)

// callStats counts the outcomes of the calls through the agents or of the direct calls, and records
// their latencies.
type callStats struct {
	mu        sync.Mutex
	latency   *hdrhistogram.Histogram // latency of the served calls, in us
	sendDelay *hdrhistogram.Histogram // time from when a call was due until it was sent, in us
	served    int                     // status 200
	refused   int                     // status 503 or 429
	failed    int                     // any other status, or an error
	open      int                     // calls without an outcome
	peakOpen  int                     // maximum of open
	firstErr  error                   // of the first failed call
}

// newCallStats returns empty statistics.
func newCallStats() *callStats {
	return &callStats{latency: hdrhistogram.New(1, maxLatencyUs, significantDigits), sendDelay: hdrhistogram.New(1, maxLatencyUs, significantDigits)}
}

// begin records that a call is sent, sendDelay after it was due.
func (s *callStats) begin(sendDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.sendDelay.RecordValue(min(sendDelay.Microseconds(), maxLatencyUs))
	s.open++
	s.peakOpen = max(s.peakOpen, s.open)
}

// end records the outcome of a call, which took that long.
func (s *callStats) end(status int, err error, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	switch {
	case err == nil && status == http.StatusOK:
		s.served++
		_ = s.latency.RecordValue(min(took.Microseconds(), maxLatencyUs))
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		s.refused++
	default:
		s.failed++
		if err == nil {
			err = fmt.Errorf("status %d", status)
		}
		if s.firstErr == nil {
			s.firstErr = err
		}
	}
}

// latencyMs returns a percentile of the latencies of the served calls, in ms.
func (s *callStats) latencyMs(percentile float64) float64 {
	return float64(s.latency.ValueAtQuantile(percentile)) / 1000
}

// sendOpenLoop sends calls as an open loop: with exponentially distributed intervals, whether
// earlier calls have ended or not. It waits until all have ended. The latency of a call is measured
// from when it was sent, not from when it was due. This hides no queueing delay, as no call waits
// for another. A late send is a delay of the load generator and is recorded in sendDelay.
func (s *callStats) sendOpenLoop(ctx context.Context, c *caller, calls int, rate float64, timeout time.Duration, rng *rand.Rand) {
	var calling sync.WaitGroup
	defer calling.Wait()
	last := time.Now()
	for range calls {
		due := last.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		last = due
		if !sleep(ctx, time.Until(due)) {
			return
		}
		path := fmt.Sprintf("/%s/u%d", className, rng.IntN(keyCount))
		calling.Add(1)
		go func() {
			defer calling.Done()
			sent := time.Now()
			s.begin(sent.Sub(due))
			status, err := c.call(ctx, path, timeout)
			s.end(status, err, time.Since(sent))
		}()
	}
}
