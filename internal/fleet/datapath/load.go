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
	longestUs = 600_000_000
	digits    = 3
	keys      = 10_000 // of the calls
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
	peak      int // the most open at one time
	firstErr  error
}

// newCallStats returns counts without a call.
func newCallStats() *callStats {
	return &callStats{latency: hdrhistogram.New(1, longestUs, digits), sendDelay: hdrhistogram.New(1, longestUs, digits)}
}

// begin counts a call that is sent, so long after it was due.
func (t *callStats) begin(sendDelay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.sendDelay.RecordValue(min(sendDelay.Microseconds(), longestUs))
	t.open++
	t.peak = max(t.peak, t.open)
}

// end counts how a call ended.
func (t *callStats) end(status int, err error, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
	switch {
	case err == nil && status == http.StatusOK:
		t.served++
		_ = t.latency.RecordValue(min(took.Microseconds(), longestUs))
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		t.refused++
	default:
		t.failed++
		if err == nil {
			err = fmt.Errorf("status %d", status)
		}
		if t.firstErr == nil {
			t.firstErr = err
		}
	}
}

// ms returns a quantile, in percent, of the served calls' latencies, in ms.
func (t *callStats) ms(quantile float64) float64 {
	return float64(t.latency.ValueAtQuantile(quantile)) / 1000
}

// stream sends calls at random times, whether earlier ones are answered or not (an open loop), and waits for all.
// A call's latency counts from when it was sent. As no call waits for another, that hides nothing: a late send
// is the load generator's delay, which sendDelay has.
func (t *callStats) stream(ctx context.Context, c *caller, calls int, rate float64, timeout time.Duration, rng *rand.Rand) {
	var wait sync.WaitGroup
	defer wait.Wait()
	last := time.Now()
	for range calls {
		due := last.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		last = due
		if !sleep(ctx, time.Until(due)) {
			return
		}
		path := fmt.Sprintf("/%s/u%d", class, rng.IntN(keys))
		wait.Add(1)
		go func() {
			defer wait.Done()
			sent := time.Now()
			t.begin(sent.Sub(due))
			status, err := c.call(ctx, path, timeout)
			t.end(status, err, time.Since(sent))
		}()
	}
}
