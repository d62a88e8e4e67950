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
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
)

// refusingAddr is an address that refuses connections. It serves as that of a discovery or a
// backend.
const refusingAddr = "127.0.0.1:1"

// clientTimeout is the time that a raw client waits for a response before its test fails.
const clientTimeout = 20 * time.Second

// minLimits has the smallest limit of file descriptors that a configuration may have.
var minLimits = config.Limits{Sockets: config.MinSockets}

// parseConfig returns the configuration that a JSON object describes.
func parseConfig(t *testing.T, conf map[string]any) *config.Config {
	t.Helper()
	text, err := json.Marshal(conf)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// newList returns an endpoint list.
func newList(seq int64, whole bool, hosts ...endpointlist.Host) endpointlist.List {
	return endpointlist.List{Seq: seq, Whole: whole, Hosts: hosts}
}

// newTestLoop returns a loop that knows these backends and ends with the test. No goroutine runs
// it: the test handles its inputs.
func newTestLoop(t *testing.T, backends ...string) *loop {
	t.Helper()
	l, err := newLoop(t.Context(), parseConfig(t, agenttest.Config(refusingAddr, backends...)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// newAgent returns an agent that doesn't serve yet. Its loop ends with the test.
func newAgent(t *testing.T, conf map[string]any) *Agent {
	t.Helper()
	agent, err := New(parseConfig(t, conf), slog.New(loopInspector{slog.DiscardHandler, make(chan func(), 1)}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.stop)
	return agent
}

// newListener returns a listener that is closed at the end of the test.
func newListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// serveAgent serves an agent on the listener until the test ends. stop has the effect of SIGTERM,
// and ended receives the result of Serve.
func serveAgent(t *testing.T, agent *Agent, listener net.Listener) (base string, stop func(), ended chan error) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- agent.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		agent.server.Close()
		agent.stop()
	})
	return "http://" + listener.Addr().String(), stop, ended
}

// startAgent creates an agent and serves it with serveAgent.
func startAgent(t *testing.T, conf map[string]any) (agent *Agent, base string, stop func(), ended chan error) {
	t.Helper()
	return startAgentOn(t, conf, func(listener net.Listener) net.Listener { return listener })
}

// startAgentOn is startAgent with a listener that wrap returns for the agent's own.
func startAgentOn(t *testing.T, conf map[string]any, wrap func(net.Listener) net.Listener) (agent *Agent, base string, stop func(), ended chan error) {
	t.Helper()
	agent = newAgent(t, conf)
	base, stop, ended = serveAgent(t, agent, wrap(newListener(t)))
	return agent, base, stop, ended
}

// lastID is the number of the last request id, so that each request has an id of its own.
var lastID atomic.Int64

// newClientRequest returns a valid request of a class.
func newClientRequest(base, class string) *http.Request {
	method, body := http.MethodPost, io.Reader(strings.NewReader("body"))
	if class == "look" {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequest(method, base+"/"+class+"/u1", body)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Request-Id", fmt.Sprint("id", lastID.Add(1)))
	req.Header.Set("Request-Timeout", "30000m")
	if class == "send" {
		req.Header.Set("Idempotency-Key", "k1")
	}
	return req
}

// do sends a request and returns the status, the body and the header of the response.
func do(t *testing.T, req *http.Request) (int, string, http.Header) {
	t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatalf("got %v, want a response", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("got %v, want a complete response", err)
	}
	return resp.StatusCode, string(body), resp.Header
}

// doAsync sends a request in the background on its own connection, and sends the status of the
// response on the channel. If there is no response, it fails the test and sends 0.
func doAsync(t *testing.T, req *http.Request) <-chan int {
	statuses := make(chan int, 1)
	go func() {
		resp, err := new(http.Transport).RoundTrip(req)
		if err != nil {
			t.Errorf("got %v, want a response", err)
			statuses <- 0
			return
		}
		resp.Body.Close()
		statuses <- resp.StatusCode
	}()
	return statuses
}

// checkStatus sends a valid request of the class "order" and checks the status of the response.
func checkStatus(t *testing.T, base string, want int, when string) {
	t.Helper()
	if status, _, _ := do(t, newClientRequest(base, "order")); status != want {
		t.Fatalf("%s: got status %d, want %d", when, status, want)
	}
}

// checkResponse reads a response and checks its status.
func checkResponse(t *testing.T, reader *bufio.Reader, want int) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("got %v, want a response", err)
	}
	if resp.StatusCode != want {
		t.Fatalf("got status %d, want %d", resp.StatusCode, want)
	}
	return resp
}

// checkRejected checks that a response has status 503 and the configuration's longest Retry-After.
func checkRejected(t *testing.T, status int, header http.Header) {
	t.Helper()
	if got := header.Get("Retry-After"); status != http.StatusServiceUnavailable || got != "0.6" {
		t.Fatalf("got status %d with Retry-After %q, want %d with 0.6", status, got, http.StatusServiceUnavailable)
	}
}
