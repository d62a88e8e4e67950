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
	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/policy"
)

// classOf is a class of the settings.
func classOf(name, effect string, giveUpMs int) map[string]any {
	return map[string]any{"name": name, "aimMs": 20000, "giveUpMs": giveUpMs, "credit": 1,
		"effect": effect, "group": "all", "keyTtlMs": 20000}
}

// changed is the configuration with other settings; a value of nil takes the key away.
func changed(conf map[string]any, settings map[string]any) map[string]any {
	conf, set := maps.Clone(conf), maps.Clone(conf["settings"].(map[string]any))
	maps.Copy(set, settings)
	conf["settings"] = set
	return conf
}

// Other classes, limits and sockets are in force at once. What is open is answered under the
// terms it was taken with, what comes next goes by the new ones, and the agent stays ready.
func TestSettingsChangeUnderLoad(t *testing.T) {
	asked, turn := make(chan string, 10), make(chan struct{})
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			asked <- req.URL.Path
			<-turn
			io.WriteString(c, okAnswer)
		}
	})
	conf := agenttest.Config(nowhere, addr)
	a, base, _, _ := start(t, conf)
	answered := make(chan int, 1)
	go func() {
		status, _, _ := do(t, call(base, "order"))
		answered <- status
	}()
	if path := <-asked; path != "/order/u1" {
		t.Fatalf("asked %s", path)
	}
	next := changed(conf, map[string]any{"classes": []any{classOf("fresh", "single_shot", 300000),
		classOf("send", "guarded", 30000), classOf("look", "free", 30000)}})
	next["limits"] = map[string]any{"cores": 1, "memory_mb": 96, "sockets": 512}
	if err := a.Reload(parse(t, next)); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := do(t, call(base, "order")); status != http.StatusNotFound {
		t.Errorf("a class that is no more is answered %d", status)
	}
	resp, err := http.Get(base + "/ready")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("ready: %v, %v", resp, err)
	}
	resp.Body.Close()
	close(turn)
	if status := <-answered; status != http.StatusOK {
		t.Errorf("what was open is answered %d", status)
	}
	for class, timeout := range map[string]string{"fresh": "300000m", "look": "20000m"} {
		req := call(base, class)
		req.Header.Set("Request-Timeout", timeout)
		if status, said, _ := do(t, req); status != http.StatusOK {
			t.Errorf("%s is answered %d %q", class, status, said)
		}
	}
	if slots, _ := a.clients.Limits(); slots != (config.Limits{Sockets: 512}).ClientSockets() {
		t.Errorf("got %d slots for clients, want %d", slots, (config.Limits{Sockets: 512}).ClientSockets())
	}
	a.look(func(l *loop) {
		if l.pool.Settings().MaxConns != (config.Limits{Sockets: 512}).BackendSockets() || l.seenIDs.keep < 300*time.Second {
			t.Errorf("%d connections, ids known for %v", l.pool.Settings().MaxConns, l.seenIDs.keep)
		}
	})
}

// A configuration takes all or nothing: what can't change without a restart is named, and
// neither its classes nor its discovery are in force.
func TestReloadTakesAllOrNothing(t *testing.T) {
	addr, _ := counted(t, 200, false)
	conf := agenttest.Config(nowhere, addr)
	a, base, _, _ := start(t, conf)
	fresh := map[string]any{"classes": []any{classOf("fresh", "single_shot", 30000)}}
	for key, spoil := range map[string]func(c map[string]any){
		"name":                     func(c map[string]any) { c["name"] = "n1" },
		"listen":                   func(c map[string]any) { c["listen"] = "127.0.0.1:1" },
		"settings: membershipMode": func(c map[string]any) { c["settings"].(map[string]any)["membershipMode"] = "on_request" },
		"settings: index":          func(c map[string]any) { c["settings"].(map[string]any)["index"] = 3 },
		"settings: failureDomains": func(c map[string]any) {
			c["settings"].(map[string]any)["failureDomains"] = []any{"b", "a"}
		},
		"settings: shapes": func(c map[string]any) { c["settings"].(map[string]any)["shapes"] = []any{"other"} },
	} {
		next := changed(conf, fresh)
		next["discovery"] = "127.0.0.1:2"
		spoil(next)
		err := a.Reload(parse(t, next))
		if err == nil || !strings.HasPrefix(err.Error(), "config: "+key+": ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", key, err)
		}
		if status, _, _ := do(t, call(base, "order")); status != http.StatusOK {
			t.Errorf("%s: the class at hand is answered %d", key, status)
		}
		a.look(func(l *loop) {
			if l.watch.discovery.Addr() != nowhere {
				t.Errorf("%s: another discovery is asked", key)
			}
		})
	}
	next := changed(conf, fresh)
	next["settings"].(map[string]any)["failureDomains"] = []any{"a", "b", "c"} // one more
	if err := a.Reload(parse(t, next)); err != nil {
		t.Errorf("one more zone: %v", err)
	}
}

// A request that was read just before other settings came is decided under its class's new number,
// and rejected, as it never ran, where its class is no more or has another effect.
func TestRequestReadUnderTheSettingsBefore(t *testing.T) {
	conf := agenttest.Config(nowhere, "127.0.0.1:1")
	for _, c := range []struct {
		name    string
		classes []any
		class   int // -1: rejected
	}{
		{"another place", []any{classOf("look", "free", 30000), classOf("order", "single_shot", 30000)}, 1},
		{"no more", []any{classOf("look", "free", 30000)}, -1},
		{"another effect", []any{classOf("order", "guarded", 30000)}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := quietLoop(t, "127.0.0.1:1")
			old := l.config
			done := make(chan error, 1)
			l.handle(reloadRequested{config: parse(t, changed(conf, map[string]any{"classes": c.classes})), done: done})
			if err := <-done; err != nil {
				t.Fatal(err)
			}
			r := &request{config: old, class: 2, answers: make(chan response, 1),
				Request: backend.Request{RequestID: "x", Deadline: time.Now().Add(agenttest.Never)}}
			l.handle(requestArrived{request: r})
			if c.class >= 0 && (r.class != c.class || len(r.attempts) != 1) {
				t.Errorf("class %d, %d attempts", r.class, len(r.attempts))
			}
			if c.class < 0 && (len(r.answers) != 1 || (<-r.answers).status != policy.StatusRejected || len(r.attempts) > 0) {
				t.Error("not rejected")
			}
		})
	}
}
