// Case 9: some answers of bid servers are spoilt: their length doesn't fit.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"ploverreel/review/peers"
)

const (
	servers = 6
	rate    = 40 // requests a second
	length  = 20 * time.Second
	spoilt  = 0.1 // share of the answers
)

func main() {
	record := peers.NewRecord("review/9/record.txt")
	var fleet []*peers.Server
	for i := range servers {
		server := peers.NewServer(record, fmt.Sprintf("s-%02d", i))
		if peers.Trouble() {
			server.Answer = func(conn net.Conn, run *peers.Run) bool {
				if rand.Float64() >= spoilt {
					return peers.WriteOK(conn, run)
				}
				body := peers.BodyFor(server.Name, run.ID)
				record.Line("server %s spoils its answer to %s", server.Name, run.ID)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)/2, body)
				return true
			}
		}
		fleet = append(fleet, server)
	}
	hosts := peers.Hosts(fleet)
	discovery := peers.NewDiscovery(record, 41, hosts)
	agent := peers.StartAgent(record, peers.TempDir(), peers.Config(0, 1, discovery.Addr, peers.List{Seq: 41, Whole: true, Hosts: hosts}))
	client := peers.NewClient(record, agent.Addr)

	var clients sync.WaitGroup
	var mu sync.Mutex
	breaks, served := 0, 0
	start := time.Now()
	for i := 0; time.Since(start) < length; i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			result := client.Do("curve-check", fmt.Sprint("u", i%40), "", nil, 2*time.Second)
			if result.Status != 200 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			served++
			if !strings.HasSuffix(result.Body, " to "+result.ID) {
				breaks++
				record.Line("WRONG client %s got %q", result.ID, result.Body)
			}
		}()
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / rate)))
	}
	clients.Wait()
	record.Line("%d served", served)
	if served < int(length.Seconds())*rate/4 {
		peers.Stop("only %d requests were served", served)
	}
	peers.Verdict(record, breaks, "lost (a client was served with what no bid server made for its request)")
}
