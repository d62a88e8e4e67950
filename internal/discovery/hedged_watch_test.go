package discovery

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

const emptyList = `{"seq":2,"whole":true,"hosts":[]}` + "\n"

// hedgedClient is a client whose hedges the test sets off.
type hedgedClient struct {
	*Client
	results chan Result
	hedge   chan time.Time     // sets off the next call
	delays  chan time.Duration // the waits before the next call
}

// newHedgedClient returns a client of a stand-in that makes another call of a watch after hedgeDelay.
func newHedgedClient(t *testing.T, hedgeDelay time.Duration) (*hedgedClient, *agenttest.Discovery) {
	t.Helper()
	standIn := agenttest.NewDiscovery(t)
	client, results := newClient(t, standIn.Addr, Local)
	hedged := &hedgedClient{client, results, make(chan time.Time), make(chan time.Duration, 16)}
	client.hedgeDelay = hedgeDelay
	client.after = func(delay time.Duration) <-chan time.Time {
		hedged.delays <- delay
		return hedged.hedge
	}
	return hedged, standIn
}

// nextVersion returns the version of the next list.
func (c *hedgedClient) nextVersion(t *testing.T) int64 {
	t.Helper()
	return next[WatchEvent](t, c.results).List.Seq
}

// A discovery that is slow is heard by the call that was made first, one that was down by the call
// that was made after; the calls beside it end, and the watch goes on.
func TestHedgedWatchFollowsTheCallAnsweredFirst(t *testing.T) {
	for _, answered := range []int{0, 1, 2, 3} {
		t.Run(fmt.Sprint("call ", answered, " is answered"), func(t *testing.T) {
			client, standIn := newHedgedClient(t, 750*time.Millisecond)
			go client.Watch(1, NoRetry)
			calls := []*agenttest.DiscoveryCall{agenttest.Receive(t, standIn.Calls, "the first call")}
			for range 3 {
				if got, want := agenttest.Receive(t, client.delays, "a wait"), 750*time.Millisecond; got != want {
					t.Fatalf("got a wait of %v before the next call, want %v", got, want)
				}
				client.hedge <- time.Time{}
				calls = append(calls, agenttest.Receive(t, standIn.Calls, "the next call"))
			}
			calls[answered].Write <- emptyList
			if got := client.nextVersion(t); got != 2 {
				t.Fatalf("got list %d, want 2", got)
			}
			for i, call := range calls {
				if i != answered {
					writeTooLate(t, call)
				}
			}
			calls[answered].Write <- `{"seq":3,"whole":false,"hosts":[]}`
			if got := client.nextVersion(t); got != 3 {
				t.Fatalf("got list %d, want 3", got)
			}
			if len(client.delays) > 0 {
				t.Error("got a wait for a fifth call, want none")
			}
		})
	}
}

// writeTooLate writes a list to a call that was not answered first, and waits until it has ended.
func writeTooLate(t *testing.T, call *agenttest.DiscoveryCall) {
	t.Helper()
	select {
	case call.Write <- emptyList:
	case <-call.Ended:
	}
	agenttest.Receive(t, call.Ended, "the end of a call beside the answered one")
}

func TestHedgedWatchFailsWithoutFirstByte(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // takes calls and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	client, results := newClient(t, silent.Addr().String(), Local)
	client.firstByteTimeout, client.hedgeDelay = 50*time.Millisecond, time.Millisecond
	go client.Watch(1, NoRetry)
	if got := next[WatchEnded](t, results); !errors.Is(got.Err, errWatchSilent) || got.Established {
		t.Fatalf("got %+v, want %v and no end after a notice", got, errWatchSilent)
	}
}

func TestHedgedWatchFailsWithOneOfItsCalls(t *testing.T) {
	client, standIn := newHedgedClient(t, time.Second)
	go client.Watch(1, NoRetry)
	first := agenttest.Receive(t, standIn.Calls, "the first call")
	client.hedge <- time.Time{}
	second := agenttest.Receive(t, standIn.Calls, "the second call")
	second.Write <- "no list\n"
	if got := next[WatchEnded](t, client.results); got.Err == nil {
		t.Fatal("got no error, want that of the second call")
	}
	agenttest.Receive(t, first.Ended, "the end of the first call")
}

// Where each call is work for discovery, there is one at a time.
func TestSharedDiscoveryIsCalledOnceAtATime(t *testing.T) {
	client, standIn := newHedgedClient(t, 0)
	go client.Watch(1, NoRetry)
	call := agenttest.Receive(t, standIn.Calls, "the call")
	call.Write <- emptyList
	client.nextVersion(t)
	if len(client.delays) > 0 || len(standIn.Calls) > 0 {
		t.Errorf("got %d waits and %d more calls, want none", len(client.delays), len(standIn.Calls))
	}
}
