package model

import "github.com/HdrHistogram/hdrhistogram-go"

// longestWait is the longest wait that is told apart, in µs.
const longestWait = 2_000_000

// waits is how long requests waited in their agents before their first attempt.
type waits struct{ us *hdrhistogram.Histogram }

func newWaits() *waits { return &waits{hdrhistogram.New(1, longestWait, 3)} }

// add counts a wait; within its bounds the histogram takes every value.
func (w *waits) add(ms float64) { _ = w.us.RecordValue(min(int64(1000*ms), longestWait)) }

// ms is the wait that so many in a hundred don't pass.
func (w *waits) ms(percent float64) float64 { return float64(w.us.ValueAtQuantile(percent)) / 1000 }
