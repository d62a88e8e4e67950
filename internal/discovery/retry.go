package discovery

import (
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"ploverreel/internal/socket"
)

// withRetry makes a call. With RetryNewDiscovery it repeats a failed call until
// newDiscoveryRetryTime has passed. It returns the last error.
func (c *Client) withRetry(retry Retry, call func() error) error {
	end := time.Now().Add(newDiscoveryRetryTime)
	for {
		err := c.retryLocalFailures(call)
		if err == nil || retry == NoRetry || time.Now().After(end) || !c.pause(newDiscoveryRetryInterval) {
			return err
		}
	}
}

// retryLocalFailures makes a call and repeats it while it fails on this machine before anything was
// sent. The pauses between the calls have exponential backoff and jitter: each is at least half the
// backoff and less than all of it. Such a failure must not be reported as a failed call to
// discovery, as the caller's backoff would then delay the next call.
func (c *Client) retryLocalFailures(call func() error) error {
	for backoff := minLocalFailureBackoff; ; backoff = min(2*backoff, maxLocalFailureBackoff) {
		err := call()
		if !failedLocally(err) || !c.pause(backoff/2+rand.N(backoff/2)) {
			return err
		}
	}
}

// failedLocally reports whether a call failed on this machine before anything of it was sent.
func failedLocally(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && (socket.IsLocalError(err) || socket.IsUnreachable(err))
}

// sleep waits for the delay and returns true. If the client is closed, it returns false at once.
func (c *Client) sleep(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}
