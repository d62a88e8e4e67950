package model

import "github.com/HdrHistogram/hdrhistogram-go"

// maxWaitUs is the longest wait in µs that the histogram resolves. Longer waits are recorded as this.
const maxWaitUs = 2_000_000

// waitHistogram is the distribution of the requests' queueing delay in their agents before the first
// attempt, to three significant digits.
type waitHistogram struct{ histogram *hdrhistogram.Histogram } // in µs

// newWaitHistogram returns an empty histogram.
func newWaitHistogram() *waitHistogram { return &waitHistogram{hdrhistogram.New(1, maxWaitUs, 3)} }

// add counts a wait in ms. RecordValue returns no error, as the value is within the histogram's
// bounds.
func (w *waitHistogram) add(ms float64) { _ = w.histogram.RecordValue(min(int64(1000*ms), maxWaitUs)) }

// percentileMs returns a percentile of the waits in ms. percent is from 0 to 100.
func (w *waitHistogram) percentileMs(percent float64) float64 {
	return float64(w.histogram.ValueAtQuantile(percent)) / 1000
}
