package controlplane

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"ploverreel/internal/endpointlist"
)

// A reader with a version that the store has had gets the changes since then. A reader with any
// other version gets the whole list.
func TestEndpointStoreServesChangesSinceKnownVersion(t *testing.T) {
	host := func(i int, health string) endpointlist.Host {
		return endpointlist.Host{Host: serverName(i), Health: health}
	}
	store := newEndpointStore(nil)
	store.apply(&endpointlist.List{Seq: 5, Whole: true, Hosts: []endpointlist.Host{host(0, "ready"), host(1, "ready")}})
	store.apply(&endpointlist.List{Seq: 6, Hosts: []endpointlist.Host{host(0, "gone")}})
	store.apply(&endpointlist.List{Seq: 7, Hosts: []endpointlist.Host{host(2, "ready")}})
	for _, c := range []struct {
		since int64
		whole bool
		names string
	}{
		{0, true, "1 2"}, {4, true, "1 2"}, {5, false, "0 2"}, {6, false, "2"}, {7, false, ""}, {8, true, "1 2"},
	} {
		for range 2 { // the second call returns the cached list
			text, seq, err := store.encodedList(0, c.since)
			var l endpointlist.List
			if err == nil {
				err = json.Unmarshal(text, &l)
			}
			if err != nil || seq != 7 || l.Seq != 7 || l.Whole != c.whole {
				t.Fatalf("since %d: got error %v, version %d, list %+v, want version 7, whole %v", c.since, err, seq, l, c.whole)
			}
			var names []string
			for i := range 3 {
				for _, h := range l.Hosts {
					if h.Host == serverName(i) {
						names = append(names, fmt.Sprint(i))
					}
				}
			}
			if got := strings.Join(names, " "); got != c.names || len(names) != len(l.Hosts) {
				t.Errorf("since %d: got servers %q, want %q", c.since, got, c.names)
			}
		}
	}
}
