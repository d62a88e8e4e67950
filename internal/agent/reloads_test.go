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

// Configurations in a row, each with other limits and another order of the classes, cost no request
// its answer: what was read is answered, and what was not is not sent on.
func TestReloadsInARow(t *testing.T) {
	const clients, requests = 6, 30
	got := make(chan string, 2*clients*requests)
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			got <- req.Header.Get("Request-Id")
			io.WriteString(c, okAnswer)
		}
	})
	conf := agenttest.Config(nowhere, addr)
	a, base, _, _ := start(t, conf)
	var configs []*config.Config
	for i, sockets := range []int{config.MinSockets, 1024} {
		classes := []any{classOf("look", "free", 30000), classOf("order", "single_shot", 30000), classOf("send", "guarded", 30000)}
		if i == 1 {
			classes[0], classes[1] = classes[1], classes[0]
		}
		next := changed(conf, map[string]any{"classes": classes})
		next["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets}
		configs = append(configs, parse(t, next))
	}
	var wait sync.WaitGroup
	unanswered := make(chan string, clients*requests)
	for client := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := dial(t, base)
			r := bufio.NewReader(c)
			for i := range requests {
				id := fmt.Sprintf("row-%d-%d", client, i)
				_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
				io.WriteString(c, raw("order", id))
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					unanswered <- id
				} else {
					io.Copy(io.Discard, resp.Body)
					if resp.StatusCode != 200 {
						t.Errorf("%s answered %d", id, resp.StatusCode)
					}
				}
				if err != nil || resp.Close {
					c.Close()
					c = dial(t, base)
					r = bufio.NewReader(c)
				}
			}
		}()
	}
	done := make(chan struct{})
	go func() {
		wait.Wait()
		close(done)
	}()
	for i := 0; ; i++ {
		if err := a.Reload(configs[i%2]); err != nil {
			t.Error(err)
		}
		select {
		case <-done:
		default:
			continue
		}
		break
	}
	a.awaitLoop()
	close(got)
	close(unanswered)
	sent := map[string]bool{}
	for id := range got {
		if sent[id] {
			t.Errorf("%s was sent on twice", id)
		}
		sent[id] = true
	}
	for id := range unanswered {
		if sent[id] {
			t.Errorf("%s was sent on and not answered", id)
		}
	}
	if len(sent) < clients*requests/2 {
		t.Errorf("%d of %d requests were sent on", len(sent), clients*requests)
	}
}
