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
	keys      = 10_000 // that the calls are about
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

func newCallStats() *callStats {
	return &callStats{latency: hdrhistogram.New(1, longestUs, digits), sendDelay: hdrhistogram.New(1, longestUs, digits)}
}

func (t *callStats) begin(sendDelay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.sendDelay.RecordValue(min(sendDelay.Microseconds(), longestUs))
	t.open++
	t.peak = max(t.peak, t.open)
}

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

// ms is a quantile of the served calls' times, in ms.
func (t *callStats) ms(quantile float64) float64 {
	return float64(t.latency.ValueAtQuantile(quantile)) / 1000
}

// stream sends calls at times drawn at random, whether earlier ones are answered or not, and
// waits for all. A call's time counts from when it was sent: as none waits for another,
// nothing is hidden by that, and how late it was sent is the load generator's own.
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
