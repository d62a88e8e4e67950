package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"ploverreel/internal/fleet"
	"ploverreel/policy"
)

// noLimit is longer than any test waits for.
const testLimit = 5 * time.Minute

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

// smallPlan returns a plan that plays everything on eight agents, in as little time as it can.
func smallPlan() *Plan {
	return &Plan{Size: fleet.Size{Agents: 8, Servers: 12, Services: 3, Regions: 2, Zones: 4, Rate: 100, Depth: 2, Seed: 1},
		StandIns: 1, Processes: 2, Membership: policy.MembershipPushed, Scope: ScopeFleet, AskWithin: 10 * time.Second, Changes: 2,
		Calm: time.Millisecond, Down: time.Millisecond, Silent: time.Millisecond, Cut: time.Millisecond,
		CutEvery: time.Millisecond, Limit: testLimit, Faults: true}
}

// inProcess runs the bench's processes as goroutines, and counts those that have not ended.
type inProcess struct {
	alive  sync.WaitGroup
	accept func(role string, cmd *command) bool // reports whether a process gets a command, else it is stopped; nil: it does
}

func (s *inProcess) spawn(ctx context.Context, role string) (*Process, error) {
	ctx, cancel := context.WithCancel(ctx)
	commands, in := io.Pipe()
	out, replies := io.Pipe()
	exited := make(chan struct{})
	s.alive.Add(1)
	go func() {
		defer s.alive.Done()
		defer close(exited)
		_ = Serve(ctx, role, s.filter(role, commands, cancel), replies)
		commands.Close()
		replies.Close()
	}()
	return &Process{name: role, commands: in, replies: json.NewDecoder(out), terminate: cancel,
		wait: func() error { <-exited; return nil }}, nil
}

// watched returns the commands that pass lets through, and stops the process at the first other one.
func (s *inProcess) filter(role string, commands io.Reader, stop func()) io.Reader {
	if s.accept == nil {
		return commands
	}
	filtered, w := io.Pipe()
	go func() {
		decoder := json.NewDecoder(commands)
		for {
			var cmd command
			if err := decoder.Decode(&cmd); err != nil {
				w.CloseWithError(err)
				return
			}
			if !s.accept(role, &cmd) {
				stop()
				w.Close()
				return
			}
			_ = json.NewEncoder(w).Encode(cmd)
		}
	}()
	return filtered
}

// Every agent has the last version in force in the end, after any fault: the real watch code reads what the
// stand-ins serve. Only a version that can't be delivered is not in force.
func TestRunBringsLastVersionToEveryAgent(t *testing.T) {
	for _, scope := range []string{ScopeFleet, ScopeService} {
		t.Run(scope, func(t *testing.T) {
			t.Parallel()
			p, bench := smallPlan(), &inProcess{}
			p.Scope = scope
			cases, _, err := Run(t.Context(), slog.New(slog.DiscardHandler), p, bench.spawn)
			if err != nil {
				t.Fatal(err)
			}
			bench.alive.Wait()
			if len(cases) != 6 {
				t.Fatalf("got %d cases, want 6", len(cases))
			}
			for _, c := range cases {
				for _, f := range c.Figures {
					want := 0.0
					if f.Name == "theirs_without_while_down" {
						want = 4 // all of the killed stand-in's
					}
					if strings.Contains(f.Name, "_without") && f.Value != want {
						t.Errorf("%s: got %s %v, want %v", c.Name, f.Name, f.Value, want)
					}
				}
			}
			for name, want := range map[string]float64{"first_agents": 8, "change_agents": 16, "changes": 2} {
				if got, _ := cases[0].Figure(name); got != want {
					t.Errorf("calm case: got %s %v, want %v", name, got, want)
				}
			}
			if lists, _ := cases[0].Figure("change_agent_lists"); lists < 2 {
				t.Errorf("calm case: got %v lists an agent for two changes, want 2 at least", lists)
			}
		})
	}
}

// The error of a run whose process dies names the process, and no other process is left.
func TestRunEndsWhenProcessDies(t *testing.T) {
	for _, role := range []string{RoleStandIn, RoleAgents} {
		bench := &inProcess{accept: func(r string, cmd *command) bool { return r != role || cmd.Op != opReport }}
		_, _, err := Run(t.Context(), slog.New(slog.DiscardHandler), smallPlan(), bench.spawn)
		if err == nil || !strings.Contains(err.Error(), role+": report: has died") {
			t.Errorf("%s: got error %v, want that the process has died", role, err)
		}
		bench.alive.Wait()
	}
}

// An interrupted run ends with the cause and leaves no process.
func TestRunEndsWhenInterrupted(t *testing.T) {
	cause := errors.New("interrupted")
	ctx, interrupt := context.WithCancelCause(t.Context())
	bench := &inProcess{accept: func(role string, cmd *command) bool {
		if cmd.Op == opList {
			interrupt(cause)
		}
		return true
	}}
	if _, _, err := Run(ctx, slog.New(slog.DiscardHandler), smallPlan(), bench.spawn); !errors.Is(err, cause) {
		t.Errorf("got error %v, want %v", err, cause)
	}
	bench.alive.Wait()
}

// Real processes take commands, and end with their standard input, as they do when the bench ends.
func TestServeEndsWithItsInput(t *testing.T) {
	spawn := SpawnProgram(os.Args[0], "control-process")
	for _, role := range []string{RoleStandIn, RoleAgents} {
		p, err := spawn(t.Context(), role)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := p.call(t.Context(), &command{Op: "unknown"}); err == nil || !strings.Contains(err.Error(), "unknown command") {
			t.Errorf("%s: got error %v, want an unknown command", role, err)
		}
		p.commands.Close()
		if err := p.wait(); err != nil {
			t.Errorf("%s: got error %v after its input ended, want none", role, err)
		}
	}
}
