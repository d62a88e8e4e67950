package discovery

import (
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"ploverreel/internal/socket"
)

// withRetry makes a call until it succeeds: for newDiscoveryRetryTime with RetryNewDiscovery, else once. It returns the
// last error.
func (c *Client) withRetry(retry Retry, call func() error) error {
	end := time.Now().Add(newDiscoveryRetryTime)
	for {
		err := c.untilSent(call)
		if err == nil || retry == NoRetry || time.Now().After(end) || !c.pause(newDiscoveryRetryInterval) {
			return err
		}
	}
}

// untilSent makes a call until it has left this machine: what fails before is no failed call of
// discovery, after which the next one would have to wait.
func (c *Client) untilSent(call func() error) error {
	for backoff := minLocalFailureBackoff; ; backoff = min(2*backoff, maxLocalFailureBackoff) {
		err := call()
		if !neverSent(err) || !c.pause(backoff/2+rand.N(backoff/2)) {
			return err
		}
	}
}

// neverSent reports whether a call failed on this machine, before anything of it was sent.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && (socket.IsLocalError(err) || socket.IsUnreachable(err))
}

// sleep waits, and reports whether the calls go on.
func (c *Client) sleep(span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}
