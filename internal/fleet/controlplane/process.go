package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The roles of the bench's processes, the last argument of their command line.
const (
	RoleStandIn = "stand-in"
	RoleAgents  = "agents"
)

// The commands of the bench to its processes.
const (
	opOpen    = "open"    // stand-in: Plan, List, Ports. agents: Plan, Agents, Ports
	opList    = "list"    // stand-in: List
	opSilence = "silence" // stand-in: Silent
	opRestart = "restart" // agents: Agents
	opReport  = "report"  // both
)

// command is one line from the bench to a process of its own; a reply comes for each.
type command struct {
	Op     string          `json:"op"`
	Plan   *Plan           `json:"plan,omitempty"`
	List   json.RawMessage `json:"list,omitempty"`
	Ports  []int           `json:"ports,omitempty"` // of a stand-in's scopes, or of each agent's discovery
	Agents []int           `json:"agents,omitempty"`
	Silent bool            `json:"silent,omitempty"`
	Heap   bool            `json:"heap,omitempty"` // report: collect the garbage first
}

// reply is a process's answer.
type reply struct {
	Error  string  `json:"error,omitempty"`
	Usage  usage   `json:"usage"`
	Counts counts  `json:"counts"`
	AgeMs  int64   `json:"age_ms,omitempty"` // since the source of truth last said anything
	Events []event `json:"events,omitempty"`
	LateMs float64 `json:"late_ms,omitempty"` // report: the longest wait for a processor since the last
}

// delayProbeEvery is how often a process looks whether it gets a processor.
const delayProbeEvery = 20 * time.Millisecond

// schedulingDelay is how long a process waited for a processor: its own of GOMAXPROCS, or one of
// the machine's, which others use too. A measured time can't be told apart from a wait of that length.
type schedulingDelay struct {
	mu   sync.Mutex
	most time.Duration
}

// watch measures until the context ends.
func (l *schedulingDelay) watch(ctx context.Context) {
	for {
		began := time.Now()
		if sleep(ctx, delayProbeEvery) != nil {
			return
		}
		l.mu.Lock()
		l.most = max(l.most, time.Since(began)-delayProbeEvery)
		l.mu.Unlock()
	}
}

// takeMs returns the longest wait since the last call, in milliseconds.
func (l *schedulingDelay) takeMs() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := l.most
	l.most = 0
	return float64(most) / float64(time.Millisecond)
}

// usage is what a process has taken of the machine.
type usage struct {
	CPUMs     float64 `json:"cpu_ms"` // user and system, since its start
	RSS       float64 `json:"rss"`    // bytes, now
	Heap      float64 `json:"heap"`   // bytes in use by Go, exact after a garbage collection
	Allocated float64 `json:"allocated"`
}

// measureUsage reads this process's usage, after a garbage collection if collect is set.
func measureUsage(collect bool) (u usage, err error) {
	if collect {
		runtime.GC()
	}
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return u, fmt.Errorf("usage: %w", err)
	}
	u.CPUMs = float64(r.Utime.Nano()+r.Stime.Nano()) / 1e6
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return u, fmt.Errorf("usage: %w", err)
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return u, errors.New("usage: statm: no resident pages")
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return u, fmt.Errorf("usage: %w", err)
	}
	u.RSS = pages * float64(os.Getpagesize())
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Heap, u.Allocated = float64(m.HeapAlloc), float64(m.TotalAlloc)
	return u, nil
}

// Serve runs a process of the bench in one role, RoleStandIn or RoleAgents: it reads commands, one
// JSON object each, from in and writes a reply to out for each. It returns nil when in ends, as it
// does when the bench ends, or when the context is done; and an error for an unknown role, for
// what is no command, or if a reply can't be written. A command that fails is no error of Serve:
// its reply says so.
func Serve(ctx context.Context, role string, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var handle func(context.Context, *command) (reply, error)
	switch role {
	case RoleStandIn:
		s := &standIn{}
		defer s.close()
		handle = s.handle
	case RoleAgents:
		h := &simulatedAgents{}
		defer h.close()
		handle = h.handle
	default:
		return fmt.Errorf("unknown role %q", role)
	}
	delay := &schedulingDelay{}
	go delay.watch(ctx)
	commands := make(chan command)
	ended := make(chan error, 1)
	go func() {
		lines := json.NewDecoder(in)
		for {
			var cmd command
			if err := lines.Decode(&cmd); err != nil {
				ended <- err
				return
			}
			select {
			case commands <- cmd:
			case <-ctx.Done():
				return
			}
		}
	}()
	replies := json.NewEncoder(out)
	for {
		select {
		case cmd := <-commands:
			answer, err := handle(ctx, &cmd)
			if err == nil {
				answer.Usage, err = measureUsage(cmd.Heap)
			}
			if err != nil {
				answer.Error = err.Error()
			}
			if cmd.Op == opReport {
				answer.LateMs = delay.takeMs()
			}
			if err := replies.Encode(answer); err != nil {
				return fmt.Errorf("reply: %w", err)
			}
		case err := <-ended:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("command: %w", err)
		case <-ctx.Done():
			return nil
		}
	}
}

// Process is the bench's handle of one of its processes: a pipe for commands and one for replies.
type Process struct {
	name string
	in   io.WriteCloser
	out  *json.Decoder
	end  func()       // ends it at once
	wait func() error // returns when it has ended
	once sync.Once
}

// Spawn starts a process in a role, RoleStandIn or RoleAgents. The caller has to close or kill it.
type Spawn func(ctx context.Context, role string) (*Process, error)

// Command returns a Spawn that starts the program with the arguments, followed by the role. Each
// process has one core for Go code, as the bench shares its machine. The Spawn's errors name the role.
func Command(program string, args ...string) Spawn {
	return func(ctx context.Context, role string) (*Process, error) {
		cmd := exec.Command(program, append(args[:len(args):len(args)], role)...)
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
		cmd.Stderr = os.Stderr
		in, err := cmd.StdinPipe()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", role, err)
		}
		out, err := cmd.StdoutPipe()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", role, err)
		}
		if err := cmd.Start(); err != nil {
			return nil, fmt.Errorf("%s: %w", role, err)
		}
		return &Process{name: fmt.Sprintf("%s, process %d", role, cmd.Process.Pid), in: in, out: json.NewDecoder(out),
			end: func() { _ = cmd.Process.Kill() }, wait: cmd.Wait}, nil
	}
}

// call has a command carried out. An error ends the run: the process may be gone, or in
// the midst of the command.
func (p *Process) call(ctx context.Context, cmd *command) (reply, error) {
	type result struct {
		reply
		err error
	}
	done := make(chan result, 1)
	go func() {
		var r result
		if r.err = json.NewEncoder(p.in).Encode(cmd); r.err == nil {
			r.err = p.out.Decode(&r.reply)
		}
		done <- r
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil && ctx.Err() != nil: // an interrupted process dies of it
			return r.reply, fmt.Errorf("%s: %s: %w", p.name, cmd.Op, context.Cause(ctx))
		case r.err != nil:
			return r.reply, fmt.Errorf("%s: %s: has died: %w", p.name, cmd.Op, r.err)
		case r.Error != "":
			return r.reply, fmt.Errorf("%s: %s: %s", p.name, cmd.Op, r.Error)
		}
		return r.reply, nil
	case <-ctx.Done():
		return reply{}, fmt.Errorf("%s: %s: %w", p.name, cmd.Op, context.Cause(ctx))
	}
}

// kill ends the process as a failing machine's would.
func (p *Process) kill() {
	p.once.Do(func() {
		p.end()
		_ = p.wait() // it was killed
		p.in.Close()
	})
}

// shutdownGrace is how long a process may take to end after its commands have.
const shutdownGrace = 5 * time.Second

// close lets the process end, and ends it if it does not.
func (p *Process) close() {
	p.once.Do(func() {
		p.in.Close()
		late := time.AfterFunc(shutdownGrace, p.end)
		defer late.Stop()
		_ = p.wait() // its results have come, or the run's error is known
	})
}
