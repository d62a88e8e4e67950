// Case 6: bad clients send half a request and stay, and come again when they are turned away.
package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ploverreel/review/peers"
)

const (
	sockets    = 256 // of the agent
	badClients = 200 // connections that they hold at once
	length     = 20 * time.Second
	rate       = 20 // usual requests a second
	timeout    = time.Second
	slack      = 500 * time.Millisecond // up to which a late answer only earns nothing
	network    = 50 * time.Millisecond
)

func main() {
	record := peers.NewRecord("review/6/record.txt")
	var fleet []*peers.Server
	for i := range 6 {
		fleet = append(fleet, peers.NewServer(record, fmt.Sprintf("s-%02d", i)))
	}
	hosts := peers.Hosts(fleet)
	discovery := peers.NewDiscovery(record, 41, hosts)
	config := peers.Config(0, 1, discovery.Addr, peers.List{Seq: 41, Whole: true, Hosts: hosts})
	config["limits"].(map[string]any)["sockets"] = sockets
	agent := peers.StartAgent(record, peers.TempDir(), config)
	client := peers.NewClient(record, agent.Addr)
	end := time.Now().Add(length)
	var turnedAway atomic.Int64
	if peers.Trouble() {
		for range badClients {
			go beBad(agent.Addr, end, &turnedAway)
		}
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	var answered, closed, late, never int
	start := time.Now()
	for i := 0; time.Now().Before(end); i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			result := client.Do("price-read", fmt.Sprint("u", i%40), "", nil, timeout)
			mu.Lock()
			defer mu.Unlock()
			switch took := result.Ended.Sub(result.Sent); {
			case result.Sent.IsZero():
				// It got no connection, so nothing was sent.
			case result.GaveUp:
				never++
				record.Line("LOST %s: no answer and no close %.3f s after its last byte", result.ID, took.Seconds())
			case took > timeout+slack+network:
				late++
				record.Line("LOST %s: ended with %d only %.3f s after its last byte", result.ID, result.Status, took.Seconds())
			case result.Status == 0:
				closed++ // shut unread, which is allowed
			default:
				answered++
			}
		}()
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / rate)))
	}
	clients.Wait()
	record.Line("usual requests: %d answered in time, %d closed unread, %d too late, %d never; %d bad connections turned away",
		answered, closed, late, never, turnedAway.Load())
	if answered+closed+late+never < int(length.Seconds())*rate/2 {
		peers.Stop("too few requests were sent")
	}
	peers.Verdict(record, late+never, "lost (no final answer in time)")
}

// beBad sends half a request, stays until it gets an error or a close, and does so again.
func beBad(addr string, end time.Time, turnedAway *atomic.Int64) {
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		fmt.Fprintf(conn, "POST /bid-submit/u1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nTenant: wegiel-poludnie\r\n"+
			"Request-Timeout: 2400m\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nContent-Length: 400\r\n\r\nhalf of it", peers.NewID())
		io.Copy(io.Discard, conn)
		conn.Close()
		turnedAway.Add(1)
	}
}
