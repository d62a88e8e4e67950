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

// The histograms' range and precision: a microsecond to ten minutes, three digits.
const (
	maxLatencyUs      = 600_000_000
	significantDigits = 3
	keyCount          = 10_000 // of the calls
)

// callStats counts how the calls of one kind ended, and their latencies.
type callStats struct {
	mu        sync.Mutex
	latency   *hdrhistogram.Histogram // of those served, in us
	sendDelay *hdrhistogram.Histogram // how late the calls were sent, in us
	served    int
	refused   int
	failed    int
	open      int
	peakOpen  int // the most open at one time
	firstErr  error
}

// newCallStats returns counts without a call.
func newCallStats() *callStats {
	return &callStats{latency: hdrhistogram.New(1, maxLatencyUs, significantDigits), sendDelay: hdrhistogram.New(1, maxLatencyUs, significantDigits)}
}

// begin counts a call that is sent, so long after it was due.
func (s *callStats) begin(sendDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.sendDelay.RecordValue(min(sendDelay.Microseconds(), maxLatencyUs))
	s.open++
	s.peakOpen = max(s.peakOpen, s.open)
}

// end counts how a call ended.
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

// latencyMs returns a quantile, in percent, of the served calls' latencies, in ms.
func (s *callStats) latencyMs(percentile float64) float64 {
	return float64(s.latency.ValueAtQuantile(percentile)) / 1000
}

// sendOpenLoop sends calls at random times, whether earlier ones are answered or not (an open loop), and waits for all.
// A call's latency counts from when it was sent. As no call waits for another, that hides nothing: a late send
// is the load generator's delay, which sendDelay has.
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
