package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	testSockets    = 64 // limits.sockets of the tests, the smallest valid value
	backendSockets = 19 // number of these that are for connections to backends
)

// blockingBackend is a backend that holds requests whose id begins with "block" until release is
// called.
type blockingBackend struct {
	addr    net.Addr
	blocked chan struct{} // has one element for each request on hold
	release func()
}

func startBlockingBackend(t *testing.T) *blockingBackend {
	t.Helper()
	blocked, released := make(chan struct{}, 100), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("Request-Id"), "block") {
			blocked <- struct{}{}
			<-released
		}
		fmt.Fprint(w, "done")
	}))
	b := &blockingBackend{addr: server.Listener.Addr(), blocked: blocked, release: sync.OnceFunc(func() { close(released) })}
	t.Cleanup(server.Close)
	t.Cleanup(b.release) // runs before the server closes, also if the test fails
	return b
}

// listOf returns an endpoint list of n backends that share one address.
func listOf(name string, n int, addr net.Addr) string {
	hosts := []string{}
	for i := range n {
		hosts = append(hosts, fmt.Sprintf(`{"host":"%s-%d","dial":%q,"site":"a","class":"k","health":"ready","share":1}`,
			name, i, addr))
	}
	return `{"seq":7,"whole":true,"hosts":[` + strings.Join(hosts, ",") + `]}`
}

// limitedAgent is the program in a process that can't open more descriptors than limits.sockets, and
// a client that opens a new connection for each request.
type limitedAgent struct {
	*program
	backend *blockingBackend
	client  *http.Client
}

func startLimitedAgent(t *testing.T, backend *blockingBackend, discovery string) *limitedAgent {
	t.Helper()
	agent := &limitedAgent{backend: backend, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	listen := freeAddress(t)
	agent.program = startProgram(t, listen, agent.config(listen, discovery), fmt.Sprint(descriptorsVariable, "=", testSockets))
	agent.awaitReady(t)
	return agent
}

// config returns a configuration with this discovery address.
func (a *limitedAgent) config(listen, discovery string) string {
	longDeadlines := strings.Replace(settings, `"aimMs":500,"giveUpMs":1000`, `"aimMs":50000,"giveUpMs":60000`, 1)
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":%d},
 "settings":%s,"known":%s}`, listen, discovery, testSockets, longDeadlines, listOf("old", backendSockets+1, a.backend.addr))
}

// request sends a request and returns its status and body, or the error.
func (a *limitedAgent) request(id string) string {
	req, _ := http.NewRequest(http.MethodPost, "http://"+a.listen+"/order", strings.NewReader("x"))
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Timeout", "60000m")
	resp, err := a.client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}

// checkReady checks that /ready is answered with 200.
func (a *limitedAgent) checkReady(t *testing.T, when string) {
	t.Helper()
	resp, err := a.client.Get("http://" + a.listen + "/ready")
	if err != nil {
		t.Fatalf("%s: got /ready %v, want an answer; log:\n%s", when, err, a.log)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: got /ready %d, want %d", when, resp.StatusCode, http.StatusOK)
	}
}

// openIdleClients opens more client connections than there are descriptors. Every other connection
// sends a request and stays idle after the response. The rest send nothing.
func (a *limitedAgent) openIdleClients(t *testing.T, idPrefix string) {
	t.Helper()
	for i := range 2 * testSockets {
		conn, err := net.DialTimeout("tcp", a.listen, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if i%2 != 0 {
			continue
		}
		fmt.Fprintf(conn, "POST /order HTTP/1.1\r\nHost: b\r\nRequest-Id: %s%d\r\nRequest-Timeout: 60000m\r\nContent-Length: 0\r\n\r\n", idPrefix, i)
		if _, err := io.ReadFull(conn, make([]byte, len("HTTP/1.1 200"))); err != nil {
			t.Fatalf("%s client %d: got %v, want an answer; log:\n%s", idPrefix, i, err, a.log)
		}
	}
}

// openSilentClients opens more client connections than there are descriptors. They send nothing, and
// some of the connects may fail.
func (a *limitedAgent) openSilentClients(t *testing.T) {
	for range 3 * testSockets {
		if conn, err := net.DialTimeout("tcp", a.listen, time.Minute); err == nil {
			t.Cleanup(func() { conn.Close() })
		}
	}
}

// blockBackendConnections sends requests until each connection to a backend waits for a response. It
// returns the channel on which the responses arrive.
func (a *limitedAgent) blockBackendConnections(t *testing.T) (responses chan string) {
	t.Helper()
	responses = make(chan string, backendSockets)
	for i := range backendSockets {
		go func() { responses <- a.request(fmt.Sprint("block", i)) }()
	}
	a.eventually(t, "all connections to backends in use", func() bool { return len(a.backend.blocked) == backendSockets })
	return responses
}

// changeDiscovery reloads the configuration with each discovery address in turn.
func (a *limitedAgent) changeDiscovery(t *testing.T, addrs ...string) {
	t.Helper()
	for i, addr := range addrs {
		a.reload(t, a.config(a.listen, addr))
		a.eventually(t, "a change of the discovery address", func() bool {
			return strings.Count(a.log.String(), "discovery address changed") == i+1
		})
	}
}

// The program must not need more than limits.sockets descriptors, even with idle clients in all
// slots, requests on all connections to backends, and a discovery that is down and changes its
// address. The process limit equals limits.sockets here, so /ready, calls to discovery or
// connections to backends would fail if the program used more.
func TestProgramStaysWithinItsDescriptors(t *testing.T) {
	for _, kind := range []outageKind{refusing, silent, unreachable} {
		t.Run(string(kind)+" discovery", func(t *testing.T) {
			first, second := newOutage(t, kind), newOutage(t, kind)
			backend := startBlockingBackend(t)
			listed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprint(w, "listed later")
			}))
			t.Cleanup(listed.Close)
			agent := startLimitedAgent(t, backend, first.addr)
			agent.openIdleClients(t, "idle")
			agent.checkReady(t, "with idle clients")
			responses := agent.blockBackendConnections(t)
			agent.openSilentClients(t)
			agent.checkReady(t, "with requests on all connections to backends")
			agent.changeDiscovery(t, second.addr, first.addr, second.addr, first.addr)
			agent.checkReady(t, "while the discovery address changes")
			first.recover(t, listOf("new", 3, listed.Listener.Addr()))
			agent.eventually(t, "a watch opened", func() bool { return first.watches.Load() > 0 })
			backend.release()
			for range backendSockets {
				if got := <-responses; got != "200 done" {
					t.Errorf("a blocked request: got %s, want 200 done", got)
				}
			}
			agent.openIdleClients(t, "again")
			n := 0
			agent.eventually(t, "a request served by a backend of the new list", func() bool {
				n++
				return agent.request(fmt.Sprint("last", n)) == "200 listed later"
			})
			agent.checkReady(t, "after discovery has recovered")
			if strings.Contains(agent.log.String(), "too many open files") {
				t.Errorf("got the descriptors used up, want some left; log:\n%s", agent.log)
			}
		})
	}
}
