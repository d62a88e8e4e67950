package policy

import "testing"

// A key's share is its share of the last keyHistory requests; earlier requests don't count.
func TestKeyCounterCountsTheLastRequests(t *testing.T) {
	counter := newKeyCounter()
	if got := counter.add(7); got != 1 {
		t.Errorf("the only key: got a share of %v, want 1", got)
	}
	if got := counter.add(8); got != 0.5 {
		t.Errorf("one of two keys: got a share of %v, want 0.5", got)
	}
	for key := range uint64(keyHistory) {
		counter.add(1000 + key)
	}
	if got, want := counter.add(7), 1.0/keyHistory; got != want {
		t.Errorf("a key of long ago: got a share of %v, want %v", got, want)
	}
	if got := len(counter.count); got != keyHistory {
		t.Errorf("got %d keys counted, want %d", got, keyHistory)
	}
}
