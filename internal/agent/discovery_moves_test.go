package agent

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/discovery"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// New configurations in quick succession, each of which moves discovery, the last one back to the
// first address: the calls of each end with it, and only what the last one delivers counts.
func TestReloadsThatMoveDiscoveryEndItsCallsAndResults(t *testing.T) {
	l, err := newLoop(t.Context(), parse(t, agenttest.Config("127.0.0.1:1", "127.0.0.1:9")), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	l.handle(watchEvent{list: listOf(7, true, endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:9", Health: "ready"})})
	var former []*discovery.Client
	for _, addr := range []string{"127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:1"} {
		former = append(former, l.watch.discovery)
		if err := l.reload(parse(t, agenttest.Config(addr, "127.0.0.1:9"))); err != nil {
			t.Fatal(err)
		}
	}
	draining := endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:9", Health: "draining"}
	for generation, client := range former {
		select {
		case <-client.Done():
		default:
			t.Fatalf("got calls of %s that go on, want them ended", client.Addr())
		}
		for _, in := range []input{
			watchEvent{generation: generation, list: listOf(100, true, draining)},
			endpointsFetched{generation: generation, list: listOf(100, true, draining)},
			watchEnded{generation: generation},
		} {
			l.handle(in)
		}
		if b := l.backends[endpointlist.AddressOf("s-0")]; b == nil || !b.usable || l.watch.listVersion != 0 || !l.watch.watching || !l.watch.fetching {
			t.Fatalf("got a change by what %s delivers, want none once discovery has moved", client.Addr())
		}
	}
	if now := l.watch.discovery; now.Addr() != "127.0.0.1:1" || now.Placement() != discovery.Local {
		t.Fatalf("got a discovery at %s of placement %v, want 127.0.0.1:1 and %v", now.Addr(), now.Placement(), discovery.Local)
	}
	// A lower version than the first time, as it may have begun anew.
	l.handle(watchEvent{generation: l.watch.generation, list: listOf(3, true, draining)})
	if b := l.backends[endpointlist.AddressOf("s-0")]; l.watch.listVersion != 3 || b != nil && b.usable {
		t.Fatalf("got list version %d and backend %+v, want 3 and none that is usable", l.watch.listVersion, b)
	}
	l.watch.discovery.Close()
}

// What a list takes from use gets nothing from the moment that it is applied, however long the agent
// was suspended before: what has not begun never does, and all that begins later goes elsewhere.
func TestEndpointListWithdrawsAttemptsNotBegun(t *testing.T) {
	for name, list := range map[string]endpointlist.List{
		"draining":     listOf(2, false, endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:1", Health: "draining"}),
		"gone":         listOf(2, false, endpointlist.Host{Host: "s-0", Health: "gone"}),
		"not in whole": listOf(2, true),
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLoop(t, "127.0.0.1:1")
			b := l.backends[endpointlist.AddressOf("s-0")]
			waits := newLoopAttempt(b)
			l.handle(watchEvent{list: list})
			if res := waits.Run(); res.Status != policy.StatusRejected { // not begun, as its backend drains
				t.Fatalf("got status %d of an attempt that had not begun before the list, want it withdrawn", res.Status)
			}
			l.notify(&policy.RequestArrived{Request: 99, TimeLeftMs: 1000})
			for _, a := range l.actions {
				if a.Kind == policy.ActionSendAttempt {
					t.Fatalf("got action %+v, want nothing sent", a)
				}
			}
		})
	}
}

// A watch that is opened anew asks for what changed since the list at hand, whatever ended it, and
// so does the first one of a process: the whole list is asked for only of a discovery that is new.
func TestWatchResumesFromTheListInForce(t *testing.T) {
	calls := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RequestURI() // and the watch ends
	}))
	t.Cleanup(server.Close)
	l, err := newLoop(t.Context(), parse(t, agenttest.Config(server.Listener.Addr().String(), "127.0.0.1:1")), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for i, endedAfterNotice := range []bool{true, false, true, false} {
		seq := int64(5 + i)
		l.handle(watchEvent{list: listOf(seq, false)})
		l.handle(watchEnded{err: io.EOF, endedAfterNotice: endedAfterNotice})
		l.actions = append(l.actions[:0], policy.OpenWatch())
		l.executeActions()
		if l.watch.fetching || !l.watch.watching {
			t.Fatalf("got fetching %v and watching %v, want a watch alone", l.watch.fetching, l.watch.watching)
		}
		got, want := agenttest.Receive(t, calls, "a watch"), fmt.Sprint("/v1/endpoints?follow=1&since=", seq)
		if got != want {
			t.Fatalf("got call %s, want %s", got, want)
		}
	}
}
