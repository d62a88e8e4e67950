package agenttest

import (
	"testing"
	"time"
)

const (
	// WaitTimeout bounds the time that a test waits for an expected event before it fails.
	WaitTimeout = time.Minute
	// LongTimeout is a timeout that is longer than any test runs, so that it never expires.
	LongTimeout = time.Hour

	// eventuallyTimeout bounds the time that Eventually waits.
	eventuallyTimeout = 20 * time.Second
	// eventuallyInterval is the time between two checks of Eventually's condition.
	eventuallyInterval = time.Millisecond
)

// Eventually waits until a condition holds. It fails the test if the condition doesn't hold within
// eventuallyTimeout; what names the condition in the failure message.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); !condition(); time.Sleep(eventuallyInterval) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: ", what)
		}
	}
}
