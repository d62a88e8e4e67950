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

// A list without changes still notifies the module that discovery works. Otherwise earlier failures
// would keep adding to the backoff, and a watch that ends would be opened again only seconds later.
func TestUnchangedListResetsBackoff(t *testing.T) {
	conf := agenttest.Config(refusingAddr)
	conf["settings"].(map[string]any)["membershipMode"] = policy.MembershipOnRequest
	withoutList, withList := backoffAfterFailures(t, conf, false), backoffAfterFailures(t, conf, true)
	if withoutList < time.Second || withList > time.Second {
		t.Fatalf("got a backoff of %v, and %v after an unchanged list, want at least 1 s and at most 1 s", withoutList, withList)
	}
}

// backoffAfterFailures returns the module's delay before its next call after seven failures. If
// listBeforeLast is set, a list without changes arrives before the last failure.
func backoffAfterFailures(t *testing.T, conf map[string]any, listBeforeLast bool) time.Duration {
	t.Helper()
	l, err := newLoop(t.Context(), parseConfig(t, conf), slog.New(slog.DiscardHandler))
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

// A discovery on the agent's own machine answers at once, so a call without a response is given up
// soon. A discovery that all agents share serves calls in turn.
func TestDiscoveryPlacementFollowsMembershipMode(t *testing.T) {
	for mode, want := range map[string]discovery.Placement{policy.MembershipPushed: discovery.Local,
		policy.MembershipOnRequest: discovery.Shared} {
		t.Run(mode, func(t *testing.T) {
			conf := agenttest.Config(refusingAddr)
			conf["settings"].(map[string]any)["membershipMode"] = mode
			a, _, _, _ := startAgent(t, conf)
			a.inspect(func(l *loop) {
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

// The generation distinguishes the results of one discovery client from those of another.
func TestDiscoveryResultsCarryTheirGeneration(t *testing.T) {
	l := newTestLoop(t)
	deliver := l.discoveryResults(3)
	list := newList(7, true)
	for _, c := range []struct {
		result discovery.Result
		want   input
	}{
		{discovery.Fetched{List: list, Err: io.EOF}, endpointsFetched{generation: 3, list: list, err: io.EOF}},
		{discovery.WatchEvent{List: list}, watchEvent{generation: 3, list: list}},
		{discovery.WatchEnded{Err: io.EOF, Established: true}, watchEnded{generation: 3, err: io.EOF, established: true}},
	} {
		t.Run(fmt.Sprintf("%T", c.result), func(t *testing.T) {
			deliver(c.result)
			if got := <-l.inputs; !reflect.DeepEqual(got, c.want) {
				t.Errorf("got input %+v, want %+v", got, c.want)
			}
		})
	}
}
