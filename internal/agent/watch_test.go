package agent

import (
	"fmt"
	"io"
	"log/slog"
	"reflect"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/config"
	"ploverreel/internal/discovery"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// A list that brings nothing new still notifies the module that discovery is there: else the failures
// of a discovery that was down go on counting, and a watch that ends is opened again seconds later.
func TestNothingNewEndsTheFailures(t *testing.T) {
	conf := agenttest.Config(nowhere)
	conf["settings"].(map[string]any)["membershipMode"] = "on_request"
	c := parse(t, conf)
	wait := func(posted bool) time.Duration {
		l, err := newLoop(t.Context(), c, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		failed := watchEnded{err: io.EOF}
		for range 6 {
			l.handle(failed)
		}
		if posted {
			l.handle(watchEvent{list: endpointlist.List{Seq: l.watch.listVersion, Hosts: []endpointlist.Host{}}})
		}
		l.handle(failed)
		for _, a := range l.actions {
			if a.Kind == policy.ActionSetTimer {
				return config.Milliseconds(a.DelayMs)
			}
		}
		t.Fatalf("no call follows: %+v", l.actions)
		return 0
	}
	if before, now := wait(false), wait(true); before < time.Second || now > time.Second {
		t.Fatalf("a failed call waits for %v, and %v once discovery spoke", before, now)
	}
}

// A discovery on the agent's own machine answers at once, so a call to which nothing comes is given up
// soon. Where it is one service for all agents, calls wait in turn.
func TestDiscoveryIsPlacedByMembership(t *testing.T) {
	for mode, want := range map[string]discovery.Placement{policy.MembershipPushed: discovery.Local,
		policy.MembershipOnRequest: discovery.Shared} {
		t.Run(mode, func(t *testing.T) {
			conf := agenttest.Config(nowhere)
			conf["settings"].(map[string]any)["membershipMode"] = mode
			a, _, _, _ := start(t, conf)
			a.look(func(l *loop) {
				if got := l.watch.discovery.Placement(); got != want {
					t.Errorf("got placement %v, want %v", got, want)
				}
				l.switchDiscovery("127.0.0.1:2")
				if got := l.watch.discovery.Placement(); got != want {
					t.Errorf("got placement %v after a change of discovery, want %v", got, want)
				}
			})
		})
	}
}

// The loop tells the results of one discovery from those of another by their generation.
func TestDiscoveryResultsCarryTheirGeneration(t *testing.T) {
	l := quietLoop(t)
	deliver := l.discoveryResults(3)
	list := listOf(7, true)
	for _, c := range []struct {
		result discovery.Result
		want   input
	}{
		{discovery.Fetched{List: list, Err: io.EOF}, endpointsFetched{generation: 3, list: list, err: io.EOF}},
		{discovery.WatchEvent{List: list}, watchEvent{generation: 3, list: list}},
		{discovery.WatchEnded{Err: io.EOF, EndedAfterNotice: true}, watchEnded{generation: 3, err: io.EOF, endedAfterNotice: true}},
	} {
		t.Run(fmt.Sprintf("%T", c.result), func(t *testing.T) {
			deliver(c.result)
			if got := <-l.inputs; !reflect.DeepEqual(got, c.want) {
				t.Errorf("got input %+v, want %+v", got, c.want)
			}
		})
	}
}
