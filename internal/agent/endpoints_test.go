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
func TestListWithoutNewsEndsTheBackoff(t *testing.T) {
	conf := agenttest.Config(nowhere)
	conf["settings"].(map[string]any)["membershipMode"] = policy.MembershipOnRequest
	silent, heard := backoffAfterFailures(t, conf, false), backoffAfterFailures(t, conf, true)
	if silent < time.Second || heard > time.Second {
		t.Fatalf("got a backoff of %v, and %v after a list without news, want at least and at most a second", silent, heard)
	}
}

// backoffAfterFailures returns how long the module waits for its next call after seven failed ones,
// before the last of which a list without news came, or none did.
func backoffAfterFailures(t *testing.T, conf map[string]any, listBeforeLast bool) time.Duration {
	t.Helper()
	l, err := newLoop(t.Context(), parse(t, conf), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	failed := watchEnded{err: io.EOF}
	for range 6 {
		l.handle(failed)
	}
	if listBeforeLast {
		l.handle(watchEvent{list: endpointlist.List{Seq: l.watch.listVersion, Hosts: []endpointlist.Host{}}})
	}
	l.handle(failed)
	for _, action := range l.actions {
		if action.Kind == policy.ActionSetTimer {
			return config.Milliseconds(action.DelayMs)
		}
	}
	t.Fatalf("got actions %+v, want a timer among them", l.actions)
	return 0
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
	l := newTestLoop(t)
	deliver := l.discoveryResults(3)
	list := listOf(7, true)
	for _, c := range []struct {
		result discovery.Result
		want   input
	}{
		{discovery.Fetched{List: list, Err: io.EOF}, endpointsFetched{generation: 3, list: list, err: io.EOF}},
		{discovery.WatchEvent{List: list}, watchEvent{generation: 3, list: list}},
		{discovery.WatchEnded{Err: io.EOF, Established: true}, watchEnded{generation: 3, err: io.EOF, endedAfterNotice: true}},
	} {
		t.Run(fmt.Sprintf("%T", c.result), func(t *testing.T) {
			deliver(c.result)
			if got := <-l.inputs; !reflect.DeepEqual(got, c.want) {
				t.Errorf("got input %+v, want %+v", got, c.want)
			}
		})
	}
}
