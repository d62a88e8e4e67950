package stand

import (
	"bufio"
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
	"syscall"
	"time"
)

// JSON is a JSON object.
type JSON = map[string]any

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// runCommand returns the command "run" of the deploy file, which is read from the current folder.
func runCommand() (string, error) {
	file, err := os.Open("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, found := strings.CutPrefix(lines.Text(), "run = "); found {
			return strconv.Unquote(text)
		}
	}
	return "", errors.New("deploy/balancer.toml: no run")
}

// Agent is one agent, a process of its own that is started as the deploy file says.
type Agent struct {
	Addr   string // where its clients connect
	Config string // path of its configuration

	record *Record
	cmd    *exec.Cmd
	done   chan struct{}
}

// StartAgent writes the configuration to a file in the folder, starts an agent with it, and waits
// until the agent is ready. The current folder is the repository's root.
func StartAgent(record *Record, folder string, config JSON) (*Agent, error) {
	name := config["name"].(string)
	a := &Agent{Addr: config["listen"].(string), Config: filepath.Join(folder, name+".json"), record: record}
	if err := a.WriteConfig(config); err != nil {
		return nil, err
	}
	return a, a.start()
}

// WriteConfig replaces the configuration file.
func (a *Agent) WriteConfig(config JSON) error {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(a.Config+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(a.Config+".new", a.Config)
}

func (a *Agent) start() error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(a.Config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	a.cmd = exec.Command("/bin/sh", "-c", command)
	a.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+a.Config)
	a.cmd.Stdout, a.cmd.Stderr = log, log
	a.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := a.cmd.Start(); err != nil {
		return err
	}
	a.done = make(chan struct{})
	go func() { _ = a.cmd.Wait(); close(a.done) }()
	a.record.Printf("agent at %s started, process %d", a.Addr, a.cmd.Process.Pid)
	return a.waitReady()
}

func (a *Agent) waitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + a.Addr + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			a.record.Printf("agent at %s is ready", a.Addr)
			return nil
		}
	}
	return fmt.Errorf("agent at %s was not ready in 15 s", a.Addr)
}

// Signal sends a signal to the agent.
func (a *Agent) Signal(signal syscall.Signal) {
	a.record.Printf("agent at %s gets the signal %v", a.Addr, signal)
	_ = a.cmd.Process.Signal(signal)
}

// Ended reports whether the process has ended.
func (a *Agent) Ended() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// Kill ends the agent, waits for its end, and copies its log to the record.
func (a *Agent) Kill() {
	if a == nil || a.cmd == nil || a.cmd.Process == nil {
		return
	}
	if a.Ended() {
		a.record.Printf("agent at %s had ended by itself: %v", a.Addr, a.cmd.ProcessState)
	}
	_ = a.cmd.Process.Kill()
	<-a.done
	log, _ := os.ReadFile(a.Config + ".log")
	for line := range strings.Lines(string(log)) {
		a.record.Printf("log of %s: %s", a.Addr, strings.TrimRight(line, "\n"))
	}
}

// Restart kills the agent and starts it again with the configuration file as it is.
func (a *Agent) Restart() error {
	a.Kill()
	_ = os.Remove(a.Config + ".log")
	return a.start()
}

// MemoryKB returns the resident memory of the process without that of files, such as its program, in
// kB. It is not more than what a platform counts.
func (a *Agent) MemoryKB() (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", a.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, "RssAnon:"); found {
			return strconv.Atoi(strings.Fields(text)[0])
		}
	}
	return 0, errors.New("the process has no RssAnon")
}
