package agent

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// New configurations in quick succession, each of which moves discovery, the last one back to the
// first address: the calls of each end with it, and only what the last one delivers counts.
func TestDiscoveryMovesInQuickSuccession(t *testing.T) {
	l, err := newLoop(t.Context(), parse(t, agenttest.Config("127.0.0.1:1", "127.0.0.1:9")), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	l.handle(watchEvent{list: listOf(7, true, endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:9", Health: "ready"})})
	var former []*discovery
	for _, addr := range []string{"127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:1"} {
		former = append(former, l.watch.discovery)
		if err := l.reload(parse(t, agenttest.Config(addr, "127.0.0.1:9"))); err != nil {
			t.Fatal(err)
		}
	}
	draining := endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:9", Health: "draining"}
	for _, d := range former {
		if d.ctx.Err() == nil {
			t.Fatalf("the calls of %s go on", d.addr)
		}
		for _, in := range []input{
			watchEvent{generation: d.generation, list: listOf(100, true, draining)},
			endpointsFetched{generation: d.generation, list: listOf(100, true, draining)},
			watchEnded{generation: d.generation},
		} {
			l.handle(in)
		}
		if b := l.backends[endpointlist.AddressOf("s-0")]; b == nil || !b.usable || l.watch.listVersion != 0 || !l.watch.watching || !l.watch.fetching {
			t.Fatalf("what %s delivers counts, though discovery has moved", d.addr)
		}
	}
	if l.watch.discovery.addr != "127.0.0.1:1" || l.watch.discovery.hedgeAfter != localHedgeDelay {
		t.Fatalf("asks %s within %v", l.watch.discovery.addr, l.watch.discovery.hedgeAfter)
	}
	// A lower version than the first time, as it may have begun anew.
	l.handle(watchEvent{generation: l.watch.discovery.generation, list: listOf(3, true, draining)})
	if b := l.backends[endpointlist.AddressOf("s-0")]; l.watch.listVersion != 3 || b != nil && b.usable {
		t.Fatal("what the discovery now called delivers does not count")
	}
	l.watch.discovery.close()
}

// What a list takes from use gets nothing from the moment that it is applied, however long the agent
// was suspended before: what has not begun never does, and all that begins later goes elsewhere.
func TestHeldUpListWithdraws(t *testing.T) {
	for name, list := range map[string]endpointlist.List{
		"draining":     listOf(2, false, endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:1", Health: "draining"}),
		"gone":         listOf(2, false, endpointlist.Host{Host: "s-0", Health: "gone"}),
		"not in whole": listOf(2, true),
	} {
		t.Run(name, func(t *testing.T) {
			l := quietLoop(t, "127.0.0.1:1")
			b := l.backends[endpointlist.AddressOf("s-0")]
			waits := newAttempt(b.conns, http.MethodPost, agenttest.Never)
			b.attempts[waits] = struct{}{}
			l.handle(watchEvent{list: list})
			if waits.begin() {
				t.Fatal("an attempt begins after the list")
			}
			l.notify(&policy.RequestArrived{Request: 99, TimeLeftMs: 1000})
			for _, a := range l.actions {
				if a.Kind == policy.ActionSendAttempt {
					t.Fatalf("sends %+v", a)
				}
			}
		})
	}
}

// A watch that is opened anew asks for what changed since the list at hand, whatever ended it, and
// so does the first one of a process: the whole list is asked for only of a discovery that is new.
func TestWatchesAskForChangesAlone(t *testing.T) {
	l := quietLoop(t, "127.0.0.1:1")
	asked := make(chan string, 10)
	l.watch.discovery.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go func() {
			defer theirs.Close()
			if r, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
				asked <- r.URL.RequestURI()
			}
		}()
		return ours, nil
	}
	for i, lost := range []bool{true, false, true, false} {
		seq := int64(5 + i)
		l.handle(watchEvent{list: listOf(seq, false)})
		l.handle(watchEnded{err: errWatchSilent, endedAfterNotice: lost})
		l.actions = append(l.actions[:0], policy.OpenWatch())
		l.perform()
		if l.watch.fetching || !l.watch.watching {
			t.Fatal("fetches the whole list, or watches no more")
		}
		select {
		case got := <-asked:
			if want := fmt.Sprint("/v1/endpoints?follow=1&since=", seq); got != want {
				t.Fatalf("asked %s, want %s", got, want)
			}
		case <-time.After(agenttest.NoAnswerTimeout):
			t.Fatal("opened no watch")
		}
	}
}
