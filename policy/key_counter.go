// This file holds the counts of recent requests by key.

package policy

// keyHistory is the number of latest requests over which keys are counted.
const keyHistory = 128

// keyCounter counts the requests for each key among the latest keyHistory requests with a key.
type keyCounter struct {
	last  [keyHistory]uint64 // ring buffer of the latest keys
	next  int                // index in last of the next write: the oldest key once last is full
	total int                // number of keys in last
	count map[uint64]int     // how often each key is in last
}

// newKeyCounter returns an empty counter.
func newKeyCounter() keyCounter { return keyCounter{count: map[uint64]int{}} }

// add counts one more request for the key and returns the key's share of the latest requests.
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
