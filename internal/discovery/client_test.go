package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

func TestFetchRejectsAnythingButAWholeList(t *testing.T) {
	for _, c := range []struct {
		name, text string
		fails      bool
	}{
		{"whole list", strings.Replace(agenttest.EndpointChange, "false", "true", 1), false},
		{"change of a list", agenttest.EndpointChange, true},
		{"no JSON", "no list", true},
		{"empty object", `{}`, true},
		{"null", `null`, true},
		{"object of another kind", `{"error":"later"}`, true},
		{"list without hosts", `{"seq":9,"whole":true}`, true},
		{"empty array", `[]`, true},
		{"number", `7`, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, results := newClient(t, agenttest.ServeLines(t, false, c.text), Shared)
			client.Fetch(NoRetry)
			got := next[Fetched](t, results)
			if failed := got.Err != nil; failed != c.fails {
				t.Fatalf("got error %v, want one: %v", got.Err, c.fails)
			}
			if !c.fails && (!got.List.Whole || got.List.Seq != 2) {
				t.Fatalf("got list %+v, want whole list 2", got.List)
			}
		})
	}
}

// The parsed header of a response takes many times as much memory as its text, so the text is bounded.
func TestFetchRejectsALongHeader(t *testing.T) {
	for lines, fails := range map[int]bool{100: false, maxHeaderBytes / len("X: \r\n"): true} {
		addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
			if _, err := agenttest.ReadRequest(reader); err != nil {
				return
			}
			body := strings.Replace(agenttest.EndpointChange, "false", "true", 1)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(body), strings.Repeat("X: \r\n", lines), body)
		})
		client, results := newClient(t, addr, Shared)
		client.Fetch(NoRetry)
		if got := next[Fetched](t, results); (got.Err != nil) != fails {
			t.Errorf("%d lines: got error %v, want one: %v", lines, got.Err, fails)
		}
	}
}

// The configuration alone sets the address of discovery.
func TestWatchDoesNotFollowRedirects(t *testing.T) {
	elsewhere := agenttest.NewDiscovery(t)
	server := httptest.NewServer(http.RedirectHandler("http://"+elsewhere.Addr, http.StatusFound))
	defer server.Close()
	client, results := newClient(t, server.Listener.Addr().String(), Shared)
	client.Watch(1, NoRetry)
	if got := next[WatchEnded](t, results); got.Err == nil || len(elsewhere.Calls) > 0 {
		t.Fatalf("got error %v and %d calls elsewhere, want an error and none", got.Err, len(elsewhere.Calls))
	}
}

// The decision module's backoff must not delay the first calls to a new discovery.
func TestWatchOfNewDiscoveryIsRetried(t *testing.T) {
	calls := make(chan struct{}, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- struct{}{}
		if len(calls) < 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Write([]byte(agenttest.EndpointChange))
	}))
	t.Cleanup(server.Close)
	client, results := newClient(t, server.Listener.Addr().String(), Shared)
	client.Watch(0, RetryNewDiscovery)
	if got := next[WatchEvent](t, results).List.Seq; got != 2 {
		t.Fatalf("got list %d, want 2", got)
	}
	next[WatchEnded](t, results)
}

// blockedDial is a dial that lasts until its context ends.
type blockedDial struct{ began, ended chan struct{} }

// blockDials makes the client's only dial last until its context ends.
func blockDials(client *Client) blockedDial {
	blocked := blockedDial{began: make(chan struct{}), ended: make(chan struct{})}
	client.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(blocked.began)
		<-ctx.Done()
		close(blocked.ended)
		return nil, ctx.Err()
	}
	return blocked
}

// hasBegun reports whether the dial has begun.
func (d blockedDial) hasBegun() bool {
	select {
	case <-d.began:
		return true
	default:
		return false
	}
}

// watchDuringDial runs watches until the timeout of one ends it after its dial has begun, and returns
// that dial and the error of the watch. A timeout that is over before makes no dial, so it is doubled.
func watchDuringDial(t *testing.T) (blockedDial, error) {
	for timeout := time.Millisecond; ; timeout *= 2 {
		client, results := newClient(t, refusing, Shared)
		blocked := blockDials(client)
		client.firstByteTimeout = timeout
		go client.Watch(1, NoRetry)
		if err := next[WatchEnded](t, results).Err; blocked.hasBegun() {
			return blocked, err
		}
	}
}

// fetchDuringDial runs a fetch whose client is closed during its dial, and returns that dial and the
// error of the fetch.
func fetchDuringDial(t *testing.T) (blockedDial, error) {
	client, results := newClient(t, refusing, Shared)
	blocked := blockDials(client)
	go client.Fetch(NoRetry)
	<-blocked.began
	client.Close()
	return blocked, next[Fetched](t, results).Err
}

// While discovery is cut off from the network, connects get no response. If the dial outlived its
// call, each call would hold a descriptor for minutes.
func TestCancelledCallStopsDialling(t *testing.T) {
	for name, call := range map[string]func(*testing.T) (blockedDial, error){"watch": watchDuringDial, "fetch": fetchDuringDial} {
		t.Run(name, func(t *testing.T) {
			blocked, err := call(t)
			if err == nil {
				t.Fatal("got no error, want that of a cancelled call")
			}
			agenttest.Receive(t, blocked.ended, "the end of the dial")
		})
	}
}

func TestNewSetsTimeoutsByPlacement(t *testing.T) {
	for _, c := range []struct {
		name      string
		placement Placement
		hedge     time.Duration
	}{{"local", Local, localHedgeDelay}, {"shared", Shared, 0}} {
		t.Run(c.name, func(t *testing.T) {
			client := New(t.Context(), refusing, c.placement, nil)
			if client.hedgeDelay != c.hedge || client.firstByteTimeout != firstByteTimeout || client.idleTimeout != WatchIdleTimeout {
				t.Errorf("got a hedge delay, a first byte timeout and an idle timeout of %v, %v and %v, want %v, %v and %v", client.hedgeDelay, client.firstByteTimeout, client.idleTimeout,
					c.hedge, firstByteTimeout, WatchIdleTimeout)
			}
		})
	}
}

func TestCloseEndsCalls(t *testing.T) {
	server := agenttest.NewDiscovery(t)
	client, results := newClient(t, server.Addr, Shared)
	go client.Watch(1, NoRetry)
	call := agenttest.Receive(t, server.Calls, "the call of the watch")
	select {
	case <-client.Done():
		t.Fatal("got a closed client, want an open one")
	default:
	}
	client.Close()
	if got := next[WatchEnded](t, results).Err; !errors.Is(got, context.Canceled) {
		t.Errorf("got error %v, want %v", got, context.Canceled)
	}
	agenttest.Receive(t, call.Ended, "the end of the call")
	agenttest.Receive(t, client.Done(), "the end of all calls")
}
