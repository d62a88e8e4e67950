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

// agentBinary is the path of the agent's binary that TestMain builds.
var agentBinary string

// TestMain builds the agent and runs the tests. With PATH_TEST_DIES=1 the test binary acts instead
// as an agent that exits at its first call.
func TestMain(m *testing.M) {
	if os.Getenv("PATH_TEST_DIES") == "1" {
		exitAtFirstCall()
	}
	dir, err := os.MkdirTemp("", "path-test-")
	if err != nil {
		panic(err)
	}
	agentBinary = filepath.Join(dir, "ploverreel")
	if output, err := exec.Command("go", "build", "-o", agentBinary, "ploverreel/cmd/ploverreel").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, output))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// exitAtFirstCall acts as an agent that reports that it is ready and exits at its first call.
func exitAtFirstCall() {
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
			fmt.Fprintln(os.Stderr, "fatal: first call")
			os.Exit(3)
		}
	}))
}

// tinyPlan returns a plan with four short cases. Its latency objective is so long that even a slow
// machine meets it.
func tinyPlan() *Plan {
	return &Plan{Size: fleet.Size{Agents: 2, Servers: 8, Services: 4, Regions: 1, Zones: 2, Rate: 400, Depth: 2, Seed: 7},
		Agent: agentBinary, Lists: []int{2, 5}, Replicas: []int{1}, Open: []int{2}, Chains: 2,
		Answer: time.Millisecond, Objective: time.Minute, Calls: 20, Warmup: 5}
}

// expectNoChildProcess fails the test if a child of this process is running or was not waited for.
func expectNoChildProcess(t *testing.T) {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the process has ended meanwhile
		}
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		if len(fields) > 1 && fields[1] == fmt.Sprint(os.Getpid()) {
			n++
		}
	}
	if n > 0 {
		t.Errorf("got %d processes left, want none", n)
	}
}

// Every call of every case is counted exactly once as served, refused or failed, and no process is
// left.
func TestRunCountsEveryCallOnce(t *testing.T) {
	p := tinyPlan()
	if err := p.Validate(); err != nil {
		t.Fatal(err)
	}
	r := fleet.NewResult("path", nil, p.Size)
	if err := p.Run(t.Context(), slog.New(slog.DiscardHandler), r); err != nil {
		t.Fatal(err)
	}
	if len(r.Cases) != 4 {
		t.Fatalf("got %d cases, want 4", len(r.Cases))
	}
	for i, agents := range []float64{2, 2, 2, 1} {
		c := r.Cases[i]
		get := func(name string) float64 {
			v, ok := c.Figure(name)
			if !ok {
				t.Errorf("%s: got no figure %s, want one", c.Name, name)
			}
			return v
		}
		if c.Params["agents"] != agents {
			t.Errorf("%s: got %v agents, want %v", c.Name, c.Params["agents"], agents)
		}
		calls := float64(p.Calls) * agents / c.Params["hops"]
		if sum := get("served") + get("refused") + get("failed"); get("calls") != calls || sum != calls {
			t.Errorf("%s: got %v calls and %v that ended, want %v of both", c.Name, get("calls"), sum, calls)
		}
		if lost := get("direct_lost"); lost > 0 {
			t.Errorf("%s: got %v direct calls lost, want none", c.Name, lost)
		}
		if get("served") == 0 || get("attempts_a_call") < get("served_share") {
			t.Errorf("%s: got %v served and %v attempts a call, want some and an attempt for each", c.Name, get("served"), get("attempts_a_call"))
		}
		if get("rss") <= 0 || get("rss_peak") < get("rss") || get("connections_peak") <= 0 || get("open_peak") <= 0 {
			t.Errorf("%s: got %+v, want memory, connections and open calls", c.Name, c.Figures)
		}
	}
	expectNoChildProcess(t)
}

// When an agent exits during a run, the run's error contains the end of the agent's standard error.
func TestRunEndsWhenAgentDies(t *testing.T) {
	t.Setenv("PATH_TEST_DIES", "1")
	p := tinyPlan()
	p.Agent, p.Calls = os.Args[0], 1e6
	r := fleet.NewResult("path", nil, p.Size)
	err := p.Run(t.Context(), slog.New(slog.DiscardHandler), r)
	if !errors.Is(err, errAgentDied) || !strings.Contains(err.Error(), "fatal: first call") || len(r.Cases) > 0 {
		t.Errorf("got error %v and %d cases, want %v with the log and no case", err, len(r.Cases), errAgentDied)
	}
	expectNoChildProcess(t)
}

// cancelAtMessage is a log handler that calls cancel when that message is logged.
type cancelAtMessage struct {
	slog.Handler
	message string
	cancel  context.CancelFunc
}

func (s cancelAtMessage) Enabled(context.Context, slog.Level) bool { return true }

func (s cancelAtMessage) Handle(_ context.Context, r slog.Record) error {
	if r.Message == s.message {
		s.cancel()
	}
	return nil
}

// A run that is interrupted while it starts agents or while it measures returns the cause and
// leaves no process.
func TestRunLeavesNoProcessWhenInterrupted(t *testing.T) {
	for _, when := range []string{"starting", "measuring"} {
		ctx, cancel := context.WithCancel(t.Context())
		p := tinyPlan()
		p.Calls = 1e6
		r := fleet.NewResult("path", nil, p.Size)
		err := p.Run(ctx, slog.New(cancelAtMessage{slog.DiscardHandler, when, cancel}), r)
		if !errors.Is(err, context.Canceled) || len(r.Cases) > 0 {
			t.Errorf("interrupted while %s: got error %v and %d cases, want %v and none", when, err, len(r.Cases), context.Canceled)
		}
		expectNoChildProcess(t)
		cancel()
	}
}

// Validate names the invalid argument in its error.
func TestPlanValidateNamesInvalidArgument(t *testing.T) {
	for arg, change := range map[string]func(p *Plan){
		"agents":    func(p *Plan) { p.Size.Agents = 0 },
		"agent":     func(p *Plan) { p.Agent += "-not" },
		"list":      func(p *Plan) { p.Lists = []int{12, 0} },
		"replicas":  func(p *Plan) { p.Replicas = nil },
		"open":      func(p *Plan) { p.Open = []int{100_000} },
		"beside":    func(p *Plan) { p.Chains = fleet.MaxProcesses },
		"answer":    func(p *Plan) { p.Answer = -1 },
		"objective": func(p *Plan) { p.Objective = 0 },
		"seconds":   func(p *Plan) { p.Calls = 0 },
		"warmup":    func(p *Plan) { p.Warmup = 1 << 30 },
	} {
		p := tinyPlan()
		change(p)
		var usage *fleet.UsageError
		if err := p.Validate(); !errors.As(err, &usage) || usage.Arg != arg {
			t.Errorf("got error %v, want a usage error of --%s", err, arg)
		}
	}
}
