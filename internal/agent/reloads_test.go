package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/config"
)

// reloadConfigs returns two configurations that differ in their limits and in the order of the
// classes.
func reloadConfigs(t *testing.T, conf map[string]any) (configs []*config.Config) {
	t.Helper()
	look, order, send := testClass("look", "free", 30000), testClass("order", "single_shot", 30000), testClass("send", "guarded", 30000)
	for _, c := range []struct {
		sockets int
		classes []any
	}{
		{config.MinSockets, []any{look, order, send}},
		{1024, []any{order, look, send}},
	} {
		next := withSettings(conf, map[string]any{"classes": c.classes})
		next["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": c.sockets}
		configs = append(configs, parseConfig(t, next))
	}
	return configs
}

// persistentClient sends requests one after the other, and reconnects when its connection closes.
type persistentClient struct {
	t      *testing.T
	base   string
	conn   net.Conn
	reader *bufio.Reader
}

func (c *persistentClient) connect() {
	c.conn = agenttest.Dial(c.t, c.base)
	c.reader = bufio.NewReader(c.conn)
}

// send sends a request and reports whether it was answered. A response must have status 200.
func (c *persistentClient) send(id string) bool {
	if c.conn == nil {
		c.connect()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(clientTimeout))
	io.WriteString(c.conn, agenttest.RequestText("order", id))
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != 200 {
			c.t.Errorf("request %s: got status %d, want 200", id, resp.StatusCode)
		}
	}
	if err != nil || resp.Close {
		c.conn.Close()
		c.connect()
	}
	return err == nil
}

// reloadUntil reloads the configurations in turn until done is closed.
func reloadUntil(t *testing.T, agent *Agent, configs []*config.Config, done <-chan struct{}) {
	t.Helper()
	for i := 0; ; i++ {
		if err := agent.Reload(configs[i%len(configs)]); err != nil {
			t.Errorf("reload %d: got %v, want no error", i, err)
		}
		select {
		case <-done:
			return
		default:
		}
	}
}

// Successive reloads, each with other limits and another order of the classes, lose no response. A
// request that was read is answered, and one that was not read is not forwarded.
func TestReloadsLoseNoRequest(t *testing.T) {
	const clients, requests = 6, 30
	received := make(chan string, 2*clients*requests)
	addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			req, err := agenttest.ReadRequest(reader)
			if err != nil {
				return
			}
			received <- req.Header.Get("Request-Id")
			io.WriteString(conn, agenttest.OKResponse)
		}
	})
	conf := agenttest.Config(refusingAddr, addr)
	agent, base, _, _ := startAgent(t, conf)
	var sending sync.WaitGroup
	unanswered := make(chan string, clients*requests)
	for i := range clients {
		sending.Add(1)
		go func() {
			defer sending.Done()
			client := persistentClient{t: t, base: base}
			for n := range requests {
				if id := fmt.Sprintf("reload-%d-%d", i, n); !client.send(id) {
					unanswered <- id
				}
			}
		}()
	}
	done := make(chan struct{})
	go func() {
		sending.Wait()
		close(done)
	}()
	reloadUntil(t, agent, reloadConfigs(t, conf), done)
	agent.waitForLoop()
	close(received)
	close(unanswered)
	forwarded := map[string]bool{}
	for id := range received {
		if forwarded[id] {
			t.Errorf("request %s: forwarded twice, want once", id)
		}
		forwarded[id] = true
	}
	for id := range unanswered {
		if forwarded[id] {
			t.Errorf("request %s: forwarded and not answered, want an answer", id)
		}
	}
	if len(forwarded) < clients*requests/2 {
		t.Errorf("got %d of %d requests forwarded, want half of them at least", len(forwarded), clients*requests)
	}
}
