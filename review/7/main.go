// Case 7: bad clients send many requests, and one sends the id of an open request of another client.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ploverreel/review/peers"
)

const (
	servers  = 12
	flooders = 100 // connections of the bad clients
	length   = 42 * time.Second
	hangs    = 11500 * time.Millisecond // for which a bid server hangs in the middle of such a request
	copyAt   = 11 * time.Second         // when a bad client sends a request with its id
)

func main() {
	record := peers.NewRecord("review/7/record.txt")
	var fleet []*peers.Server
	for i := range servers {
		server := peers.NewServer(record, fmt.Sprintf("s-%02d", i))
		server.Ignore = func(run *peers.Run) bool { return strings.HasPrefix(run.Target, "/plan-solve") }
		server.WorkOf = func(run *peers.Run) time.Duration {
			if strings.HasPrefix(run.Target, "/plan-read/hangs") {
				return hangs
			}
			if run.Body == nil || len(run.Body) == 0 {
				return 0
			}
			return 5 * time.Millisecond
		}
		fleet = append(fleet, server)
	}
	hosts := peers.Hosts(fleet)
	discovery := peers.NewDiscovery(record, 41, hosts)
	config := peers.Config(0, 3, discovery.Addr, peers.List{Seq: 41, Whole: true, Hosts: hosts})
	class := func(name, effect string, aim, giveUp, late float64) any {
		return map[string]any{"name": name, "aimMs": aim, "giveUpMs": giveUp, "effect": effect, "group": "all",
			"keyTtlMs": 5000.0, "credit": 1.0, "lateShare": late, "streamed": false}
	}
	peers.Settings(config)["classes"] = []any{class("plan-read", "single_shot", 1200, 12000, 0.3),
		class("plan-solve", "free", 6000, 75000, 0)}
	agent := peers.StartAgent(record, peers.TempDir(), config)

	// Other requests, a few a second, so that each bid server goes on answering.
	start := time.Now()
	end := start.Add(length)
	client := peers.NewClient(record, agent.Addr)
	var clients sync.WaitGroup
	go func() {
		for i := 0; time.Now().Before(end); i++ {
			go client.Do("plan-read", fmt.Sprint("u", i%40), "", []byte("plan"), 10*time.Second)
			time.Sleep(25 * time.Millisecond)
		}
	}()
	var flooded atomic.Int64
	if peers.Trouble() {
		for range flooders {
			go flood(agent.Addr, end, &flooded)
		}
	}

	// Once a second a request that its bid server hangs on, and later one of a bad client with the same id.
	answers := map[string]string{}
	var mu sync.Mutex
	for i := 0; time.Since(start) < length-copyAt-2*time.Second; i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := peers.NewID()
			answered := make(chan struct{})
			go func() {
				status := send(agent.Addr, id, "hangs", 12*time.Second)
				record.Line("client %s (hangs) ended with %s", id, status)
				close(answered)
			}()
			select {
			case <-time.After(copyAt):
			case <-answered:
				return
			}
			status := send(agent.Addr, id, "copy", 3*time.Second)
			record.Line("bad client got %s for a request with the open id %s", status, id)
			mu.Lock()
			answers[id] = status
			mu.Unlock()
			<-answered
		}()
		time.Sleep(time.Second)
	}
	clients.Wait()

	runs := map[string][]*peers.Run{}
	for _, server := range fleet {
		for _, run := range server.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	breaks := 0
	for id, status := range answers {
		if len(runs[id]) > 1 {
			breaks++
			for _, run := range runs[id] {
				record.Line("TWICE %s ran at %s, %s, from %.3f", id, run.Server.Name, run.Target, record.At(run.First))
			}
			record.Line("TWICE %s: the bad client got %s", id, status)
		}
	}
	record.Line("%d requests of bad clients in %.0f s; %d copies of open ids", flooded.Load(), length.Seconds(), len(answers))
	if len(answers) == 0 {
		peers.Stop("no such request was open when its copy was due")
	}
	peers.Verdict(record, breaks, "duplicate (an unsafe request is out twice)")
}

// send sends one unsafe request on a new connection and returns the status line of its answer.
func send(addr, id, key string, timeout time.Duration) string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout + time.Second))
	fmt.Fprintf(conn, "POST /plan-read/%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Timeout: %dm\r\nContent-Length: 4\r\n\r\nplan",
		key, id, timeout.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	return response.Status
}

// flood sends requests with new ids and very little time left, one after another.
func flood(addr string, end time.Time, sent *atomic.Int64) {
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for open := true; open && time.Now().Before(end); {
			fmt.Fprintf(conn, "GET /plan-solve/u HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Timeout: 2500u\r\n\r\n", peers.NewID())
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			io.Copy(io.Discard, response.Body)
			open = !response.Close
			sent.Add(1)
		}
		conn.Close()
	}
}
