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

// heapMB is what the heap holds once what is garbage is collected.
func heapMB() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}

// An agent of a fleet of 1,024 agents whose list names 1,024 servers serves each request, with
// far less memory than the smallest limit that the operators give.
func TestLargeListIsServedWithinTheMemoryLimit(t *testing.T) {
	const servers, agents, requests, limitMB = 1024, 1024, 1000, 32
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.Header.Get("Request-Id"))
	}))
	t.Cleanup(backend.Close)
	dials := make([]string, servers)
	for i := range dials {
		dials[i] = backend.Listener.Addr().String()
	}
	before := heapMB()
	conf := agenttest.Config(nowhere, dials...)
	conf["limits"] = map[string]any{"cores": 1, "memory_mb": limitMB, "sockets": 1024}
	set := conf["settings"].(map[string]any)
	set["replicasOfMe"], set["index"] = agents, agents-1
	a, base, _, _ := start(t, conf)
	conf, dials = nil, nil
	for i := range requests {
		class := []string{"look", "send", "order"}[i%3]
		req := call(base, class)
		req.URL.Path = fmt.Sprintf("/%s/key%d", class, i%700)
		id := req.Header.Get("Request-Id")
		if status, body, _ := do(t, req); status != 200 || strings.TrimSpace(body) != id {
			t.Fatalf("request %d of class %s: answered %d %q", i, class, status, body)
		}
	}
	if grown := heapMB() - before; grown > limitMB/2 {
		t.Errorf("the heap has grown by %.1f MB, the limit is %d MB", grown, limitMB)
	}
	runtime.KeepAlive(a)
}
