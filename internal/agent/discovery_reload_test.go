package agent

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"ploverreel/internal/endpointlist"
)

// reloadTo reloads the loop's configuration with another discovery address.
func reloadTo(t *testing.T, l *loop, discovery string) {
	t.Helper()
	next, done := *l.config, make(chan error, 1)
	next.Discovery = discovery
	l.handle(reloadRequested{config: &next, done: done})
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// The agent watches a new discovery and fetches from it at once, and ignores late results of the
// old one. List versions of the new one may be lower. Backends stay known meanwhile.
func TestReloadSwitchesDiscovery(t *testing.T) {
	calls := make(chan string, 10)
	discoveryServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		<-r.Context().Done()
	}))
	t.Cleanup(discoveryServer.Close)
	loop := newTestLoop(t, "127.0.0.1:1", "127.0.0.1:2")
	loop.watch.listVersion = 41
	before := loop.backends[endpointlist.AddressOf("s-0")].conns
	loop.watch.fetching, loop.watch.watching = true, true
	reloadTo(t, loop, discoveryServer.Listener.Addr().String())
	t.Cleanup(loop.watch.discovery.Close)
	if got := map[string]bool{<-calls: true, <-calls: true}; !got[""] || !got["follow=1&since=0"] {
		t.Fatalf("got calls %v, want a fetch and a watch from version 0", got)
	}
	endpoint := endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:1", Health: "draining"}
	loop.handle(watchEvent{list: newList(42, false, endpoint)})
	loop.handle(watchEnded{err: io.EOF})
	loop.handle(endpointsFetched{list: newList(42, true, endpoint)})
	if !loop.watch.watching || !loop.watch.fetching || !loop.backends[endpointlist.AddressOf("s-0")].usable || loop.backends[endpointlist.AddressOf("s-0")].conns != before {
		t.Fatal("a late result of the old discovery was applied, want it ignored")
	}
	loop.handle(watchEvent{list: newList(3, false, endpoint), generation: 1})
	if b := loop.backends[endpointlist.AddressOf("s-0")]; b != nil && b.usable || loop.watch.listVersion != 3 {
		t.Fatalf("got version %d, want that of the new discovery, 3", loop.watch.listVersion)
	}
	disc := loop.watch.discovery
	if reloadTo(t, loop, disc.Addr()); loop.watch.discovery != disc {
		t.Fatal("discovery client was replaced by one of the same address, want it kept")
	}
}
