package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
)

// Connections that are silent, idle without end, or stuck in an unfinished request must not keep
// out a new client: one of them is evicted for it.
func TestPlacesAreMade(t *testing.T) {
	addr, _ := counted(t, 200, false)
	conf := agenttest.Config(nowhere, addr)
	conf["limits"].(map[string]any)["sockets"] = config.MinSockets
	for _, kind := range []string{"silent", "idle", "coming"} {
		t.Run(kind, func(t *testing.T) {
			agent, base, _, _ := start(t, conf)
			agent.clients.mu.Lock()
			agent.clients.maxKeptIdle = minLimits.ClientSockets() // all are kept
			agent.clients.mu.Unlock()
			for i := range minLimits.ClientSockets() {
				conn := dial(t, base)
				if kind != "silent" {
					fmt.Fprintf(conn, "POST /order/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: %s%d\r\nRequest-Timeout: 30000m\r\nContent-Length: 0\r\n\r\n", kind, i)
					if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 {
						t.Fatalf("got %v, %v", resp, err)
					}
				}
				if kind == "coming" {
					io.WriteString(conn, "P")
				}
				agenttest.Eventually(t, "the place taken", func() bool { return agent.clients.count() == i+1 })
			}
			if kind != "silent" {
				// As if all had been at this stage for long.
				agenttest.Eventually(t, "all "+kind, func() bool {
					agent.clients.mu.Lock()
					defer agent.clients.mu.Unlock()
					for conn := range agent.clients.conns {
						if conn.stage != stageIdle || conn.head.started != (kind == "coming") {
							return false
						}
					}
					for conn := range agent.clients.conns {
						conn.stageSince = conn.stageSince.Add(-clientIdleGrace)
					}
					return true
				})
			}
			if status, _, _ := do(t, call(base, "order")); status != 200 {
				t.Fatalf("answered %d", status)
			}
		})
	}
}

// A connection with a request in progress, or one just accepted, is never evicted.
func TestBusyPlacesStay(t *testing.T) {
	table, now := newClientTable(3, 3), time.Now()
	for _, s := range []connStage{stageActive, stageActive, stageNew} {
		server, client := net.Pipe()
		t.Cleanup(func() { server.Close(); client.Close() })
		conn := &clientConn{Conn: server, table: table, stage: s, stageSince: now}
		conn.received.Store(true)
		if !table.acquire(conn, now) {
			t.Fatal("no place though there is room")
		}
	}
	server, _ := net.Pipe()
	next := &clientConn{Conn: server, table: table, stageSince: now}
	if table.acquire(next, now) || table.count() != 3 {
		t.Fatal("a connection that is in use was closed")
	}
	// As the http server does: read, and close the connection when that read ends.
	ended := make(chan error, 1)
	var ending *clientConn
	for conn := range table.conns {
		if conn.stage == stageNew {
			ending = conn
		}
	}
	go func() {
		_, err := ending.Read(make([]byte, 4096))
		ended <- err
	}()
	if table.acquire(next, now.Add(unfinishedHeadGrace)) || table.count() != 3 {
		t.Fatal("a place was given twice")
	}
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("its read ended with %v", err)
	}
	ending.Close()
	if !table.acquire(next, now.Add(unfinishedHeadGrace)) || table.count() != 3 {
		t.Fatal("no place was made of one whose request does not come")
	}
}

// Clients that send one request and keep their connections without end must not use up all slots:
// above maxKeptIdle connections close with their response, and idle ones are reaped.
func TestKeptConnectionsAreBounded(t *testing.T) {
	addr, _ := counted(t, 200, false)
	agent, base, _, _ := start(t, agenttest.Config(nowhere, addr))
	agent.clients.mu.Lock()
	agent.clients.maxKeptIdle = 3
	agent.clients.mu.Unlock()
	kept := 0
	for i := range 10 {
		conn := dial(t, base)
		fmt.Fprintf(conn, "POST /order/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: keep%d\r\nRequest-Timeout: 30000m\r\nContent-Length: 0\r\n\r\n", i)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("got %v, %v", resp, err)
		}
		if !resp.Close {
			kept++
		}
		agenttest.Eventually(t, "its end", func() bool { return agent.clients.count() <= 3 })
	}
	if kept != 3 {
		t.Fatalf("%d connections kept, want 3", kept)
	}
	agent.clients.mu.Lock()
	agent.clients.maxKeptIdle = 2
	agent.clients.mu.Unlock()
	agent.clients.reapIdle(time.Now().Add(-time.Hour))
	if n := agent.clients.count(); n != 3 {
		t.Fatalf("closed what was not idle for long: %d left", n)
	}
	agenttest.Eventually(t, "all idle", func() bool {
		agent.clients.reapIdle(time.Now().Add(clientIdleGrace))
		return agent.clients.count() == 0
	})
}

// Malformed and ambiguous requests get an error or a close soon, and neither they nor what follows
// on the connection reach a backend.
func TestBadClients(t *testing.T) {
	addr, came := counted(t, 200, false)
	_, base, _, _ := start(t, agenttest.Config(nowhere, addr))
	head := func(extra ...string) string {
		return "POST /order/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: bad1\r\nRequest-Timeout: 30000m\r\n" +
			strings.Join(extra, "\r\n") + "\r\n"
	}
	hidden := "POST /order/u2 HTTP/1.1\r\nHost: b\r\nRequest-Id: hidden\r\nRequest-Timeout: 30000m\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"noise":               "\x16\x03\x01\x02\r\n\r\n" + hidden,
		"both lengths":        head("Content-Length: 4", "Transfer-Encoding: chunked", "") + "0\r\n\r\n" + hidden,
		"lengths swapped":     head("Transfer-Encoding: chunked", "Content-Length: "+fmt.Sprint(len(hidden)+5), "") + "0\r\n\r\n" + hidden,
		"chunked":             head("Transfer-Encoding: chunked", "") + "4\r\nbody\r\n0\r\n\r\n" + hidden,
		"odd encoding":        head("Transfer-Encoding: xchunked", "") + hidden,
		"two lengths":         head("Content-Length: 4", "Content-Length: 5", "") + "body" + hidden,
		"negative length":     head("Content-Length: -4", "") + hidden,
		"huge length":         head("Content-Length: 99999999999999999999", "") + hidden,
		"60 MB":               head("Content-Length: 62914560", "") + strings.Repeat("x", 1<<16),
		"half a body":         head("Content-Length: 100", "") + "half",
		"half a head":         head("X-Half: "),
		"endless head":        head(strings.Repeat("X-More: "+strings.Repeat("x", 1000)+"\r\n", 100)),
		"two ids":             head("Request-Id: bad2", "Content-Length: 0", "") + hidden,
		"absolute form":       strings.Replace(head("Content-Length: 0", ""), "/order", "http://c/order", 1) + hidden,
		"no leading class":    strings.Replace(head("Content-Length: 0", ""), "/order", "//order", 1) + hidden,
		"CONNECT":             "CONNECT b:80 HTTP/1.1\r\nHost: b\r\n\r\n" + hidden,
		"unsendable id":       strings.Replace(head("Content-Length: 0", ""), "bad1", "bad 1", 1) + hidden,
		"GET with a body":     strings.Replace(strings.Replace(head("Content-Length: 4", ""), "order", "look", 1), "POST", "GET", 1) + "body" + hidden,
		"a bad one first":     strings.Replace(head("Content-Length: 0", ""), "30000m", "soon", 1) + hidden,
		"OPTIONS *":           "OPTIONS * HTTP/1.1\r\nHost: b\r\n\r\n" + hidden,
		"unknown expectation": head("Expect: tea", "Content-Length: 0", "") + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dial(t, base)
			go io.WriteString(conn, text)
			said := answered(t, conn)
			if said != "" && !strings.HasPrefix(said, "HTTP/1.1 4") && !strings.HasPrefix(said, "HTTP/1.1 5") {
				t.Errorf("said %q", said)
			}
			if strings.Count(said, "HTTP/1.1") > 1 {
				t.Errorf("answered what follows: %q", said)
			}
		})
	}
	t.Cleanup(func() {
		if len(came) > 0 {
			t.Errorf("a backend got %q", <-came)
		}
	})
}

// Silent connections and incomplete requests end within 3 s of connecting.
func TestSilenceEnds(t *testing.T) {
	if headTimeout+bodyTimeout > 2700*time.Millisecond {
		t.Fatal("a bad client is owed an end within 3 s")
	}
	addr, _ := counted(t, 200, false)
	_, base, _, _ := start(t, agenttest.Config(nowhere, addr))
	if said := answered(t, dial(t, base)); said != "" {
		t.Fatalf("said %q to a client that said nothing", said)
	}
}

// A request whose id is in progress is rejected, and the first one forwarded once.
func TestIDOfAnOpenRequest(t *testing.T) {
	got, release := make(chan string, 10), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Get("Request-Id")
		<-release
	}))
	t.Cleanup(backend.Close)
	_, base, _, _ := start(t, agenttest.Config(nowhere, backend.Listener.Addr().String()))
	first, again := call(base, "order"), call(base, "order")
	again.Header.Set("Request-Id", first.Header.Get("Request-Id"))
	served := make(chan int, 1)
	go func() {
		resp, err := new(http.Transport).RoundTrip(first)
		if err != nil {
			t.Error(err)
			close(served)
			return
		}
		served <- resp.StatusCode
	}()
	<-got
	if status, _, _ := do(t, again); status != http.StatusConflict {
		t.Errorf("answered %d", status)
	}
	close(release)
	if status := <-served; status != 200 || len(got) > 0 {
		t.Errorf("the first was answered %d; %d more attempts", status, len(got))
	}
}

// Ids are known for the time given, and forgotten some time after it.
func TestIDMemory(t *testing.T) {
	ids, now := newSeenIDs(time.Second), time.Now()
	if !ids.add("a", now) || ids.add("a", now.Add(900*time.Millisecond)) || ids.add("a", now.Add(1500*time.Millisecond)) {
		t.Fatal("an id that is known was taken for new")
	}
	if !ids.add("b", now.Add(2*time.Second)) || !ids.add("a", now.Add(4*time.Second)) || len(ids.now)+len(ids.before) > 2 {
		t.Fatal("an old id was kept")
	}
}

// However many ids arrive, the memory for them is bounded, and the latest are known.
func TestIDMemoryIsBounded(t *testing.T) {
	m, now := newSeenIDs(agenttest.Never), time.Now()
	for i := range 5 * maxIDs {
		if !m.add(fmt.Sprint(i), now) {
			t.Fatalf("id %d was taken for known", i)
		}
		if n := len(m.now) + len(m.before); n > 2*maxIDs {
			t.Fatalf("%d ids held", n)
		}
	}
	for i := 4 * maxIDs; i < 5*maxIDs; i++ {
		if m.add(fmt.Sprint(i), now) {
			t.Fatalf("id %d of the last was not known", i)
		}
	}
}

// A graceful shutdown doesn't wait for incomplete requests and silent connections.
func TestLeaveAmongBadClients(t *testing.T) {
	addr, _ := counted(t, 200, false)
	agent, base, stop, ended := start(t, agenttest.Config(nowhere, addr)) // give-up is 30 s here
	dial(t, base)
	half := dial(t, base)
	io.WriteString(half, "POST /order/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: h\r\nRequest-Timeout: 30000m\r\nContent-Length: 9\r\n\r\nhalf")
	agenttest.Eventually(t, "both accepted", func() bool { return agent.clients.count() == 2 })
	stop()
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("waits for bad clients")
	}
}

// reloadTo reloads the loop's configuration with another discovery address.
func reloadTo(t *testing.T, l *loop, discovery string) {
	t.Helper()
	next, done := *l.config, make(chan error, 1)
	next.Discovery = discovery
	l.handle(reloadRequested{config: &next, done: done})
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// A new discovery is watched and fetched from at once, late events of the old one are ignored, and
// the versions of the new one may start lower. Backends stay known meanwhile.
func TestReload(t *testing.T) {
	asked := make(chan string, 10)
	discoveryServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		<-r.Context().Done()
	}))
	t.Cleanup(discoveryServer.Close)
	loop := quietLoop(t, "127.0.0.1:1", "127.0.0.1:2")
	loop.watch.listVersion = 41
	before := loop.backends[endpointlist.AddressOf("s-0")].conns
	loop.watch.fetching, loop.watch.watching = true, true
	reloadTo(t, loop, discoveryServer.Listener.Addr().String())
	t.Cleanup(loop.watch.discovery.close)
	if got := map[string]bool{<-asked: true, <-asked: true}; !got[""] || !got["follow=1&since=0"] {
		t.Fatalf("asked %v", got)
	}
	endpoint := endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:1", Health: "draining"}
	loop.handle(watchEvent{list: listOf(42, false, endpoint)})
	loop.handle(watchEnded{err: io.EOF})
	loop.handle(endpointsFetched{list: listOf(42, true, endpoint)})
	if !loop.watch.watching || !loop.watch.fetching || !loop.backends[endpointlist.AddressOf("s-0")].usable || loop.backends[endpointlist.AddressOf("s-0")].conns != before {
		t.Fatal("a late word of the old discovery counted")
	}
	loop.handle(watchEvent{list: listOf(3, false, endpoint), generation: 1})
	if b := loop.backends[endpointlist.AddressOf("s-0")]; b != nil && b.usable || loop.watch.listVersion != 3 {
		t.Fatal("the new discovery was not heard")
	}
	disc := loop.watch.discovery
	if reloadTo(t, loop, disc.addr); loop.watch.discovery != disc {
		t.Fatal("the same discovery was taken for a new one")
	}
}

// The first calls to a new discovery are retried without the decision module's backoff.
func TestReloadTriesAgain(t *testing.T) {
	tries := make(chan struct{}, 100)
	discoveryServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tries <- struct{}{}
		if len(tries) < 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, change)
	}))
	t.Cleanup(discoveryServer.Close)
	told := make(chan input, 10)
	disc := newDiscovery(t.Context(), discoveryServer.Listener.Addr().String(), 1, func(in input) { told <- in })
	disc.watch(0, true)
	if in := contentsOf(<-told); !is[watchEvent](in.input) || in.list.Seq != 2 || in.generation != 1 {
		t.Fatalf("told %+v", in)
	}
	if in := contentsOf(<-told); !is[watchEnded](in.input) {
		t.Fatalf("told %+v", in)
	}
}

// Each connection is in the eviction class that its stage, its age and what was read of it put it
// in, and lower classes are evicted first.
func TestEvictionClasses(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name     string
		conn     *clientConn
		age      time.Duration
		received bool
		want     evictionClass
	}{
		{"new and silent for long", &clientConn{stage: stageNew}, silentConnGrace, false, evictSilent},
		{"new and silent", &clientConn{stage: stageNew}, silentConnGrace - 1, false, notEvictable},
		{"new with a head in progress", &clientConn{stage: stageNew}, unfinishedHeadGrace - 1, true, notEvictable},
		{"new with an unfinished head", &clientConn{stage: stageNew}, unfinishedHeadGrace, true, evictUnfinishedHead},
		{"idle", &clientConn{stage: stageIdle}, clientIdleGrace - 1, true, evictIdle},
		{"idle for long", &clientConn{stage: stageIdle}, clientIdleGrace, true, evictLongIdle},
		{"idle with a head in progress", &clientConn{stage: stageIdle, head: headState{started: true}}, unfinishedHeadGrace - 1, true, notEvictable},
		{"idle with an unfinished head", &clientConn{stage: stageIdle, head: headState{started: true}}, clientIdleGrace, true, evictUnfinishedHead},
		{"active", &clientConn{stage: stageActive}, time.Hour, true, notEvictable},
		{"rejected", &clientConn{stage: stageRejected, responseWritten: true}, 0, true, evictRejected},
		{"rejected, response in progress", &clientConn{stage: stageRejected}, time.Hour, true, notEvictable},
		{"closing", &clientConn{stage: stageIdle, closing: true}, time.Hour, true, notEvictable},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.conn.stageSince = now.Add(-test.age)
			test.conn.received.Store(test.received)
			if got := newClientTable(1, 1).evictionClass(test.conn, now); got != test.want {
				t.Errorf("got class %d, want %d", got, test.want)
			}
		})
	}
}

// Of several connections the one of the lowest class is evicted, and of one class that which is at
// its stage for longest.
func TestEvictionOrder(t *testing.T) {
	now, table := time.Now(), newClientTable(10, 10)
	add := func(conn *clientConn, age time.Duration, received bool) *clientConn {
		server, client := net.Pipe()
		t.Cleanup(func() { server.Close(); client.Close() })
		conn.Conn, conn.table, conn.stageSince = server, table, now.Add(-age)
		conn.received.Store(received)
		table.conns[conn] = struct{}{}
		return conn
	}
	add(&clientConn{stage: stageActive}, time.Hour, true)
	want := []*clientConn{
		add(&clientConn{stage: stageIdle}, clientIdleGrace+1, true),
		add(&clientConn{stage: stageIdle}, clientIdleGrace, true),
		add(&clientConn{stage: stageNew}, time.Hour, false),
		add(&clientConn{stage: stageRejected, responseWritten: true}, 0, true),
		add(&clientConn{stage: stageNew}, time.Hour, true),
		add(&clientConn{stage: stageIdle}, 0, true),
	}
	for i, conn := range want {
		if got := table.evictionCandidate(now); got != conn {
			t.Errorf("candidate %d: got %+v, want %+v", i, got, conn)
		}
		delete(table.conns, conn)
	}
	if got := table.evictionCandidate(now); got != nil {
		t.Errorf("got %+v, which is active", got)
	}
}
