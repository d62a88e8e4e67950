package datapath

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ploverreel/internal/config"
	"ploverreel/internal/fleet"
)

// binary is the agent's program, built for the tests.
var binary string

// TestMain builds the agent, or is one that dies at its first call.
func TestMain(m *testing.M) {
	if os.Getenv("PATH_TEST_DIES") == "1" {
		dieAtFirstCall()
	}
	dir, err := os.MkdirTemp("", "path-test-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "ploverreel")
	if said, err := exec.Command("go", "build", "-o", binary, "ploverreel/cmd/ploverreel").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, said))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func dieAtFirstCall() {
	conf, err := config.Load(os.Getenv("EDGE_CONFIG"))
	if err != nil {
		panic(err)
	}
	ln, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/ready" {
			fmt.Fprintln(os.Stderr, "out of luck")
			os.Exit(3)
		}
	}))
}

// tiny is a plan of four short cases; its latency objective is one that no machine misses.
func tiny() *Plan {
	return &Plan{Size: fleet.Size{Agents: 2, Servers: 8, Services: 4, Regions: 1, Zones: 2, Rate: 400, Depth: 2, Seed: 7},
		Agent: binary, Lists: []int{2, 5}, Replicas: []int{1}, Open: []int{2}, Chains: 2,
		Answer: time.Millisecond, Objective: time.Minute, Calls: 20, Warmup: 5}
}

// children counts this process's children that were not waited for.
func children(t *testing.T) int {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has ended
		}
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		if len(fields) > 1 && fields[1] == fmt.Sprint(os.Getpid()) {
			n++
		}
	}
	return n
}

// Every call of every case is counted once, whatever became of it, and no process is left.
func TestEveryCallIsCounted(t *testing.T) {
	p := tiny()
	if err := p.Validate(); err != nil {
		t.Fatal(err)
	}
	r := fleet.NewResult("path", nil, p.Size)
	if err := p.Run(t.Context(), slog.New(slog.DiscardHandler), r); err != nil {
		t.Fatal(err)
	}
	if len(r.Cases) != 4 {
		t.Fatalf("%d cases", len(r.Cases))
	}
	for i, agents := range []float64{2, 2, 2, 1} {
		c := r.Cases[i]
		get := func(name string) float64 {
			v, ok := c.Figure(name)
			if !ok {
				t.Errorf("%s: no %s", c.Name, name)
			}
			return v
		}
		if c.Params["agents"] != agents {
			t.Errorf("%s: %v agents", c.Name, c.Params["agents"])
		}
		calls := float64(p.Calls) * agents / c.Params["hops"]
		if sum := get("served") + get("refused") + get("failed"); get("calls") != calls || sum != calls {
			t.Errorf("%s: %v calls, %v of them ended, want %v", c.Name, get("calls"), sum, calls)
		}
		if lost := get("direct_lost"); lost > 0 {
			t.Errorf("%s: %v direct calls lost", c.Name, lost)
		}
		if get("served") == 0 || get("attempts_a_call") < get("served_share") {
			t.Errorf("%s: %v served, %v attempts a call", c.Name, get("served"), get("attempts_a_call"))
		}
		if get("rss") <= 0 || get("rss_peak") < get("rss") || get("connections_peak") <= 0 || get("open_peak") <= 0 {
			t.Errorf("%s: %+v", c.Name, c.Figures)
		}
	}
	if n := children(t); n > 0 {
		t.Errorf("%d processes left", n)
	}
}

// An agent that dies while it is measured ends the run with the end of its log.
func TestAgentThatDiesEndsTheRun(t *testing.T) {
	t.Setenv("PATH_TEST_DIES", "1")
	p := tiny()
	p.Agent, p.Calls = os.Args[0], 1e6
	r := fleet.NewResult("path", nil, p.Size)
	err := p.Run(t.Context(), slog.New(slog.DiscardHandler), r)
	if !errors.Is(err, errDied) || !strings.Contains(err.Error(), "out of luck") || len(r.Cases) > 0 {
		t.Errorf("%v, %d cases", err, len(r.Cases))
	}
	if n := children(t); n > 0 {
		t.Errorf("%d processes left", n)
	}
}

// stopAt cancels when the message is logged.
type stopAt struct {
	slog.Handler
	message string
	cancel  context.CancelFunc
}

func (s stopAt) Enabled(context.Context, slog.Level) bool { return true }

func (s stopAt) Handle(_ context.Context, r slog.Record) error {
	if r.Message == s.message {
		s.cancel()
	}
	return nil
}

// An interrupted run ends with the cause, whenever it comes, and leaves no process.
func TestInterruptedRunLeavesNothing(t *testing.T) {
	for _, when := range []string{"starting", "measuring"} {
		ctx, cancel := context.WithCancel(t.Context())
		p := tiny()
		p.Calls = 1e6
		r := fleet.NewResult("path", nil, p.Size)
		err := p.Run(ctx, slog.New(stopAt{slog.DiscardHandler, when, cancel}), r)
		if !errors.Is(err, context.Canceled) || len(r.Cases) > 0 {
			t.Errorf("%s: %v, %d cases", when, err, len(r.Cases))
		}
		if n := children(t); n > 0 {
			t.Errorf("%s: %d processes left", when, n)
		}
		cancel()
	}
}

// What makes no sense is refused by its argument before anything starts.
func TestArgumentsThatMakeNoSense(t *testing.T) {
	for arg, spoil := range map[string]func(p *Plan){
		"agents":   func(p *Plan) { p.Size.Agents = 0 },
		"agent":    func(p *Plan) { p.Agent += "-not" },
		"list":     func(p *Plan) { p.Lists = []int{12, 0} },
		"replicas": func(p *Plan) { p.Replicas = nil },
		"open":     func(p *Plan) { p.Open = []int{100_000} },
		"beside":   func(p *Plan) { p.Chains = fleet.MaxProcesses },
		"answer":   func(p *Plan) { p.Answer = -1 },
		"aim":      func(p *Plan) { p.Objective = 0 },
		"seconds":  func(p *Plan) { p.Calls = 0 },
		"warmup":   func(p *Plan) { p.Warmup = 1 << 30 },
	} {
		p := tiny()
		spoil(p)
		var usage *fleet.UsageError
		if err := p.Validate(); !errors.As(err, &usage) || usage.Arg != arg {
			t.Errorf("%s: %v", arg, err)
		}
	}
}
