package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// Guards against an agent that goes over its memory limit because of bodies, or long paths, that wait
// in the loop's queue after their requests were answered: they count until the loop has dropped them.
func TestRequestCountsUntilTheLoopDropsIt(t *testing.T) {
	const requests = 5
	agent, base, _, _ := startAgent(t, agenttest.Config(refusingAddr))
	release := agent.blockLoop()
	size := int64(0)
	for i := range requests {
		req := newClientRequest(base, "order")
		if i == 0 {
			req.Body, req.ContentLength = nil, 0
			req.URL.Path += strings.Repeat("x", minReservedBytes)
		}
		size += req.ContentLength + int64(len(req.URL.Path))
		req.Header.Set("Request-Timeout", "50m")
		if status, _, _ := do(t, req); status != http.StatusGatewayTimeout {
			t.Errorf("got status %d while the loop is blocked, want %d", status, http.StatusGatewayTimeout)
		}
	}
	if got := agent.memory.used.Load(); got != size {
		t.Errorf("got %d bytes counted, want %d", got, size)
	}
	close(release)
	agenttest.Eventually(t, "all requests dropped", func() bool { return agent.memory.used.Load() == 0 })
}

// The loop releases the memory of each request that it gets, also of one that it doesn't pass on, and
// of one whose handling panics.
func TestLoopReleasesRequestMemory(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:1")
	var memory requestMemory
	arrive := func(id string, change func(*request)) {
		arrived := newLoopRequest(l.config, id, time.Now().Add(agenttest.LongTimeout))
		arrived.memory, _ = memory.reserve(1, 10)
		change(arrived)
		l.handle(requestArrived{request: arrived})
		l.handle(clientDisconnected{request: arrived})
		for arrived.inFlight > 0 {
			l.handle(<-l.inputs)
			l.handleFollowUps()
		}
	}
	arrive("same", func(*request) {})
	arrive("same", func(*request) {})
	arrive("unknown class", func(arrived *request) {
		other := *l.config
		arrived.config, arrived.class = &other, 0
		other.Settings.Classes = append(other.Settings.Classes[:0:0], other.Settings.Classes...)
		other.Settings.Classes[0].Name = "removed"
	})
	arrive("panic", func(arrived *request) { arrived.config = nil })
	if got := memory.used.Load(); got != 0 {
		t.Errorf("got %d bytes that count, want none", got)
	}
}

// A request above the limit is not reserved. A reservation is freed by its last holder.
func TestMemoryReservationIsFreedByItsLastHolder(t *testing.T) {
	var memory requestMemory
	reserved, ok := memory.reserve(7, 10)
	if !ok || memory.used.Load() != 7 {
		t.Fatalf("got ok %v, %d bytes; want true, 7", ok, memory.used.Load())
	}
	if _, ok := memory.reserve(4, 10); ok || memory.used.Load() != 7 {
		t.Errorf("above the limit: got ok %v, %d bytes; want false, 7", ok, memory.used.Load())
	}
	reserved.hold()
	if reserved.release(); memory.used.Load() != 7 {
		t.Errorf("got %d bytes with a holder left, want 7", memory.used.Load())
	}
	if reserved.release(); memory.used.Load() != 0 {
		t.Errorf("got %d bytes without a holder, want 0", memory.used.Load())
	}
	var none *memoryReservation
	none.hold()
	none.release()
}

// A panic while a body is read doesn't keep its memory reserved.
func TestPanicInBodyReleasesRequestMemory(t *testing.T) {
	agent := newAgent(t, agenttest.Config(refusingAddr))
	w := httptest.NewRecorder()
	serveRequest(t, agent, w, withBody(handlerRequest("30000m"), panickingBody{}))
	if got := agent.memory.used.Load(); w.Code != http.StatusInternalServerError || got != 0 {
		t.Errorf("got status %d and %d bytes counted, want 500 and none", w.Code, got)
	}
}
