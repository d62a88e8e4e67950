package model

import "github.com/HdrHistogram/hdrhistogram-go"

// maxWaitUs is the longest wait in µs that the histogram resolves. Longer waits are recorded as this.
const maxWaitUs = 2_000_000

// waitHistogram is how long requests waited in their agents before their first attempt, to three
// significant digits.
type waitHistogram struct{ us *hdrhistogram.Histogram }

// newWaitHistogram returns an empty histogram.
func newWaitHistogram() *waitHistogram { return &waitHistogram{hdrhistogram.New(1, maxWaitUs, 3)} }

// add counts a wait; within its bounds the histogram takes every value.
func (w *waitHistogram) add(ms float64) { _ = w.us.RecordValue(min(int64(1000*ms), maxWaitUs)) }

// ms returns the percentile of the waits, in ms.
func (w *waitHistogram) ms(percent float64) float64 {
	return float64(w.us.ValueAtQuantile(percent)) / 1000
}
