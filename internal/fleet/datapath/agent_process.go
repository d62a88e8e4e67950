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
	// startTimeout is how long an agent may take to be ready. shutdownTimeout is how long it may
	// take to exit after SIGTERM; it has no open calls by then.
	startTimeout, shutdownTimeout = 30 * time.Second, 10 * time.Second
	// readyPollInterval is the time between two checks whether an agent is ready.
	readyPollInterval = 10 * time.Millisecond
	// maxStartAttempts is how often an agent is started if other processes take its port.
	maxStartAttempts = 5
	// maxStderrBytes bounds the end of an agent's standard error that is kept.
	maxStderrBytes = 4 << 10
)

// agentProcess is an agent that runs as a child process.
type agentProcess struct {
	cmd     *exec.Cmd
	addr    string
	stderr  tailBuffer
	exited  chan struct{} // closed after exitErr is set
	exitErr error
}

// startAgent starts an agent and waits until it is ready. Another process may take the agent's port
// after it was chosen. The agent is then started again on another port.
func (p *Plan) startAgent(ctx context.Context, dir string, s scenario, index int, discovery string, list endpointlist.List) (*agentProcess, error) {
	var err error
	for range maxStartAttempts {
		var a *agentProcess
		a, err = p.startAgentOnFreePort(dir, s, index, discovery, list)
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

// startAgentOnFreePort chooses a free port and starts an agent on it.
func (p *Plan) startAgentOnFreePort(dir string, s scenario, index int, discovery string, list endpointlist.List) (*agentProcess, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &agentProcess{addr: listener.Addr().String(), exited: make(chan struct{})}
	listener.Close()
	config, err := p.agentConfig(s, index, a.addr, discovery, list)
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	path := filepath.Join(dir, fmt.Sprintf("n%d.json", index))
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a.cmd = exec.Command(p.Agent)
	a.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path)
	a.cmd.Stderr = &a.stderr
	// The agent gets its own process group, so that Ctrl+C does not interrupt it: fleetbench stops
	// it itself.
	a.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := a.cmd.Start(); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	go func() {
		a.exitErr = a.cmd.Wait()
		close(a.exited)
	}()
	return a, nil
}

// awaitReady waits until the agent reports that it can send requests to a server.
func (a *agentProcess) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.addr+"/ready", nil)
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
		case <-a.exited:
			return a.exitError()
		case <-ctx.Done():
			return fmt.Errorf("agent: not ready: %w", context.Cause(ctx))
		case <-time.After(readyPollInterval):
		}
	}
}

// exitError returns the error for an agent that exited by itself, with the end of its standard
// error.
func (a *agentProcess) exitError() error {
	return fmt.Errorf("an agent exited: %w; its standard error: %s", errors.Join(errAgentDied, a.exitErr), strings.TrimSpace(a.stderr.String()))
}

// errAgentDied is in the error of a run in which an agent exited by itself.
var errAgentDied = errors.New("died")

// kill kills the agent and waits until it has exited.
func (a *agentProcess) kill() {
	_ = a.cmd.Process.Kill() // an error means that the agent has exited already
	<-a.exited
}

// stop sends SIGTERM to the agent and waits until it has exited. It kills an agent that takes
// longer than shutdownTimeout and returns an error.
func (a *agentProcess) stop() error {
	if err := a.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return a.exitError()
	}
	select {
	case <-a.exited:
	case <-time.After(shutdownTimeout):
		a.kill()
		return errors.New("an agent did not exit after SIGTERM and was killed")
	}
	if a.exitErr != nil {
		return a.exitError()
	}
	return nil
}

// tailBuffer is a writer that keeps the last maxStderrBytes bytes written to it.
type tailBuffer struct {
	mu   sync.Mutex
	text []byte
}

func (t *tailBuffer) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if over := len(t.text) - maxStderrBytes; over > 0 {
		t.text = append(t.text[:0], t.text[over:]...)
	}
	return len(p), nil
}

func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}
