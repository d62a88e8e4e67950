package model

import "github.com/HdrHistogram/hdrhistogram-go"

// longestWait is the longest wait that is told apart, in µs.
const maxWaitUs = 2_000_000

// waits is how long requests waited in their agents before their first attempt.
type waitHistogram struct{ us *hdrhistogram.Histogram }

func newWaitHistogram() *waitHistogram { return &waitHistogram{hdrhistogram.New(1, maxWaitUs, 3)} }

// add counts a wait; within its bounds the histogram takes every value.
func (w *waitHistogram) add(ms float64) { _ = w.us.RecordValue(min(int64(1000*ms), maxWaitUs)) }

// ms is the wait that so many in a hundred don't pass.
func (w *waitHistogram) ms(percent float64) float64 {
	return float64(w.us.ValueAtQuantile(percent)) / 1000
}
