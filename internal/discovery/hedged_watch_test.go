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

// hedgedClient is a client whose hedge delays the test ends.
type hedgedClient struct {
	*Client
	results chan Result
	hedge   chan time.Time     // a send ends the current hedge delay
	delays  chan time.Duration // the hedge delays so far
}

// newHedgedClient returns a client with this hedge delay, and the test server that it calls.
func newHedgedClient(t *testing.T, hedgeDelay time.Duration) (*hedgedClient, *agenttest.Discovery) {
	t.Helper()
	server := agenttest.NewDiscovery(t)
	client, results := newClient(t, server.Addr, Local)
	hedged := &hedgedClient{client, results, make(chan time.Time), make(chan time.Duration, 16)}
	client.hedgeDelay = hedgeDelay
	client.after = func(delay time.Duration) <-chan time.Time {
		hedged.delays <- delay
		return hedged.hedge
	}
	return hedged, server
}

// nextVersion returns the version of the next list that is delivered.
func (c *hedgedClient) nextVersion(t *testing.T) int64 {
	t.Helper()
	return next[WatchEvent](t, c.results).List.Seq
}

// A slow discovery answers the first call. A discovery that was down answers a later one. In both
// cases the other calls must end and the watch must continue.
func TestHedgedWatchUsesTheCallAnsweredFirst(t *testing.T) {
	for _, answered := range []int{0, 1, 2, 3} {
		t.Run(fmt.Sprint("call ", answered, " is answered"), func(t *testing.T) {
			client, server := newHedgedClient(t, 750*time.Millisecond)
			go client.Watch(1, NoRetry)
			calls := []*agenttest.DiscoveryCall{agenttest.Receive(t, server.Calls, "the first call")}
			for range 3 {
				if got, want := agenttest.Receive(t, client.delays, "a hedge delay"), 750*time.Millisecond; got != want {
					t.Fatalf("got a hedge delay of %v, want %v", got, want)
				}
				client.hedge <- time.Time{}
				calls = append(calls, agenttest.Receive(t, server.Calls, "the next call"))
			}
			calls[answered].Write <- emptyList
			if got := client.nextVersion(t); got != 2 {
				t.Fatalf("got list %d, want 2", got)
			}
			for i, call := range calls {
				if i != answered {
					writeToLosingCall(t, call)
				}
			}
			calls[answered].Write <- `{"seq":3,"whole":false,"hosts":[]}`
			if got := client.nextVersion(t); got != 3 {
				t.Fatalf("got list %d, want 3", got)
			}
			if len(client.delays) > 0 {
				t.Error("got a hedge delay for a fifth call, want none")
			}
		})
	}
}

// writeToLosingCall writes a list to a call that was not answered first, and waits until the call
// ends.
func writeToLosingCall(t *testing.T, call *agenttest.DiscoveryCall) {
	t.Helper()
	select {
	case call.Write <- emptyList:
	case <-call.Ended:
	}
	agenttest.Receive(t, call.Ended, "the end of a call that was not answered first")
}

func TestHedgedWatchFailsWithoutFirstByte(t *testing.T) {
	unanswering, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer unanswering.Close()
	client, results := newClient(t, unanswering.Addr().String(), Local)
	client.firstByteTimeout, client.hedgeDelay = 50*time.Millisecond, time.Millisecond
	go client.Watch(1, NoRetry)
	if got := next[WatchEnded](t, results); !errors.Is(got.Err, errWatchIdle) || got.Established {
		t.Fatalf("got %+v, want %v and a watch that was not established", got, errWatchIdle)
	}
}

func TestHedgedWatchFailsWithOneOfItsCalls(t *testing.T) {
	client, server := newHedgedClient(t, time.Second)
	go client.Watch(1, NoRetry)
	first := agenttest.Receive(t, server.Calls, "the first call")
	client.hedge <- time.Time{}
	second := agenttest.Receive(t, server.Calls, "the second call")
	second.Write <- "no list\n"
	if got := next[WatchEnded](t, client.results); got.Err == nil {
		t.Fatal("got no error, want that of the second call")
	}
	agenttest.Receive(t, first.Ended, "the end of the first call")
}

// Calls to a shared discovery cost it work, so they are not hedged.
func TestSharedDiscoveryIsCalledOnceAtATime(t *testing.T) {
	client, server := newHedgedClient(t, 0)
	go client.Watch(1, NoRetry)
	call := agenttest.Receive(t, server.Calls, "the call")
	call.Write <- emptyList
	client.nextVersion(t)
	if len(client.delays) > 0 || len(server.Calls) > 0 {
		t.Errorf("got %d hedge delays and %d more calls, want none", len(client.delays), len(server.Calls))
	}
}
