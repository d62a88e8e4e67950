package agent

import (
	"bufio"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/config"
	"ploverreel/policy"
)

// testClass returns the JSON object of a class in the settings.
func testClass(name, effect string, giveUpMs int) map[string]any {
	return map[string]any{"name": name, "aimMs": 20000, "giveUpMs": giveUpMs, "credit": 1,
		"effect": effect, "group": "all", "keyTtlMs": 20000}
}

// withSettings returns the configuration with some settings replaced.
func withSettings(conf map[string]any, replaced map[string]any) map[string]any {
	conf, settings := maps.Clone(conf), maps.Clone(conf["settings"].(map[string]any))
	maps.Copy(settings, replaced)
	conf["settings"] = settings
	return conf
}

// startGatedBackend starts a backend that answers one request for each item of answer.
func startGatedBackend(t *testing.T) (addr string, received chan string, answer chan struct{}) {
	received, answer = make(chan string, 10), make(chan struct{})
	addr = agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			req, err := agenttest.ReadRequest(reader)
			if err != nil {
				return
			}
			received <- req.URL.Path
			<-answer
			io.WriteString(conn, agenttest.OKResponse)
		}
	})
	return addr, received, answer
}

// A reload applies new classes, limits and sockets at once. Open requests are answered under the
// settings under which they were read, later ones use the new settings, and the agent stays ready.
func TestReloadAppliesSettingsUnderLoad(t *testing.T) {
	addr, received, answer := startGatedBackend(t)
	conf := agenttest.Config(refusingAddr, addr)
	agent, base, _, _ := startAgent(t, conf)
	open := doAsync(t, newClientRequest(base, "order"))
	if got := <-received; got != "/order/u1" {
		t.Fatalf("got a request of %s, want /order/u1", got)
	}
	limits := config.Limits{Sockets: 512}
	next := withSettings(conf, map[string]any{"classes": []any{testClass("fresh", "single_shot", 300000),
		testClass("send", "guarded", 30000), testClass("look", "free", 30000)}})
	next["limits"] = map[string]any{"cores": 1, "memory_mb": 96, "sockets": limits.Sockets}
	if err := agent.Reload(parseConfig(t, next)); err != nil {
		t.Fatalf("got %v, want the configuration applied", err)
	}
	checkStatus(t, base, http.StatusNotFound, "a class that was removed")
	checkReadiness(t, base, http.StatusOK, "after the reload")
	close(answer)
	if got := <-open; got != http.StatusOK {
		t.Errorf("a request from before the reload: got status %d, want 200", got)
	}
	for class, timeout := range map[string]string{"fresh": "300000m", "look": "20000m"} {
		req := newClientRequest(base, class)
		req.Header.Set("Request-Timeout", timeout)
		if status, body, _ := do(t, req); status != http.StatusOK {
			t.Errorf("class %s: got %d %q, want 200", class, status, body)
		}
	}
	if got, _ := agent.clients.Limits(); got != limits.ClientSockets() {
		t.Errorf("got %d slots for clients, want %d", got, limits.ClientSockets())
	}
	agent.inspect(func(l *loop) {
		if got := l.pool.Settings().MaxConns; got != limits.BackendSockets() {
			t.Errorf("got %d connections to backends, want %d", got, limits.BackendSockets())
		}
		if l.seenIDs.retention < 300*time.Second {
			t.Errorf("got a retention of ids of %v, want at least 5m0s", l.seenIDs.retention)
		}
	})
}

// A configuration is applied as a whole or not at all. The error names the field that can't change
// without a restart, and neither the classes nor the discovery of that configuration are applied.
func TestReloadAppliesAllOrNothing(t *testing.T) {
	addr, _ := agenttest.IDBackend(t, 200, false)
	conf := agenttest.Config(refusingAddr, addr)
	agent, base, _, _ := startAgent(t, conf)
	classes := map[string]any{"classes": []any{testClass("fresh", "single_shot", 30000)}}
	for _, c := range []struct {
		field string
		value any
		path  []any
	}{
		{"name", "n1", []any{"name"}},
		{"listen", "127.0.0.1:1", []any{"listen"}},
		{"settings: membershipMode", "on_request", []any{"settings", "membershipMode"}},
		{"settings: index", 3, []any{"settings", "index"}},
		{"settings: failureDomains", []any{"b", "a"}, []any{"settings", "failureDomains"}},
		{"settings: shapes", []any{"other"}, []any{"settings", "shapes"}},
	} {
		t.Run(c.field, func(t *testing.T) {
			next := withSettings(conf, classes)
			next["discovery"] = "127.0.0.1:2"
			agenttest.Set(next, c.value, c.path...)
			err := agent.Reload(parseConfig(t, next))
			if err == nil || !strings.HasPrefix(err.Error(), "config: "+c.field+": ") || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line that names %s", err, c.field)
			}
			checkStatus(t, base, http.StatusOK, "a class of the current configuration")
			agent.inspect(func(l *loop) {
				if got := l.watch.discoveryAddr(); got != refusingAddr {
					t.Errorf("got discovery %s, want %s", got, refusingAddr)
				}
			})
		})
	}
	next := withSettings(conf, classes)
	agenttest.Set(next, []any{"a", "b", "c"}, "settings", "failureDomains")
	if err := agent.Reload(parseConfig(t, next)); err != nil {
		t.Errorf("one more failure domain: got %v, want it applied", err)
	}
}

// A request that was read just before a reload is decided under the new index of its class. If the
// class was removed or has another effect, the request is rejected, as it never ran.
func TestReloadRenumbersClassesOfRequestsReadBefore(t *testing.T) {
	conf := agenttest.Config(refusingAddr, "127.0.0.1:1")
	for _, c := range []struct {
		name      string
		classes   []any
		wantClass int // -1: rejected
	}{
		{"another number", []any{testClass("look", "free", 30000), testClass("order", "single_shot", 30000)}, 1},
		{"removed", []any{testClass("look", "free", 30000)}, -1},
		{"another effect", []any{testClass("order", "guarded", 30000)}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLoop(t, "127.0.0.1:1")
			r := newLoopRequest(l.config, "x", time.Now().Add(agenttest.LongTimeout))
			done := make(chan error, 1)
			l.handle(reloadRequested{config: parseConfig(t, withSettings(conf, map[string]any{"classes": c.classes})), done: done})
			if err := <-done; err != nil {
				t.Fatalf("got %v, want the configuration applied", err)
			}
			l.handle(requestArrived{request: r})
			if c.wantClass < 0 {
				if len(r.responses) != 1 || (<-r.responses).status != policy.StatusRejected || len(r.attempts) > 0 {
					t.Errorf("got %d attempts, want the request rejected without one", len(r.attempts))
				}
				return
			}
			if r.class != c.wantClass || len(r.attempts) != 1 {
				t.Errorf("got class %d and %d attempts, want class %d and 1", r.class, len(r.attempts), c.wantClass)
			}
		})
	}
}
