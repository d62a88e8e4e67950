package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// A request with the id of a request in progress is rejected, and the first one is forwarded once.
func TestAgentRejectsIDOfRequestInProgress(t *testing.T) {
	received, release := make(chan string, 10), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header.Get("Request-Id")
		<-release
	}))
	t.Cleanup(backend.Close)
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, backend.Listener.Addr().String()))
	first, again := newClientRequest(base, "order"), newClientRequest(base, "order")
	again.Header.Set("Request-Id", first.Header.Get("Request-Id"))
	served := make(chan int, 1)
	go func() {
		resp, err := new(http.Transport).RoundTrip(first)
		if err != nil {
			t.Error(err)
			close(served)
			return
		}
		served <- resp.StatusCode
	}()
	<-received
	if status, _, _ := do(t, again); status != http.StatusConflict {
		t.Errorf("got status %d, want %d", status, http.StatusConflict)
	}
	close(release)
	if status := <-served; status != 200 || len(received) > 0 {
		t.Errorf("got status %d for the first and %d more attempts, want 200 and none", status, len(received))
	}
}

// Ids are known for the retention, and forgotten some time after it.
func TestSeenIDsKeepsIDsForRetention(t *testing.T) {
	ids, now := newSeenIDs(time.Second), time.Now()
	if !ids.add("a", now) || ids.add("a", now.Add(900*time.Millisecond)) || ids.add("a", now.Add(1500*time.Millisecond)) {
		t.Fatal("got an id accepted twice within the retention, want it known")
	}
	if !ids.add("b", now.Add(2*time.Second)) || !ids.add("a", now.Add(4*time.Second)) || len(ids.current)+len(ids.previous) > 2 {
		t.Fatal("got an id known after the retention, want it forgotten")
	}
}

// The memory for ids is bounded however many arrive, and the latest ids are known.
func TestSeenIDsIsBounded(t *testing.T) {
	ids, now := newSeenIDs(agenttest.LongTimeout), time.Now()
	for i := range 5 * maxIDsPerGeneration {
		if !ids.add(fmt.Sprint(i), now) {
			t.Fatalf("id %d: got known, want new", i)
		}
		if n := len(ids.current) + len(ids.previous); n > 2*maxIDsPerGeneration {
			t.Fatalf("got %d ids stored, want at most %d", n, 2*maxIDsPerGeneration)
		}
	}
	for i := 4 * maxIDsPerGeneration; i < 5*maxIDsPerGeneration; i++ {
		if ids.add(fmt.Sprint(i), now) {
			t.Fatalf("id %d of the latest: got new, want known", i)
		}
	}
}
