package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"ploverreel/internal/agenttest"
)

// heapMB returns the size of the heap in MB after a garbage collection.
func heapMB() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}

// An agent in a fleet of 1,024 agents, with a list of 1,024 backends, serves each request with far
// less memory than the smallest limit that operators set.
func TestAgentServesLargeListWithinMemoryLimit(t *testing.T) {
	const backends, agents, requests, limitMB = 1024, 1024, 1000, 32
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.Header.Get("Request-Id"))
	}))
	t.Cleanup(backend.Close)
	dials := make([]string, backends)
	for i := range dials {
		dials[i] = backend.Listener.Addr().String()
	}
	before := heapMB()
	conf := agenttest.Config(refusingAddr, dials...)
	conf["limits"] = map[string]any{"cores": 1, "memory_mb": limitMB, "sockets": 1024}
	set := conf["settings"].(map[string]any)
	set["replicasOfMe"], set["index"] = agents, agents-1
	agent, base, _, _ := startAgent(t, conf)
	conf, dials = nil, nil
	for i := range requests {
		class := []string{"look", "send", "order"}[i%3]
		req := newClientRequest(base, class)
		req.URL.Path = fmt.Sprintf("/%s/key%d", class, i%700)
		id := req.Header.Get("Request-Id")
		if status, body, _ := do(t, req); status != 200 || strings.TrimSpace(body) != id {
			t.Fatalf("request %d of class %s: got %d %q, want 200 %q", i, class, status, body, id)
		}
	}
	if grown := heapMB() - before; grown > limitMB/2 {
		t.Errorf("heap has grown by %.1f MB, want at most half of the limit of %d MB", grown, limitMB)
	}
	runtime.KeepAlive(agent)
}
