package datapath

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ploverreel/internal/endpointlist"
)

const (
	// What an agent is allowed: one core, and the most that a deployment gives.
	agentCores, agentMemoryMB, agentSockets = 1, 192, 1024
	keepalive                               = time.Minute
	connectTimeout                          = 600 * time.Millisecond
	// readyWithin is how long an agent may take to start, endWithin to end after SIGTERM:
	// it holds nothing by then.
	readyWithin, endWithin = 30 * time.Second, 10 * time.Second
	pollEvery              = 10 * time.Millisecond
	// startTries is how often an agent is started where another process took its port first.
	startTries  = 5
	stderrBytes = 4 << 10 // kept of what an agent says
	// ticksPerS is the unit of the processor times in /proc.
	ticksPerS = 100
	class     = "look"
	tenant    = "all"
)

// settings are those of a usual deployment: one class that is safe to repeat, no probes, no
// load reports, quota and zones of the fleet.
func (p *Plan) settings(s scenario, index int) map[string]any {
	var zones []string
	for z := range p.Size.Zones {
		zones = append(zones, zone(z))
	}
	return map[string]any{
		"classes": []any{map[string]any{"name": class, "aimMs": s.objective.Milliseconds(), "giveUpMs": s.giveUp().Milliseconds(),
			"credit": 1, "lateShare": 0.2, "effect": "free"}},
		"tenants": []any{map[string]any{"name": tenant, "portion": 1, "quotaPerS": p.rate() * float64(s.replicas)}},
		"limits": map[string]any{"cancelling": true, "maxAttempts": 3, "connectTimeoutMs": connectTimeout.Milliseconds(),
			"keepaliveMs": keepalive.Milliseconds(), "maxRetryAfterMs": 600, "retryAfter": true},
		"contract": map[string]any{"answerSlackMs": 20, "askWithinMs": 10000, "coldFrom": 0.3, "coldMs": 8000,
			"drainGraceMs": 1000, "fallMultiple": 2.5, "tipAfterMs": 1000},
		"prices":       map[string]any{"crossZone": 0.03, "lateFail": 0.03, "probe": 0.04, "waste": 0.1},
		"objectiveMix": map[string]any{"whole": 0.5, "worstWindow": 0.3, "worstClass": 0.1, "worstTenant": 0.1},
		"clients":      map[string]any{"marksRetry": false}, "familyInfo": map[string]any{"warmKeys": false},
		"report": map[string]any{"how": "off"}, "membershipMode": "pushed", "failureDomains": zones, "shapes": []string{"k"},
		"index": index, "replicasOfMe": s.replicas, "zone": index % p.Size.Zones,
		"overShareWorth": 0.2, "roundMs": 5, "weights": "off", "worthBy": "request",
	}
}

func zone(i int) string { return fmt.Sprint("z", i) }

// list is the list of a hop's servers, dealt out over the zones.
func (p *Plan) list(addrs []string) endpointlist.List {
	l := endpointlist.List{Seq: 1, Whole: true}
	for i, addr := range addrs {
		l.Hosts = append(l.Hosts, endpointlist.Host{Host: fmt.Sprintf("s-%08x", i), Dial: addr, Site: zone(i % p.Size.Zones),
			Class: "k", Block: i % 64, Health: "ready", Share: 1})
	}
	return l
}

// process is one agent that runs.
type process struct {
	cmd    *exec.Cmd
	listen string
	stderr tail
	ended  chan struct{} // closed after err is set
	err    error
}

// start starts an agent and waits until it is ready. The port is free when it is chosen; an
// agent that finds it taken is started again with another.
func (p *Plan) start(ctx context.Context, dir string, s scenario, index int, discovery string, list endpointlist.List) (*process, error) {
	var err error
	for range startTries {
		var a *process
		a, err = p.startOn(dir, s, index, discovery, list)
		if err != nil {
			return nil, err
		}
		if err = a.awaitReady(ctx); err == nil {
			return a, nil
		}
		a.kill()
		if !strings.Contains(a.stderr.String(), syscall.EADDRINUSE.Error()) {
			break
		}
	}
	return nil, err
}

func (p *Plan) startOn(dir string, s scenario, index int, discovery string, list endpointlist.List) (*process, error) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &process{listen: free.Addr().String(), ended: make(chan struct{})}
	free.Close()
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", index), "listen": a.listen, "discovery": discovery, "seed": fmt.Sprintf("%x", p.Size.Seed+uint64(index)),
		"limits":   map[string]any{"cores": agentCores, "memory_mb": agentMemoryMB, "sockets": agentSockets},
		"settings": p.settings(s, index), "known": list})
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	path := filepath.Join(dir, fmt.Sprintf("n%d.json", index))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a.cmd = exec.Command(p.Agent)
	a.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path)
	a.cmd.Stderr = &a.stderr
	// A key that ends the bench must not reach the agents: the bench ends them itself.
	a.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := a.cmd.Start(); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	go func() {
		a.err = a.cmd.Wait()
		close(a.ended)
	}()
	return a, nil
}

// awaitReady waits until the agent has a server to send to.
func (a *process) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.listen+"/ready", nil)
		if err != nil {
			return fmt.Errorf("agent: %w", err)
		}
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-a.ended:
			return a.death()
		case <-ctx.Done():
			return fmt.Errorf("agent: not ready: %w", context.Cause(ctx))
		case <-time.After(pollEvery):
		}
	}
}

// death is the error of an agent that has ended by itself.
func (a *process) death() error {
	return fmt.Errorf("an agent ended: %w; it said: %s", errors.Join(errDied, a.err), strings.TrimSpace(a.stderr.String()))
}

var errDied = errors.New("died")

// kill ends the agent at once and waits for its end.
func (a *process) kill() {
	_ = a.cmd.Process.Kill() // an error means that it has ended
	<-a.ended
}

// stop ends the agent in order; one that does not end in time is killed.
func (a *process) stop() error {
	if err := a.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return a.death()
	}
	select {
	case <-a.ended:
	case <-time.After(endWithin):
		a.kill()
		return errors.New("an agent did not end after SIGTERM and was killed")
	}
	if a.err != nil {
		return a.death()
	}
	return nil
}

// usage is what an agent has used so far.
type usage struct {
	cpu       time.Duration
	rss, peak float64 // bytes
}

// usage reads the processor time and the memory of the agent.
func (a *process) usage() (usage, error) {
	var u usage
	dir := filepath.Join("/proc", strconv.Itoa(a.cmd.Process.Pid))
	text, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return u, fmt.Errorf("agent's usage: %w", err)
	}
	// The second field is the name, in parentheses, and may hold anything.
	at := strings.LastIndexByte(string(text), ')')
	fields := strings.Fields(string(text[at+1:]))
	if at < 0 || len(fields) < 13 {
		return u, fmt.Errorf("agent's usage: stat: %q", text)
	}
	ticks := 0
	for _, f := range fields[11:13] { // utime, stime
		n, err := strconv.Atoi(f)
		if err != nil {
			return u, fmt.Errorf("agent's usage: stat: %w", err)
		}
		ticks += n
	}
	u.cpu = time.Duration(ticks) * (time.Second / ticksPerS)
	text, err = os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return u, fmt.Errorf("agent's usage: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		var to *float64
		switch name {
		case "VmRSS":
			to = &u.rss
		case "VmHWM":
			to = &u.peak
		default:
			continue
		}
		kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
		if err != nil {
			return u, fmt.Errorf("agent's usage: %s: %w", name, err)
		}
		*to = kb * 1024
	}
	return u, nil
}

// tail keeps the end of what is written to it.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if over := len(t.text) - stderrBytes; over > 0 {
		t.text = append(t.text[:0], t.text[over:]...)
	}
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}
