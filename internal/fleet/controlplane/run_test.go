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

// testLimit is the limit of the plan in tests. It is long enough that no test reaches it.
const testLimit = 5 * time.Minute

// TestMain runs a process of the bench instead of the tests if the test binary is started as one.
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

// smallPlan returns a plan with all faults, eight agents and the shortest possible phases.
func smallPlan() *Plan {
	return &Plan{Size: fleet.Size{Agents: 8, Servers: 12, Services: 3, Regions: 2, Zones: 4, Rate: 100, Depth: 2, Seed: 1},
		StandIns: 1, Processes: 2, Membership: policy.MembershipPushed, Scope: ScopeFleet, AskWithin: 10 * time.Second, Changes: 2,
		Calm: time.Millisecond, Down: time.Millisecond, Silent: time.Millisecond, Cut: time.Millisecond,
		CutEvery: time.Millisecond, Limit: testLimit, Faults: true}
}

// goroutineProcesses runs the processes of the bench as goroutines of the test.
type goroutineProcesses struct {
	alive sync.WaitGroup // the processes that have not ended

	// accept reports whether a process gets a command. If not, the process is stopped instead. With
	// nil a process gets all commands.
	accept func(role string, cmd *command) bool
}

func (s *goroutineProcesses) spawn(ctx context.Context, role string) (*Process, error) {
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

// filter returns the commands up to the first that accept rejects. At that command it stops the
// process.
func (s *goroutineProcesses) filter(role string, commands io.Reader, stop func()) io.Reader {
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

// Every agent has applied the last version at the end of each case, also after a fault. The agents
// read the lists of the stand-ins with the real watch code. The only version that some agents lack
// is the one that was published while their stand-in was down.
func TestRunDeliversLastVersionToEveryAgent(t *testing.T) {
	for _, scope := range []string{ScopeFleet, ScopeService} {
		t.Run(scope, func(t *testing.T) {
			t.Parallel()
			p, bench := smallPlan(), &goroutineProcesses{}
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
						want = 4 // all agents of the killed stand-in
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
				t.Errorf("calm case: got %v lists per agent for two changes, want at least 2", lists)
			}
		})
	}
}

// If a process dies, the run returns an error that names the process, and all other processes have
// ended.
func TestRunFailsWhenProcessDies(t *testing.T) {
	for _, role := range []string{RoleStandIn, RoleAgents} {
		bench := &goroutineProcesses{accept: func(r string, cmd *command) bool { return r != role || cmd.Op != opReport }}
		_, _, err := Run(t.Context(), slog.New(slog.DiscardHandler), smallPlan(), bench.spawn)
		if err == nil || !strings.Contains(err.Error(), role+": report: has died") {
			t.Errorf("%s: got error %v, want an error that says the process has died", role, err)
		}
		bench.alive.Wait()
	}
}

// An interrupted run returns the cause of the interrupt, and all processes have ended.
func TestRunFailsWhenInterrupted(t *testing.T) {
	cause := errors.New("interrupted")
	ctx, interrupt := context.WithCancelCause(t.Context())
	bench := &goroutineProcesses{accept: func(role string, cmd *command) bool {
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

// A real process executes commands and exits when its standard input ends. The standard input also
// ends when the bench ends for any reason, so no process outlives the bench.
func TestServeReturnsWhenInputEnds(t *testing.T) {
	spawn := SpawnProgram(os.Args[0], "control-process")
	for _, role := range []string{RoleStandIn, RoleAgents} {
		p, err := spawn(t.Context(), role)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := p.call(t.Context(), &command{Op: "unknown"}); err == nil || !strings.Contains(err.Error(), "unknown command") {
			t.Errorf("%s: got error %v, want one about an unknown command", role, err)
		}
		p.commands.Close()
		if err := p.wait(); err != nil {
			t.Errorf("%s: got error %v after its input ended, want none", role, err)
		}
	}
}
