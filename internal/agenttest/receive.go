package agenttest

import (
	"testing"
	"time"
)

// Receive returns the next value of a channel. It fails the test if no value arrives within
// WaitTimeout; what names the value in the failure message.
func Receive[T any](t testing.TB, from <-chan T, what string) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(WaitTimeout):
		t.Fatal("not received: ", what)
	}
	return value
}
