package agenttest

import (
	"testing"
	"time"
)

// Receive returns the next value of a channel, and fails the test if none comes within
// WaitTimeout. The test's message names the value by what.
func Receive[T any](t testing.TB, from <-chan T, what string) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(WaitTimeout):
		t.Fatal("never came: ", what)
	}
	return value
}
