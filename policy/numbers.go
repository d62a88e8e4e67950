// This file holds numeric helper functions.

package policy

import "math"

// maxFinite is the upper bound of numbers from events. Sums and squares of numbers up to this bound
// stay finite.
const maxFinite = 1e15

// never is a time in ms that is earlier than any event.
var never = math.Inf(-1)

// ewma returns an exponentially weighted moving average after a sample. weight is the smoothing
// factor. An average of 0 means that there was no sample yet: the result is then the sample.
func ewma(average, sample, weight float64) float64 {
	if average == 0 {
		return sample
	}
	return average + weight*(sample-average)
}

// clampFinite makes a number of an event safe to calculate with. NaN and negative numbers become 0,
// infinity and numbers above maxFinite become maxFinite.
func clampFinite(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, maxFinite)
}

// packAddr returns the bytes of an address as a number.
func packAddr(addr Addr) uint64 {
	packed := uint64(0)
	for _, octet := range addr {
		packed = packed<<8 | uint64(octet)
	}
	return packed
}

// splitmix64 returns the output of the splitmix64 generator for the state x, a hash of x.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
