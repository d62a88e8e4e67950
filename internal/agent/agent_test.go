package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

func TestServed(t *testing.T) {
	addr, _ := counted(t, 200, false)
	_, base, _, _ := start(t, agenttest.Config(nowhere, addr))
	for _, class := range []string{"look", "send", "order"} {
		if status, body, _ := do(t, call(base, class)); status != 200 || body != "done" {
			t.Fatalf("%s: got %d %q", class, status, body)
		}
	}
	ready, _ := http.NewRequest(http.MethodGet, base+"/ready", nil)
	if status, _, _ := do(t, ready); status != 200 {
		t.Fatalf("/ready: %d", status)
	}
}

// A request that may have run is retried only if its class allows it; one that was rejected may be
// sent to another backend in any class.
func TestRetries(t *testing.T) {
	for _, test := range []struct {
		class      string
		status     int
		notStarted bool
		attempts   int
		answer     int
	}{
		{"order", 500, false, 1, http.StatusBadGateway},
		{"order", 503, false, 1, http.StatusBadGateway},
		{"order", 503, true, 3, http.StatusServiceUnavailable},
		{"send", 500, false, 3, http.StatusServiceUnavailable},
		{"look", 503, false, 3, http.StatusServiceUnavailable},
	} {
		t.Run(fmt.Sprint(test.class, test.status, test.notStarted), func(t *testing.T) {
			var addrs []string
			var came []chan string
			for range 5 {
				addr, ids := counted(t, test.status, test.notStarted)
				addrs, came = append(addrs, addr), append(came, ids)
			}
			_, base, _, _ := start(t, agenttest.Config(nowhere, addrs...))
			status, _, head := do(t, call(base, test.class))
			if status != test.answer {
				t.Errorf("answered %d, want %d", status, test.answer)
			}
			if want := status == http.StatusServiceUnavailable; (head.Get("Retry-After") == "0.6") != want {
				t.Errorf("Retry-After %q with %d", head.Get("Retry-After"), status)
			}
			attempts := 0
			for _, ids := range came {
				attempts += len(ids) // each was counted before it was answered
			}
			if attempts != test.attempts {
				t.Errorf("%d attempts, want %d", attempts, test.attempts)
			}
		})
	}
}

// A backend's incomplete answer is not forwarded, whole or in part.
func TestBrokenAnswerFails(t *testing.T) {
	addr := rawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err == nil {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone")
		}
	})
	_, base, _, _ := start(t, agenttest.Config(nowhere, addr))
	if status, body, _ := do(t, call(base, "order")); status != http.StatusBadGateway || body != "" {
		t.Fatalf("got %d %q", status, body)
	}
}

// A panic in the loop loses one input only.
func TestLoopPanic(t *testing.T) {
	addr, _ := counted(t, 200, false)
	agent, base, _, _ := start(t, agenttest.Config(nowhere, addr))
	agent.loop.post(requestArrived{request: nil})
	if status, _, _ := do(t, call(base, "order")); status != 200 {
		t.Fatalf("answered %d after a panic", status)
	}
}

// Requests above openRequests are rejected at once; left to wait for a slot they would be lost.
func TestMoreRequestsThanPlaces(t *testing.T) {
	release := make(chan struct{})
	open := sync.OnceFunc(func() { close(release) })
	stub := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(stub.Close)
	t.Cleanup(open) // before the backend closes, also when the test fails
	conf := agenttest.Config(nowhere, stub.Listener.Addr().String())
	conf["limits"].(map[string]any)["sockets"] = config.MinSockets
	agent, base, _, _ := start(t, conf)
	// However slow the machine: its clients may write late, its handlers answer late.
	agent.clients.SetPatience(agenttest.Never, agenttest.Never)
	const over = 20
	asked := minLimits.OpenRequests() + over
	if asked <= minLimits.ClientSockets() {
		t.Fatal("these fit into the places")
	}
	answers := make(chan int, asked)
	for range asked {
		go func() {
			resp, err := new(http.Transport).RoundTrip(call(base, "order"))
			if err != nil {
				t.Error(err)
				answers <- 0
				return
			}
			resp.Body.Close()
			answers <- resp.StatusCode
		}()
	}
	soon := time.After(10 * time.Second) // the module's own patience is 15 s here
	for range over {
		select {
		case status := <-answers:
			if status != http.StatusServiceUnavailable {
				t.Errorf("answered %d while the backend holds all, want 503", status)
			}
		case <-soon:
			t.Fatal("not refused at once")
		}
	}
	open()
	for range asked - over {
		if status := <-answers; status != 200 {
			t.Errorf("answered %d, want 200", status)
		}
	}
}

// The attempt of a client that has disconnected is cancelled.
func TestClientGone(t *testing.T) {
	got, ended := make(chan struct{}), make(chan struct{})
	addr := rawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err != nil {
			return
		}
		close(got)
		reader.ReadByte()
		close(ended)
	})
	_, base, _, _ := start(t, agenttest.Config(nowhere, addr))
	ctx, cancel := context.WithCancel(context.Background())
	go http.DefaultTransport.RoundTrip(call(base, "order").WithContext(ctx))
	<-got
	cancel()
	<-ended
}

// A backend that begins to drain during the connect to it is sent nothing, and the request is sent
// to another.
func TestDrainWhileDialling(t *testing.T) {
	good, came := counted(t, 200, false)
	agent, base, _, _ := start(t, agenttest.Config(nowhere, "127.0.0.1:1"))
	dialling := make(chan struct{})
	plain := agent.loop.pool.DialContext
	agent.loop.pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr == good {
			return plain(ctx, network, addr)
		}
		close(dialling)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answered := make(chan int, 1)
	go func() {
		resp, err := http.DefaultTransport.RoundTrip(call(base, "order"))
		if err != nil {
			t.Error(err)
			return
		}
		answered <- resp.StatusCode
	}()
	<-dialling
	text, _ := json.Marshal(map[string]any{"seq": 2, "hosts": []any{agenttest.Host(0, "127.0.0.1:1", "draining"), agenttest.Host(1, good, "ready")}})
	change, err := endpointlist.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	agent.loop.post(watchEvent{list: change})
	if status := <-answered; status != 200 {
		t.Fatalf("answered %d", status)
	}
	<-came
}

// quietLoop is a loop whose inputs a test handles itself.
func quietLoop(t *testing.T, backends ...string) *loop {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l, err := newLoop(ctx, parse(t, agenttest.Config(nowhere, backends...)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func listOf(seq int64, whole bool, hosts ...endpointlist.Host) endpointlist.List {
	return endpointlist.List{Seq: seq, Whole: whole, Hosts: hosts}
}

// Endpoint lists apply in the order of their versions, whether watched or fetched.
func TestListOrder(t *testing.T) {
	loop := quietLoop(t, "127.0.0.1:1", "127.0.0.1:2")
	endpoint := endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:1", Health: "draining"}
	usable := func(name string) bool { b := loop.backends[endpointlist.AddressOf(name)]; return b != nil && b.usable }
	loop.handle(watchEvent{list: listOf(5, false, endpoint)})
	if usable("s-0") || !usable("s-1") {
		t.Fatal("the change of version 5 was not applied")
	}
	endpoint.Health = "ready"
	loop.handle(watchEvent{list: listOf(4, false, endpoint)})
	loop.handle(endpointsFetched{list: listOf(3, true, endpoint)})
	if usable("s-0") || !usable("s-1") {
		t.Fatal("an older version was applied")
	}
	loop.handle(endpointsFetched{list: listOf(6, true, endpoint)})
	if !usable("s-0") || usable("s-1") || loop.watch.listVersion != 6 {
		t.Fatal("the whole list of version 6 was not applied")
	}
	if len(loop.backends) != 1 {
		t.Fatalf("%d backends kept, one is listed", len(loop.backends))
	}
	loop.handle(watchEvent{list: listOf(7, false, endpointlist.Host{Host: "s-0", Health: "gone"})})
	if len(loop.backends) != 0 || loop.ready.hasEndpoint.Load() {
		t.Fatal("the backend that is gone was kept")
	}
}

// A new process or address of a backend gets new connections; the backend stays the same.
func TestNewProcessNewConnections(t *testing.T) {
	loop := quietLoop(t, "127.0.0.1:1")
	b := loop.backends[endpointlist.AddressOf("s-0")]
	before := b.conns
	endpoint := endpointlist.Host{Host: "s-0", Dial: "127.0.0.1:1", Health: "ready", Share: 1}
	loop.handle(watchEvent{list: listOf(2, false, endpoint)})
	if b.conns != before {
		t.Fatal("connections thrown away though nothing changed")
	}
	waits := newLoopAttempt(b)
	for i, change := range []func(){func() { endpoint.Dial = "127.0.0.1:2" }, func() { endpoint.BornMs = 7 }} {
		change()
		loop.handle(watchEvent{list: listOf(int64(3+i), false, endpoint)})
		if loop.backends[endpointlist.AddressOf("s-0")] != b || b.conns == before || b.conns.Addr() != endpoint.Dial {
			t.Fatal("the old connections were kept")
		}
		before = b.conns
	}
	if res := waits.Run(); res.Status != policy.StatusRejected { // not begun, as its backend drains
		t.Fatal("an attempt that had not begun may still go to the old address")
	}
}

// A machine that vanished is silent on all its connections: after a timeout no idle connection to it
// is used again.
func TestTimeoutDropsIdle(t *testing.T) {
	closed := make(chan struct{})
	addr := rawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err == nil {
			io.WriteString(conn, okAnswer)
			reader.ReadByte()
			close(closed)
		}
	})
	loop := quietLoop(t, addr)
	target := loop.backends[endpointlist.AddressOf("s-0")]
	settings := loop.pool.Settings()
	settings.IdleTimeout = agenttest.Never
	loop.pool.Configure(settings)
	if res := newLoopAttempt(target).Run(); res.Status != policy.StatusOK {
		t.Fatalf("ended %d", res.Status)
	}
	loop.handle(attemptEnded{attempt: newLoopAttempt(target), result: backend.Result{Status: policy.StatusTimeout}})
	<-closed
}

func TestKeyHashDiffersAndIsNeverZero(t *testing.T) {
	if keyHash("u1") == keyHash("u2") || keyHash("") == 0 {
		t.Fatalf("got hashes %d and %d of two keys and %d of none, want three that differ and none that is 0",
			keyHash("u1"), keyHash("u2"), keyHash(""))
	}
}

// The module hears that a watch ended, and its next call goes out: in either mode, as on
// sockets only who watches is told of a drain.
func TestWatchIsAskedAgain(t *testing.T) {
	for _, mode := range []string{policy.MembershipPushed, policy.MembershipOnRequest} {
		t.Run(mode, func(t *testing.T) {
			asked := make(chan string, 10)
			discoveryServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				asked <- r.URL.RawQuery
				fmt.Fprintln(w, agenttest.EndpointChange)
			}))
			t.Cleanup(discoveryServer.Close)
			conf := agenttest.Config(discoveryServer.Listener.Addr().String(), "127.0.0.1:1")
			set := conf["settings"].(map[string]any)
			set["membershipMode"] = mode
			set["contract"].(map[string]any)["askWithinMs"] = 10
			start(t, conf)
			for _, want := range []string{"follow=1&since=1", "follow=1&since=2"} {
				select {
				case q := <-asked:
					if q != want {
						t.Fatalf("asked %q, want %q", q, want)
					}
				case <-time.After(agenttest.NoAnswerTimeout):
					t.Fatalf("never asked %q", want)
				}
			}
		})
	}
}
