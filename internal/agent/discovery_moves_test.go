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

// Several reloads follow each other, and each changes the discovery address. The last one returns
// to the first address. The calls to each previous discovery end, and only the results of the last
// one are used.
func TestReloadsEndPreviousDiscoveries(t *testing.T) {
	l, err := newLoop(t.Context(), parseConfig(t, agenttest.Config("127.0.0.1:1", "127.0.0.1:9")), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	l.handle(watchEvent{list: newList(7, true, endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:9", Health: "ready"})})
	var previous []*discovery.Client
	for _, addr := range []string{"127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:1"} {
		previous = append(previous, l.watch.discovery)
		if err := l.reload(parseConfig(t, agenttest.Config(addr, "127.0.0.1:9"))); err != nil {
			t.Fatal(err)
		}
	}
	draining := endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:9", Health: "draining"}
	for generation, client := range previous {
		select {
		case <-client.Done():
		default:
			t.Fatalf("got calls of %s still in progress, want them ended", client.Addr())
		}
		for _, in := range []input{
			watchEvent{generation: generation, list: newList(100, true, draining)},
			endpointsFetched{generation: generation, list: newList(100, true, draining)},
			watchEnded{generation: generation},
		} {
			l.handle(in)
		}
		if b := l.backends[endpointlist.AddressOf("s-0")]; b == nil || !b.usable || l.watch.listVersion != 0 || !l.watch.watching || !l.watch.fetching {
			t.Fatalf("got a change by a result of %s, want none after the discovery address has changed", client.Addr())
		}
	}
	if now := l.watch.discovery; now.Addr() != "127.0.0.1:1" || now.Placement() != discovery.Local {
		t.Fatalf("got a discovery at %s of placement %v, want 127.0.0.1:1 and %v", now.Addr(), now.Placement(), discovery.Local)
	}
	// A lower version than before, as the versions may have restarted.
	l.handle(watchEvent{generation: l.watch.generation, list: newList(3, true, draining)})
	if b := l.backends[endpointlist.AddressOf("s-0")]; l.watch.listVersion != 3 || b != nil && b.usable {
		t.Fatalf("got list version %d and backend %+v, want 3 and none that is usable", l.watch.listVersion, b)
	}
	l.watch.discovery.Close()
}

// A backend that a list removes from use receives no new attempt once the list is applied, however
// long the agent was suspended before. Attempts that have not begun never do, and later ones go to
// other backends.
func TestEndpointListWithdrawsAttemptsNotBegun(t *testing.T) {
	for name, list := range map[string]endpointlist.List{
		"draining":     newList(2, false, endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:1", Health: "draining"}),
		"gone":         newList(2, false, endpointlist.Host{Host: "s-0", Health: "gone"}),
		"not in whole": newList(2, true),
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLoop(t, "127.0.0.1:1")
			b := l.backends[endpointlist.AddressOf("s-0")]
			waiting := newTestAttempt(b)
			l.handle(watchEvent{list: list})
			if res := waiting.Run(); res.Status != policy.StatusRejected { // withdrawn, as its backend drains
				t.Fatalf("got status %d for an attempt that had not begun before the list, want it withdrawn", res.Status)
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

// A watch that is opened again asks for the changes since the current list, whatever ended the
// last watch. So does the first watch of a process. The whole list is requested only from a new
// discovery.
func TestWatchResumesFromCurrentList(t *testing.T) {
	calls := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RequestURI() // the watch ends with the return
	}))
	t.Cleanup(server.Close)
	l, err := newLoop(t.Context(), parseConfig(t, agenttest.Config(server.Listener.Addr().String(), "127.0.0.1:1")), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for i, established := range []bool{true, false, true, false} {
		seq := int64(5 + i)
		l.handle(watchEvent{list: newList(seq, false)})
		l.handle(watchEnded{err: io.EOF, established: established})
		l.actions = append(l.actions[:0], policy.OpenWatch())
		l.executeActions()
		if l.watch.fetching || !l.watch.watching {
			t.Fatalf("got fetching %v and watching %v, want only a watch", l.watch.fetching, l.watch.watching)
		}
		got, want := agenttest.Receive(t, calls, "a watch"), fmt.Sprint("/v1/endpoints?follow=1&since=", seq)
		if got != want {
			t.Fatalf("got call %s, want %s", got, want)
		}
	}
}
