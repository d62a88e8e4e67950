package discovery

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// failingDialer fails the first connects of a client and counts all of them.
type failingDialer struct {
	failures int // number of connects that fail
	err      error
	connects int
	open     int // connects in progress
	maxOpen  int
	dial     func(context.Context, string, string) (net.Conn, error)
}

func (f *failingDialer) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	f.open++
	f.maxOpen = max(f.maxOpen, f.open)
	defer func() { f.open-- }()
	if f.connects++; f.connects <= f.failures {
		return nil, f.err
	}
	return f.dial(ctx, network, addr)
}

// While this machine has no free descriptor, no free port or no route, calls cannot reach discovery.
// They must not be reported as failed calls, must go out soon after the shortage ends, and must not
// be retried too often until then.
func TestCallThatThisMachineCannotMakeIsRetried(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN} {
		for name, call := range map[string]func(*Client){
			"watch":                      func(c *Client) { c.Watch(1, NoRetry) },
			"watch of a new discovery":   func(c *Client) { c.Watch(1, RetryNewDiscovery) },
			"fetch":                      func(c *Client) { c.Fetch(NoRetry) },
			"fetch from a new discovery": func(c *Client) { c.Fetch(RetryNewDiscovery) },
		} {
			t.Run(errno.Error()+" "+name, func(t *testing.T) {
				client, results := newClient(t, agenttest.ServeLines(t, false, `{"seq":2,"whole":true,"hosts":[]}`), Shared)
				dialer := &failingDialer{failures: 20, err: failedConnect(errno), dial: client.dial}
				client.dial = dialer.connect
				var pauses []time.Duration
				client.pause = func(delay time.Duration) bool {
					pauses = append(pauses, delay)
					return true
				}
				call(client)
				checkFirstList(t, results)
				if len(pauses) != dialer.failures || dialer.connects != dialer.failures+1 || dialer.maxOpen != 1 {
					t.Fatalf("got %d pauses and %d connects, %d at once, want %d, %d and 1", len(pauses), dialer.connects, dialer.maxOpen,
						dialer.failures, dialer.failures+1)
				}
				checkBackoff(t, pauses)
			})
		}
	}
}

// checkFirstList checks that the first result is list 2, of a fetch or of a watch.
func checkFirstList(t *testing.T, results chan Result) {
	t.Helper()
	seq, err := int64(0), error(nil)
	switch result := agenttest.Receive(t, results, "a result").(type) {
	case Fetched:
		seq, err = result.List.Seq, result.Err
	case WatchEvent:
		seq = result.List.Seq
	case WatchEnded:
		err = result.Err
	}
	if err != nil || seq != 2 {
		t.Fatalf("got list %d and error %v first, want list 2 and none", seq, err)
	}
}

// checkBackoff checks that the pauses double up to maxLocalFailureBackoff, with jitter.
func checkBackoff(t *testing.T, pauses []time.Duration) {
	t.Helper()
	differ := false
	for i, pause := range pauses {
		if least := min(minLocalFailureBackoff<<i, maxLocalFailureBackoff) / 2; i < 10 && pause < least || pause > maxLocalFailureBackoff {
			t.Fatalf("got pause %d of %v, want %v to %v", i, pause, least, maxLocalFailureBackoff)
		}
		differ = differ || pause != pauses[len(pauses)-1]
	}
	if !differ {
		t.Error("got equal pauses, want jitter")
	}
}

// An error of discovery, or of an established connection to it, is a failed call.
func TestCallThatFailsElsewhereIsNotRetried(t *testing.T) {
	for name, err := range map[string]error{
		"refused":   failedConnect(syscall.ECONNREFUSED),
		"timed out": failedConnect(syscall.ETIMEDOUT),
		"read":      &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.EHOSTUNREACH)},
	} {
		t.Run(name, func(t *testing.T) {
			client, results := newClient(t, refusing, Shared)
			dialer := &failingDialer{failures: 1, err: err}
			client.dial = dialer.connect
			client.pause = func(time.Duration) bool { t.Error("got a pause, want none"); return false }
			client.Watch(1, NoRetry)
			if got := next[WatchEnded](t, results); got.Err == nil || got.Established || dialer.connects != 1 {
				t.Fatalf("got %+v after %d connects, want a failure after 1", got, dialer.connects)
			}
		})
	}
}

// The agent closes the client when it stops and when the address of discovery changes.
func TestCallThatWaitsToBeRetriedEndsWithItsClient(t *testing.T) {
	client, results := newClient(t, refusing, Shared)
	failing := make(chan struct{}, 1)
	client.dial = func(context.Context, string, string) (net.Conn, error) {
		select {
		case failing <- struct{}{}:
		default:
		}
		return nil, failedConnect(syscall.ENFILE)
	}
	go client.Watch(1, NoRetry)
	<-failing
	client.Close()
	next[WatchEnded](t, results)
}
