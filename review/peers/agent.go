// Package peers holds the stand-ins for the review's cases 6 and up: bid servers, discovery, clients and
// the platform that starts agents. They follow the protocol page and use the loopback alone.
package peers

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file record.txt of a case. Times are seconds since its creation.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file. From then on a signal to end the case also ends what it started.
func NewRecord(path string) *Record {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		Exit(2)
	}()
	file, err := os.Create(path)
	if err != nil {
		Stop("record: %v", err)
	}
	return &Record{file: file, start: time.Now()}
}

// At returns a time in seconds since the creation of the record.
func (r *Record) At(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Line writes one line that begins with the present time.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f "+format+"\n", append([]any{r.At(time.Now())}, args...)...)
}

var (
	cleanMu sync.Mutex
	cleanup []func()
)

// AtExit adds a function that Exit and Stop run.
func AtExit(f func()) {
	cleanMu.Lock()
	defer cleanMu.Unlock()
	cleanup = append(cleanup, f)
}

// Exit runs the functions of AtExit and ends the process.
func Exit(code int) {
	cleanMu.Lock()
	for i := len(cleanup) - 1; i >= 0; i-- {
		cleanup[i]()
	}
	os.Exit(code)
}

// Stop ends the process with the code of a case that couldn't run.
func Stop(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	Exit(2)
}

// Verdict prints the result of a case and ends the process with 1 if the rule was broken, else with 0.
func Verdict(record *Record, breaks int, rule string) {
	if breaks > 0 {
		record.Line("BROKEN %s: %d times", rule, breaks)
		fmt.Printf("broken: %s, %d times\n", rule, breaks)
		Exit(1)
	}
	record.Line("held %s", rule)
	fmt.Printf("held: %s\n", rule)
	Exit(0)
}

// TempDir returns a temporary folder that is removed at the end.
func TempDir() string {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		Stop("temporary folder: %v", err)
	}
	AtExit(func() { os.RemoveAll(dir) })
	return dir
}

// FreeAddr returns a loopback address with a port that is free now.
func FreeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Stop("free port: %v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// DeployCommand returns a command of the deploy file. The case runs in the root of the repository.
func DeployCommand(key string) string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		Stop("deploy file: %v", err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, key+" = \""); ok {
			return strings.TrimRight(value, "\"\n")
		}
	}
	Stop("deploy file: no %s", key)
	return ""
}

// Agent is one process of the agent.
type Agent struct {
	Addr   string
	Ended  chan struct{} // closed when the process has ended
	cmd    *exec.Cmd
	path   string
	record *Record
}

// StartAgent writes the configuration, starts an agent with it and waits until it is ready.
func StartAgent(record *Record, dir string, config map[string]any) *Agent {
	a := &Agent{Addr: config["listen"].(string), path: filepath.Join(dir, config["name"].(string)+".json"),
		record: record}
	a.WriteConfig(config)
	a.Start()
	a.AwaitReady(8 * time.Second)
	return a
}

// WriteConfig replaces the agent's configuration file.
func (a *Agent) WriteConfig(config map[string]any) {
	text, err := json.Marshal(config)
	if err == nil {
		err = os.WriteFile(a.path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(a.path+".new", a.path)
	}
	if err != nil {
		Stop("configuration: %v", err)
	}
}

// Start starts the process with the run command of the deploy file. Its log goes to a file beside the
// configuration.
func (a *Agent) Start() {
	log, err := os.OpenFile(a.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Stop("log: %v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", DeployCommand("run"))
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+a.path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		Stop("agent: %v", err)
	}
	log.Close()
	ended := make(chan struct{})
	a.cmd, a.Ended = cmd, ended
	a.record.Line("agent %s started, process %d", a.Addr, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		a.record.Line("agent %s process %d ended: %v", a.Addr, cmd.Process.Pid, err)
		close(ended)
	}()
	AtExit(func() {
		cmd.Process.Kill()
		<-ended
	})
}

// AwaitReady waits until /ready answers 200.
func (a *Agent) AwaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if conn, err := net.DialTimeout("tcp", a.Addr, time.Second); err == nil {
			conn.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprintf(conn, "GET /ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
			answer := make([]byte, 12)
			n, _ := conn.Read(answer)
			conn.Close()
			if string(answer[:n]) == "HTTP/1.1 200" {
				a.record.Line("agent %s ready", a.Addr)
				return
			}
		}
	}
	Stop("agent %s was not ready in %v", a.Addr, limit)
}

// Pid returns the process id of the agent.
func (a *Agent) Pid() int { return a.cmd.Process.Pid }

// Signal sends a signal to the agent's process.
func (a *Agent) Signal(signal syscall.Signal) {
	a.record.Line("agent %s gets signal %v", a.Addr, signal)
	a.cmd.Process.Signal(signal)
}

// Log returns the agent's log.
func (a *Agent) Log() string {
	text, _ := os.ReadFile(a.path + ".log")
	return string(text)
}
