// Command 3 is the case of bad clients whose heads never end, and of an agent that goes over its limit
// of memory.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ploverreel/review/stand"
)

const (
	badClients  = 300 // connections by the hundred
	headBytes   = 19000
	memoryMB    = 64
	descriptors = 640
	length      = 20 * time.Second
	pause       = 100 * time.Millisecond // between two requests of the usual client
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
	config["limits"] = stand.JSON{"cores": 1.0, "memory_mb": memoryMB, "sockets": descriptors}
	agent, err := stand.StartAgent(record, temp, config)
	defer agent.Kill()
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	var stop atomic.Bool
	var wait sync.WaitGroup
	defer wait.Wait()
	defer stop.Store(true)
	wait.Add(1)
	go func() {
		defer wait.Done()
		usualClient(record, agent.Addr, &stop)
	}()
	if stand.Trouble() {
		record.Printf("%d bad clients connect, send %d bytes of a head that does not end, and stay", badClients, headBytes)
		head := endlessHead()
		for range badClients {
			wait.Add(1)
			go func() {
				defer wait.Done()
				badClient(agent.Addr, head, &stop)
			}()
		}
	}
	// The platform: over its limit of memory the agent is killed.
	peak, lastShown := 0, time.Now()
	for start := time.Now(); time.Since(start) < length; time.Sleep(10 * time.Millisecond) {
		memory, err := agent.MemoryKB()
		if err != nil {
			if agent.Ended() {
				record.Printf("broken: the agent has ended by itself")
				return true, nil
			}
			return false, err
		}
		if memory > peak {
			peak = memory
		}
		if memory > memoryMB<<10 {
			record.Printf("broken: the agent uses %d kB, over its limit of %d kB (%d MB), and is killed", memory, memoryMB<<10, memoryMB)
			return true, nil
		}
		if time.Since(lastShown) > 500*time.Millisecond {
			record.Printf("the agent uses %d kB, at most %d kB so far", memory, peak)
			lastShown = time.Now()
		}
	}
	record.Printf("the agent used at most %d kB of its %d kB", peak, memoryMB<<10)
	return false, nil
}

// endlessHead returns the first bytes of a head that consists of short header lines.
func endlessHead() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_|~"
	var head strings.Builder
	head.WriteString("GET /price-read/k1 HTTP/1.1\r\nHost: backend.local\r\n")
	for i := 0; head.Len() < headBytes; i++ {
		fmt.Fprintf(&head, "%c%c:\r\n", letters[i%len(letters)], letters[i/len(letters)%len(letters)])
	}
	return head.String()
}

// badClient sends the head and stays until the agent closes the connection, and then does the same
// again.
func badClient(agent, head string, stop *atomic.Bool) {
	for !stop.Load() {
		conn, err := net.Dial("tcp", agent)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
		_, _ = io.WriteString(conn, head)
		_, _ = io.Copy(io.Discard, conn)
		conn.Close()
	}
}

// usualClient sends one request after the other, each on a new connection, and records what it gets.
func usualClient(record *stand.Record, agent string, stop *atomic.Bool) {
	for i := 0; !stop.Load(); i++ {
		sentAt := time.Now()
		status, err := ask(agent, fmt.Sprintf("request-%08d", i))
		record.Printf("request-%08d got %q (%v) after %v", i, status, err, time.Since(sentAt).Round(time.Millisecond))
		time.Sleep(pause)
	}
}

func ask(agent, id string) (status string, err error) {
	conn, err := net.Dial("tcp", agent)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(conn, "GET /price-read/k1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Timeout: 2000m\r\n\r\n", id); err != nil {
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
