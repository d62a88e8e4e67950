package agent

import (
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

	"ploverreel/internal/agenttest"
	"ploverreel/internal/config"
)

// minLimits has the smallest descriptor limit that a configuration may have.
var minLimits = config.Limits{Sockets: config.MinSockets}

// parse returns the configuration that a JSON object describes.
func parse(t *testing.T, conf map[string]any) *config.Config {
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

// newAgent makes an agent that serves nothing yet; its loop ends with the test.
func newAgent(t *testing.T, conf map[string]any) *Agent {
	t.Helper()
	agent, err := New(parse(t, conf), slog.New(loopInspector{slog.DiscardHandler, make(chan func(), 1)}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.stop)
	return agent
}

// start serves an agent until the test ends; stop is its SIGTERM, ended gets what Serve returns.
func start(t *testing.T, conf map[string]any) (agent *Agent, base string, stop func(), ended chan error) {
	t.Helper()
	return startOn(t, conf, func(ln net.Listener) net.Listener { return ln })
}

// startOn is start with a listener that wrap makes of the agent's.
func startOn(t *testing.T, conf map[string]any, wrap func(net.Listener) net.Listener) (agent *Agent, base string, stop func(), ended chan error) {
	t.Helper()
	agent = newAgent(t, conf)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- agent.Serve(ctx, wrap(ln)) }()
	t.Cleanup(func() {
		stop()
		agent.server.Close()
		agent.stop()
	})
	return agent, "http://" + ln.Addr().String(), stop, ended
}

// lastID counts up, so that every request has an id of its own.
var lastID atomic.Int64

// call is a valid request of a class.
func call(base, class string) *http.Request {
	method := http.MethodPost
	if class == "look" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, base+"/"+class+"/u1", strings.NewReader("body"))
	if err != nil {
		panic(err)
	}
	if class == "look" {
		req.Body, req.ContentLength = nil, 0
	}
	req.Header.Set("Request-Id", fmt.Sprint("id", lastID.Add(1)))
	req.Header.Set("Request-Timeout", "30000m")
	if class == "send" {
		req.Header.Set("Idempotency-Key", "k1")
	}
	return req
}

func do(t *testing.T, req *http.Request) (int, string, http.Header) {
	t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("no whole answer: %v", err)
	}
	return resp.StatusCode, string(body), resp.Header
}

// nowhere is the address of a discovery that refuses connections.
const nowhere = "127.0.0.1:1"

// dial opens a client's connection by hand.
func dial(t *testing.T, base string) net.Conn {
	t.Helper()
	return agenttest.Dial(t, base)
}

// answered reads all that comes on a connection until it ends.
func answered(t *testing.T, conn net.Conn) string {
	t.Helper()
	return agenttest.ReadToEnd(t, conn)
}

// raw is the text of a complete request without a body.
func raw(class, id string) string { return agenttest.RequestText(class, id) }
