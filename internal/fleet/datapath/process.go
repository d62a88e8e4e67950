package datapath

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"ploverreel/internal/endpointlist"
)

const (
	// readyWithin is how long an agent may take to start, endWithin to end after SIGTERM:
	// it holds nothing by then.
	readyWithin, endWithin = 30 * time.Second, 10 * time.Second
	pollEvery              = 10 * time.Millisecond
	// startTries is how often an agent is started where another process took its port first.
	startTries  = 5
	stderrBytes = 4 << 10 // kept of an agent's standard error
)

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

// startOn starts an agent on a port that is free.
func (p *Plan) startOn(dir string, s scenario, index int, discovery string, list endpointlist.List) (*process, error) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &process{listen: free.Addr().String(), ended: make(chan struct{})}
	free.Close()
	text, err := p.agentConfig(s, index, a.listen, discovery, list)
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

// death returns the error of an agent that has ended by itself.
func (a *process) death() error {
	return fmt.Errorf("an agent ended: %w; it said: %s", errors.Join(errDied, a.err), strings.TrimSpace(a.stderr.String()))
}

var errDied = errors.New("died")

// kill ends the agent at once and waits until it has ended.
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
