// Command 3 is the case of a bad client that sends the id of an open request of another client, under
// a high load of usual clients.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ploverreel/review/stand"
)

const (
	servers      = 4
	workers      = 64               // clients of the load, each with one connection
	rate         = 1280             // requests a second: four times 320
	firstOrderAt = 48 * time.Second // after the start of the load
	orders       = 6                // one every orderPause
	orderPause   = 500 * time.Millisecond
	orderTimeout = 60 * time.Second // 80% of the class's give-up time
	orderWork    = 59 * time.Second // how long a bid server works on an order
	loadTime     = 106 * time.Second
)

func main() { stand.Run(os.Args[1], run) }

func run(record *stand.Record, temp string) (broken bool, err error) {
	started := []*stand.Server{}
	hosts := []stand.Host{}
	for i := range servers {
		name := fmt.Sprint("s-", i+1)
		server, err := stand.NewServer(record, name, func(sent stand.Sent) stand.Answer {
			if strings.HasPrefix(sent.Path, "/plan-solve/") {
				return stand.Answer{After: orderWork}
			}
			return stand.Answer{}
		})
		if err != nil {
			return false, err
		}
		defer server.Close()
		server.Quiet()
		started, hosts = append(started, server), append(hosts, stand.NewHost(name, server.Addr))
	}
	discovery, err := stand.NewDiscovery(record, 1, hosts...)
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	listen, err := stand.FreeAddress()
	if err != nil {
		return false, err
	}
	config := stand.Config("agent-1", listen, discovery.Addr, discovery.List())
	stand.Settings(config)["classes"] = []stand.JSON{
		stand.Class("price-read", "free", 1200, 12000), stand.Class("plan-solve", "single_shot", 6000, 75000)}
	agent, err := stand.StartAgent(record, temp, config)
	defer agent.Kill()
	if err != nil {
		return false, err
	}

	start := time.Now()
	var served, other atomic.Int64
	var wait sync.WaitGroup
	for worker := range workers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			load(agent.Addr, worker, start, &served, &other)
		}()
	}
	time.Sleep(time.Until(start.Add(firstOrderAt)))
	for i := range orders {
		go func() {
			sentAt := time.Now()
			status, body, err := post(agent.Addr, orderID(i), orderTimeout+time.Second)
			record.Printf("the client of %s got %s %q (%v) after %v", orderID(i), status, body, err, time.Since(sentAt).Round(time.Millisecond))
		}()
		record.Printf("a client sends the request %s; %d requests were answered so far", orderID(i), served.Load()+other.Load())
		time.Sleep(orderPause)
	}
	wait.Wait()
	record.Printf("the load has ended after %v: %d requests were served, %d got something else",
		time.Since(start).Round(time.Millisecond), served.Load(), other.Load())
	if stand.Trouble() {
		for i := range orders {
			go func() { // the agent owes it an error or a close within 3 s of connecting
				status, body, err := post(agent.Addr, orderID(i), 3*time.Second)
				record.Printf("the bad client sent the id %s and got %s %q (%v)", orderID(i), status, body, err)
			}()
		}
	}
	time.Sleep(3500 * time.Millisecond)

	runs := map[string][]stand.Sent{}
	for _, server := range started {
		for _, sent := range server.Sent() {
			if strings.HasPrefix(sent.Path, "/plan-solve/") {
				runs[sent.ID] = append(runs[sent.ID], sent)
			}
		}
	}
	for id, sent := range runs {
		slices.SortFunc(sent, func(x, y stand.Sent) int { return x.At.Compare(y.At) })
		for _, again := range sent[1:] {
			if again.At.Sub(sent[0].At) < orderWork { // the first had no answer yet
				record.Printf("broken: %s ran at %s, and %v later, while it was open, at %s", id, sent[0].Server,
					again.At.Sub(sent[0].At).Round(time.Millisecond), again.Server)
				broken = true
			}
		}
	}
	if len(runs) < orders {
		return false, fmt.Errorf("only %d of %d requests of the class plan-solve reached a bid server", len(runs), orders)
	}
	return broken, nil
}

func orderID(i int) string { return fmt.Sprintf("plan-%012d", i) }

// load sends its part of the load's requests on one connection until loadTime has passed.
func load(agent string, worker int, start time.Time, served, other *atomic.Int64) {
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; ; i++ {
		at := start.Add(time.Duration(i*workers+worker) * time.Second / rate)
		time.Sleep(time.Until(at))
		if time.Since(start) > loadTime {
			break
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", agent); err != nil {
				continue
			}
			reader = bufio.NewReader(conn)
		}
		fmt.Fprintf(conn, "GET /price-read/k%d HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: read-%d-%d\r\nRequest-Timeout: 6000m\r\n\r\n",
			i%500, worker, i)
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err == nil && response.StatusCode == http.StatusOK {
			served.Add(1)
		} else {
			other.Add(1)
		}
		if err != nil || response.Close {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// post sends a request of the class plan-solve on a new connection and waits for the answer.
func post(agent, id string, wait time.Duration) (status, body string, err error) {
	conn, err := net.Dial("tcp", agent)
	if err != nil {
		return "", "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err := fmt.Fprintf(conn, "POST /plan-solve/p1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Timeout: %dm\r\nContent-Length: 0\r\n\r\n",
		id, orderTimeout.Milliseconds()); err != nil {
		return "", "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", "", err
	}
	text, err := io.ReadAll(response.Body)
	return response.Status, string(text), err
}
