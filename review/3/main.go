// Command 3 is the case of bad clients that stop in the middle of a request and stay, while the usual
// clients open new connections.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"ploverreel/review/stand"
)

const (
	badClients   = 300                   // connections by the hundred
	requests     = 40                    // of usual clients, each on a new connection
	interval     = 50 * time.Millisecond // between two of them
	timeout      = time.Second           // of each: 40% of the class's give-up time
	giveUpMs     = 2500
	lostAfter    = 500 * time.Millisecond // past its time a request without an answer is lost
	socketsSlack = 50 * time.Millisecond  // each time limit is 50 ms longer on sockets
	descriptors  = 256
)

func main() { stand.Run(os.Args[1], run) }

func run(record *stand.Record, temp string) (broken bool, err error) {
	server, err := stand.NewServer(record, "s-1", nil)
	if err != nil {
		return false, err
	}
	defer server.Close()
	discovery, err := stand.NewDiscovery(record, 1, stand.NewHost("s-1", server.Addr))
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	listen, err := stand.FreeAddress()
	if err != nil {
		return false, err
	}
	config := stand.Config("agent-1", listen, discovery.Addr, discovery.List())
	config["limits"].(stand.JSON)["sockets"] = descriptors
	stand.Settings(config)["classes"] = []stand.JSON{
		stand.Class("price-read", "free", 600, giveUpMs), stand.Class("bid-submit", "guarded", 1500, 6000)}
	agent, err := stand.StartAgent(record, temp, config)
	defer agent.Kill()
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	if stand.Trouble() {
		record.Printf("%d bad clients connect, send a head and half a body, and stay", badClients)
		for i := range badClients {
			conn, err := net.Dial("tcp", agent.Addr)
			if err != nil {
				return false, err
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, halfRequest(i)); err != nil {
				return false, err
			}
		}
	}
	var wait sync.WaitGroup
	lost := make(chan bool, requests)
	for i := range requests {
		wait.Add(1)
		go func() {
			defer wait.Done()
			lost <- ask(record, agent.Addr, fmt.Sprintf("request-%08d", i))
		}()
		time.Sleep(interval)
	}
	wait.Wait()
	close(lost)
	count := 0
	for each := range lost {
		if each {
			count++
		}
	}
	record.Printf("lost: %d of %d requests", count, requests)
	return count > 0, nil
}

// halfRequest returns the head and the first half of the body of a request.
func halfRequest(i int) string {
	return fmt.Sprintf("POST /bid-submit/b1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: half-%08d\r\nRequest-Timeout: %dm\r\n"+
		"Idempotency-Key: half-%08d\r\nContent-Length: 20\r\n\r\nhalf a bod", i, giveUpMs, i)
}

// ask sends a request on a new connection, and once more on another one if the agent closes the first
// without an answer. It reports whether the request is lost: it has no answer and its connection is
// open when its time and lostAfter have passed.
func ask(record *stand.Record, agent, id string) (lost bool) {
	for range 2 {
		sentAt := time.Now()
		status, err := askOnce(agent, id, sentAt.Add(timeout+lostAfter+socketsSlack))
		took := time.Since(sentAt).Round(time.Millisecond)
		switch {
		case err == nil:
			record.Printf("%s got %s after %v", id, status, took)
			return false
		case errors.Is(err, os.ErrDeadlineExceeded):
			record.Printf("%s is lost: no answer and no close %v after it was sent, its time was %v", id, took, timeout)
			return true
		}
		record.Printf("%s: closed after %v without an answer: %v", id, took, err)
	}
	return false
}

func askOnce(agent, id string, end time.Time) (status string, err error) {
	conn, err := net.Dial("tcp", agent)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	if _, err := fmt.Fprintf(conn, "GET /price-read/k1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Timeout: %dm\r\n\r\n",
		id, timeout.Milliseconds()); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return response.Status, err
}
