package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"ploverreel/internal/endpointlist"
	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

// never is longer than any test waits for.
const never = 5 * time.Minute

// TestMain makes the test binary a process of the bench when it is started as one.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "control-process" {
		if err := Serve(context.Background(), os.Args[2], os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// small is a plan that plays everything on eight agents, in as little time as it can.
func small() *Plan {
	return &Plan{Size: fleet.Size{Agents: 8, Servers: 12, Services: 3, Regions: 2, Zones: 4, Rate: 100, Depth: 2, Seed: 1},
		StandIns: 1, Processes: 2, Membership: policy.MembershipPushed, Scope: ScopeFleet, AskWithin: 10 * time.Second, Changes: 2,
		Calm: time.Millisecond, Down: time.Millisecond, Silent: time.Millisecond, Cut: time.Millisecond,
		CutEvery: time.Millisecond, Limit: never, Faults: true}
}

// inProcess runs the bench's processes as goroutines, and counts those that have not ended.
type inProcess struct {
	alive sync.WaitGroup
	pass  func(role string, cmd *command) bool // whether a process lives on to take a command; nil: it does
}

func (s *inProcess) spawn(ctx context.Context, role string) (*Process, error) {
	ctx, stop := context.WithCancel(ctx)
	commands, in := io.Pipe()
	out, replies := io.Pipe()
	ended := make(chan struct{})
	s.alive.Add(1)
	go func() {
		defer s.alive.Done()
		defer close(ended)
		_ = Serve(ctx, role, s.watched(role, commands, stop), replies)
		commands.Close()
		replies.Close()
	}()
	return &Process{name: role, in: in, out: json.NewDecoder(out), end: stop,
		wait: func() error { <-ended; return nil }}, nil
}

// watched stops a process at the command that it is not to take.
func (s *inProcess) watched(role string, commands io.Reader, stop func()) io.Reader {
	if s.pass == nil {
		return commands
	}
	passed, w := io.Pipe()
	go func() {
		lines := json.NewDecoder(commands)
		for {
			var cmd command
			if err := lines.Decode(&cmd); err != nil {
				w.CloseWithError(err)
				return
			}
			if !s.pass(role, &cmd) {
				stop()
				w.Close()
				return
			}
			_ = json.NewEncoder(w).Encode(cmd)
		}
	}()
	return passed
}

// Every agent has the last version in force in the end, whatever happened on the way: the
// real watch code reads what the stand-ins say. Only what can't be delivered is not in force.
func TestEveryAgentHasTheLastVersion(t *testing.T) {
	for _, scope := range []string{ScopeFleet, ScopeService} {
		t.Run(scope, func(t *testing.T) {
			t.Parallel()
			p, bench := small(), &inProcess{}
			p.Scope = scope
			cases, _, err := Run(t.Context(), slog.New(slog.DiscardHandler), p, bench.spawn)
			if err != nil {
				t.Fatal(err)
			}
			bench.alive.Wait()
			if len(cases) != 6 {
				t.Fatalf("%d cases", len(cases))
			}
			for _, c := range cases {
				for _, f := range c.Figures {
					want := 0.0
					if f.Name == "theirs_without_while_down" {
						want = 4 // all of the killed stand-in's
					}
					if strings.Contains(f.Name, "_without") && f.Value != want {
						t.Errorf("%s: %s is %v, want %v", c.Name, f.Name, f.Value, want)
					}
				}
			}
			for name, want := range map[string]float64{"first_agents": 8, "change_agents": 16, "changes": 2} {
				if got, _ := cases[0].Figure(name); got != want {
					t.Errorf("%s is %v, want %v", name, got, want)
				}
			}
			if lists, _ := cases[0].Figure("change_agent_lists"); lists < 2 {
				t.Errorf("%v lists for two changes", lists)
			}
		})
	}
}

// A process that dies ends the run with its name, and no other is left.
func TestDeadProcessEndsTheRun(t *testing.T) {
	for _, role := range []string{RoleStandIn, RoleAgents} {
		bench := &inProcess{pass: func(r string, cmd *command) bool { return r != role || cmd.Op != opReport }}
		_, _, err := Run(t.Context(), slog.New(slog.DiscardHandler), small(), bench.spawn)
		if err == nil || !strings.Contains(err.Error(), role+": report: has died") {
			t.Errorf("%s: %v", role, err)
		}
		bench.alive.Wait()
	}
}

// An interrupted run ends with the cause and leaves no process.
func TestInterruptedRunEnds(t *testing.T) {
	cause := errors.New("interrupted")
	ctx, interrupt := context.WithCancelCause(t.Context())
	bench := &inProcess{pass: func(role string, cmd *command) bool {
		if cmd.Op == opList {
			interrupt(cause)
		}
		return true
	}}
	if _, _, err := Run(ctx, slog.New(slog.DiscardHandler), small(), bench.spawn); !errors.Is(err, cause) {
		t.Error(err)
	}
	bench.alive.Wait()
}

// Real processes take commands, and end with their standard input: with the bench.
func TestProcessesEndWithTheBench(t *testing.T) {
	spawn := Command(os.Args[0], "control-process")
	for _, role := range []string{RoleStandIn, RoleAgents} {
		p, err := spawn(t.Context(), role)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := p.call(t.Context(), &command{Op: "dance"}); err == nil || !strings.Contains(err.Error(), "unknown command") {
			t.Errorf("%s: %v", role, err)
		}
		p.in.Close()
		if err := p.wait(); err != nil {
			t.Errorf("%s: %v", role, err)
		}
	}
}

// A directory tells changes after a version that it had, and else the whole list.
func TestDirectoryTellsChanges(t *testing.T) {
	host := func(i int, health string) endpointlist.Host {
		return endpointlist.Host{Host: serverName(i), Health: health}
	}
	d := newDirectory(nil)
	d.take(&endpointlist.List{Seq: 5, Whole: true, Hosts: []endpointlist.Host{host(0, "ready"), host(1, "ready")}})
	d.take(&endpointlist.List{Seq: 6, Hosts: []endpointlist.Host{host(0, "gone")}})
	d.take(&endpointlist.List{Seq: 7, Hosts: []endpointlist.Host{host(2, "ready")}})
	for _, c := range []struct {
		since int64
		whole bool
		names string
	}{
		{0, true, "1 2"}, {4, true, "1 2"}, {5, false, "0 2"}, {6, false, "2"}, {7, false, ""}, {8, true, "1 2"},
	} {
		for range 2 { // the second is the kept text
			text, seq, err := d.text(0, c.since)
			var l endpointlist.List
			if err == nil {
				err = json.Unmarshal(text, &l)
			}
			if err != nil || seq != 7 || l.Seq != 7 || l.Whole != c.whole {
				t.Fatalf("since %d: %v, version %d, %+v", c.since, err, seq, l)
			}
			var names []string
			for i := range 3 {
				for _, h := range l.Hosts {
					if h.Host == serverName(i) {
						names = append(names, fmt.Sprint(i))
					}
				}
			}
			if got := strings.Join(names, " "); got != c.names || len(names) != len(l.Hosts) {
				t.Errorf("since %d: told of %q, want %q", c.since, got, c.names)
			}
		}
	}
}

// What makes no sense or does not fit is named by its argument.
func TestPlansThatMakeNoSenseAreNamed(t *testing.T) {
	if err := small().Validate(); err != nil {
		t.Fatal(err)
	}
	for arg, spoil := range map[string]func(*Plan){
		"servers":    func(p *Plan) { p.Sweep, p.Size.Agents = true, 32 },
		"agents":     func(p *Plan) { p.Size.Agents, p.Size.Servers = 100_000, 100_000 },
		"stand-ins":  func(p *Plan) { p.StandIns, p.Size.Regions, p.Processes = 100, 4, 1 },
		"processes":  func(p *Plan) { p.Processes = 0 },
		"changes":    func(p *Plan) { p.Changes = -1 },
		"calm":       func(p *Plan) { p.Calm = 0 },
		"limit":      func(p *Plan) { p.Limit = 2 * time.Hour },
		"spread":     func(p *Plan) { p.Spread = -1 },
		"membership": func(p *Plan) { p.Membership = "?" },
		"scope":      func(p *Plan) { p.Scope = "" },
	} {
		p := small()
		spoil(p)
		var usage *fleet.UsageError
		if err := p.Validate(); !errors.As(err, &usage) || usage.Arg != arg {
			t.Errorf("%s: %v", arg, err)
		}
	}
}

// The slopes are of the fleets that differ in the parameter alone, and foretell the target.
func TestSlopesOfTheParameter(t *testing.T) {
	var cases []fleet.Case
	add := func(name string, agents, servers float64) {
		c := fleet.Case{Name: name, Params: map[string]float64{"agents": agents, "servers": servers}}
		c.Add("standin_rss", "bytes", 10+agents)
		c.Add("agent_heap", "bytes", 5+2*servers)
		cases = append(cases, c)
	}
	for _, n := range []float64{1, 2, 4, 6} {
		add(caseAgents, n, 8)
		add(caseServers, 2, n)
	}
	add(caseServers, 2, 8)
	add(caseTarget, 8, 8)
	got := map[string]fleet.Fit{}
	for _, f := range fit(slog.New(slog.DiscardHandler), cases, fleet.Size{Agents: 8, Servers: 8}) {
		got[f.Figure] = f
	}
	for figure, want := range map[string]struct{ slope, target float64 }{"standin_rss": {1, 18}, "agent_heap": {2, 21}} {
		f := got[figure]
		if math.Abs(f.Slope-want.slope) > 1e-9 || math.Abs(f.AtTarget-want.target) > 1e-9 || f.Measured == nil || *f.Measured != want.target {
			t.Errorf("%s: %+v", figure, f)
		}
	}
	if len(got) != 2 {
		t.Errorf("%d slopes of two figures", len(got))
	}
}

// An agent that was not reached has no time, and the part of all that it belongs to neither.
func TestFiguresOfUnreachedAgentsAreLeftOut(t *testing.T) {
	f := &fleetRun{events: [][]event{{{Seq: 2, At: 2_000_000}}, {{Seq: 1, At: 1_000_000}}}}
	took, c := newDelays(), fleet.Case{}
	if err := took.add(f, []int{0, 1}, 2, time.Unix(0, 0), since(time.Unix(1, 0))); err != nil {
		t.Fatal(err)
	}
	took.addTo(&c, "x")
	if without, _ := c.Figure("x_without"); without != 1 {
		t.Errorf("%v agents without the version", without)
	}
	if at, ok := c.Figure("x_p50"); !ok || at < 0.999 || at > 1.001 {
		t.Errorf("half the agents after %v s", at)
	}
	if _, ok := c.Figure("x_p99"); ok {
		t.Error("99% of the agents were not reached and have a time")
	}
}
