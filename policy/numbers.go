// This file holds plain arithmetic.

package policy

import "math"

// maxFinite is the upper bound of numbers from events. Sums and squares of numbers up to this bound
// stay finite.
const maxFinite = 1e15

// never is a time in ms that is earlier than any event.
var never = math.Inf(-1)

// ewma moves an exponentially weighted moving average towards a sample; the first sample is taken
// whole. 0 stands for no sample yet.
func ewma(average, sample, weight float64) float64 {
	if average == 0 {
		return sample
	}
	return average + weight*(sample-average)
}

// finite makes a number from outside safe to calculate with: not a number and negative become 0,
// infinite and huge maxFinite.
func clampFinite(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, maxFinite)
}

// hashAddr returns a number that differs from address to address.
func packAddr(addr Addr) uint64 {
	hash := uint64(0)
	for _, octet := range addr {
		hash = hash<<8 | uint64(octet)
	}
	return hash
}

// mix returns x after the finalizer of splitmix64.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
