package agenttest

import (
	"testing"
	"time"
)

const (
	// WaitTimeout is how long a test waits for what has to come before it fails.
	WaitTimeout = time.Minute
	// LongTimeout is a timeout that no test lets run out.
	LongTimeout = time.Hour

	// eventuallyTimeout bounds Eventually, and eventuallyInterval is how often it looks.
	eventuallyTimeout  = 20 * time.Second
	eventuallyInterval = time.Millisecond
)

// Eventually waits until a condition holds, and fails the test if it doesn't within
// eventuallyTimeout. The test's message names the condition by what.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); !condition(); time.Sleep(eventuallyInterval) {
		if time.Now().After(end) {
			t.Fatal("never: ", what)
		}
	}
}
