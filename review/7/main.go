// Case 7: bid servers send a second copy of some answers a few milliseconds after the first, over a network
// between data centres.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"ploverreel/review/peers"
)

const (
	servers   = 4
	rate      = 300 // requests a second
	length    = 60 * time.Second
	copyShare = 0.25
)

func main() {
	record := peers.NewRecord("review/7/record.txt")
	var fleet []*peers.Server
	var mu sync.Mutex
	copies := 0
	for i := range servers {
		server := peers.NewServer(record, fmt.Sprintf("s-%02d", i))
		server.Work = func() time.Duration { return peers.Between(4*time.Millisecond, 16*time.Millisecond) }
		if peers.Trouble() {
			server.Answer = func(conn net.Conn, run *peers.Run) bool {
				open := peers.WriteOK(conn, run)
				if !open || rand.Float64() >= copyShare {
					return open
				}
				time.Sleep(peers.Between(2*time.Millisecond, 9*time.Millisecond))
				if somethingWaits(conn) {
					return true
				}
				mu.Lock()
				copies++
				mu.Unlock()
				record.Line("server %s sends its answer to %s once more", server.Name, run.ID)
				return peers.WriteOK(conn, run)
			}
		}
		fleet = append(fleet, server)
	}
	hosts := peers.Hosts(fleet)
	for i := range hosts {
		mean := peers.Between(2500*time.Microsecond, 4700*time.Microsecond)
		hosts[i].Dial = peers.NewProxy(hosts[i].Dial, func() time.Duration { return peers.Jitter(mean, 0.32) })
	}
	discovery := peers.NewDiscovery(record, 41, hosts)
	agent := peers.StartAgent(record, peers.TempDir(), peers.Config(0, 4, discovery.Addr, peers.List{Seq: 41, Whole: true, Hosts: hosts}))
	client := peers.NewClient(record, agent.Addr)

	var clients sync.WaitGroup
	breaks, served := 0, 0
	start := time.Now()
	for i := 0; time.Since(start) < length; i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			result := client.Do("price-read", fmt.Sprint("u", i%400), "", nil, time.Second)
			if result.Status != 200 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			served++
			if !strings.HasSuffix(result.Body, " to "+result.ID) {
				breaks++
				record.Line("FOREIGN client %s got %q", result.ID, result.Body)
			}
		}()
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / rate)))
	}
	clients.Wait()
	record.Line("%d served, %d second copies", served, copies)
	if served < int(length.Seconds())*rate/4 {
		peers.Stop("only %d requests were served", served)
	}
	peers.Verdict(record, breaks, "lost (a client was served with what no bid server made for its request)")
}

// somethingWaits reports whether bytes of a request have arrived on a connection.
func somethingWaits(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	waits := err != nil
	if err == nil {
		raw.Control(func(fd uintptr) {
			var one [1]byte
			n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			waits = n > 0 || err == nil
		})
	}
	return waits
}
