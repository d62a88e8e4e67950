package agent

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/backend"
	"ploverreel/policy"
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

// run begins a request that ends at once and may have run. It reports whether the id was new.
func (s *seenIDs) run(id string, now time.Time) bool {
	isNew := s.begin(id, now)
	if isNew {
		s.end(id, true, now)
	}
	return isNew
}

// Ids of requests that may have run are known for the retention, and forgotten some time after it.
func TestSeenIDsKeepsIDsForRetention(t *testing.T) {
	ids, now := newSeenIDs(time.Second), time.Now()
	if !ids.run("a", now) || ids.run("a", now.Add(900*time.Millisecond)) || ids.run("a", now.Add(1500*time.Millisecond)) {
		t.Fatal("got an id accepted twice within the retention, want it known")
	}
	if !ids.run("b", now.Add(2*time.Second)) || !ids.run("a", now.Add(4*time.Second)) || len(ids.current)+len(ids.previous) > 2 {
		t.Fatal("got an id known after the retention, want it forgotten")
	}
}

// Guards against an open request that runs a second time because its id was forgotten among the ids
// of many others, and against the same for a request that has run, if the others have not.
func TestSeenIDsKeepsOpenIDsInAFlood(t *testing.T) {
	ids, now := newSeenIDs(time.Second), time.Now()
	ids.begin("open", now)
	ids.run("ran", now)
	for i := range 3 * maxIDsPerGeneration {
		id := fmt.Sprint("rejected", i)
		if !ids.begin(id, now) {
			t.Fatalf("%s: got known, want new", id)
		}
		ids.end(id, false, now)
	}
	if ids.begin("ran", now) || len(ids.current) != 1 {
		t.Errorf("got an id new that ran, among %d known, want it known alone", len(ids.current))
	}
	for i := range 3 * maxIDsPerGeneration {
		ids.run(fmt.Sprint("flood", i), now)
	}
	if ids.begin("open", now) {
		t.Error("got the id of an open request new, want it known")
	}
	ids.end("open", false, now)
	if !ids.begin("open", now) || len(ids.open) != 1 {
		t.Error("got the id of an ended request that never ran known, want it new")
	}
}

// The ids of open requests are always known, and no other than those that were stored: random
// arrivals and ends against a plain set of ids.
func TestSeenIDsFollowsOpenRequests(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	ids, now := newSeenIDs(time.Minute), time.Now()
	open, ran := map[string]bool{}, map[string]bool{} // all within the retention
	for range 20_000 {
		now = now.Add(time.Millisecond)
		id := fmt.Sprint(random.IntN(500))
		switch known := open[id] || ran[id]; {
		case open[id] && random.IntN(2) == 0:
			mayHaveRun := random.IntN(50) == 0
			ids.end(id, mayHaveRun, now)
			delete(open, id)
			ran[id] = mayHaveRun
		case ids.begin(id, now) == known:
			t.Fatalf("id %s: got new %v, want %v", id, known, !known)
		case !known:
			open[id] = true
		}
	}
}

// The memory for ids is bounded however many arrive, and the latest ids are known.
func TestSeenIDsIsBounded(t *testing.T) {
	ids, now := newSeenIDs(agenttest.LongTimeout), time.Now()
	for i := range 5 * maxIDsPerGeneration {
		if !ids.run(fmt.Sprint(i), now) {
			t.Fatalf("id %d: got known, want new", i)
		}
		if n := len(ids.current) + len(ids.previous); n > 2*maxIDsPerGeneration {
			t.Fatalf("got %d ids stored, want at most %d", n, 2*maxIDsPerGeneration)
		}
	}
	for i := 4 * maxIDsPerGeneration; i < 5*maxIDsPerGeneration; i++ {
		if ids.run(fmt.Sprint(i), now) {
			t.Fatalf("id %d of the latest: got new, want known", i)
		}
	}
}

// Guards against an id that is forwarded a second time while an attempt of its request is out:
// because others displaced it, or because its client has left. The id stays known after the attempt,
// as the request may have run.
func TestIDIsKnownUntilItsAttemptsEnd(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint("client leaves ", leaves), func(t *testing.T) {
			addr, _ := agenttest.ByteCountingBackend(t)
			l := newTestLoop(t, addr)
			arrive := func() *request {
				arrived := newLoopRequest(l.config, "open", time.Now().Add(agenttest.LongTimeout))
				l.handle(requestArrived{request: arrived})
				return arrived
			}
			first := arrive()
			if first.inFlight != 1 {
				t.Fatalf("got %d attempts in flight, want 1", first.inFlight)
			}
			if leaves {
				l.handle(clientDisconnected{request: first})
			}
			for i := range 3 * maxIDsPerGeneration {
				l.seenIDs.run(fmt.Sprint("flood", i), time.Now())
			}
			checkDuplicate(t, arrive(), "while the first attempt is out")
			l.handle(attemptEnded{attempt: first.attempts[0], result: backend.Result{Status: policy.StatusTimeout}})
			if !leaves {
				l.handle(clientDisconnected{request: first})
			}
			if len(l.requests) != 0 || len(l.seenIDs.open) != 0 {
				t.Fatalf("got %d requests and %d ids open, want none", len(l.requests), len(l.seenIDs.open))
			}
			checkDuplicate(t, arrive(), "after an attempt that may have run")
		})
	}
}

// checkDuplicate checks that a request was rejected because of its id.
func checkDuplicate(t *testing.T, request *request, when string) {
	t.Helper()
	select {
	case got := <-request.responses:
		if got.status != statusDuplicateID {
			t.Errorf("%s: got status %d, want %d", when, got.status, statusDuplicateID)
		}
	default:
		t.Errorf("%s: got a request with the same id accepted, want it rejected", when)
	}
}
