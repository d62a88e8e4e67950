// This file holds how popular each key is.

package policy

// keyHistory is over how many requests keys are counted.
const keyHistory = 128

// keyCounter counts how often each key came among the last keyHistory requests.
type keyCounter struct {
	last  [keyHistory]uint64
	next  int // index in last of the oldest
	total int
	count map[uint64]int
}

// newKeyCounter returns a counter that has counted nothing.
func newKeyCounter() keyCounter { return keyCounter{count: map[uint64]int{}} }

// add counts one more request for the key and returns the key's share.
func (k *keyCounter) add(key uint64) float64 {
	if k.total == keyHistory {
		old := k.last[k.next]
		if k.count[old]--; k.count[old] == 0 {
			delete(k.count, old)
		}
	} else {
		k.total++
	}
	k.last[k.next] = key
	k.next = (k.next + 1) % keyHistory
	k.count[key]++
	return float64(k.count[key]) / float64(k.total)
}
