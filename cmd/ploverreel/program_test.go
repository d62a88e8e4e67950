package main

import (
	"bytes"
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
	"testing"
	"time"
)

const (
	// childVariable is the environment variable that makes the test binary run the program instead
	// of the tests.
	childVariable = "PLOVERREEL_TEST_CHILD"
	// descriptorsVariable is the environment variable for the limit of the child's descriptors.
	descriptorsVariable = "PLOVERREEL_TEST_DESCRIPTORS"
)

// TestMain runs the program instead of the tests if childVariable is set.
func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "1" {
		if limit, err := strconv.ParseUint(os.Getenv(descriptorsVariable), 10, 64); err == nil {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
				panic(err)
			}
		}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const settings = `{"classes":[{"name":"order","aimMs":500,"giveUpMs":1000,"credit":1,"effect":"single_shot"}],
 "membershipMode":"on_request","limits":{"maxAttempts":3,"connectTimeoutMs":150,"keepaliveMs":30000,"maxRetryAfterMs":600},
 "contract":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.3,"coldMs":8000,"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},
 "replicasOfMe":1,"roundMs":5,"weights":"nominal","failureDomains":["a"],"shapes":["k"]}`

// configWith returns a configuration whose endpoint list has one backend.
func configWith(listen, discovery, backend string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s,
 "known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"site":"a","class":"k","health":"ready","share":1}]}}`,
		listen, discovery, settings, backend)
}

// freeAddress returns an address on which nothing listens. Its host is a loopback address that only
// this process uses. On 127.0.0.1 the kernel could assign the port to a connection of another
// process before the program listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	free, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&0x7f, pid>>8&0xff, 1+pid&0x7f))
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	return free.Addr().String()
}

// program is a child process that runs the program. It is killed at the end of the test.
type program struct {
	cmd        *exec.Cmd
	listen     string
	configPath string
	log        *logBuffer
}

// startProgram starts the program with a configuration, which contains the address listen, and with
// additional environment variables.
func startProgram(t *testing.T, listen, config string, env ...string) *program {
	t.Helper()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &program{cmd: exec.Command(executable), listen: listen, log: &logBuffer{},
		configPath: filepath.Join(t.TempDir(), "config.json")}
	p.writeConfig(t, config)
	p.cmd.Env = append(append(os.Environ(), childVariable+"=1", "EDGE_CONFIG="+p.configPath), env...)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait() // returns an error if the test has already waited
	})
	return p
}

func (p *program) writeConfig(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(p.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (p *program) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// reload replaces the configuration file and sends SIGHUP.
func (p *program) reload(t *testing.T, config string) {
	t.Helper()
	p.writeConfig(t, config)
	p.signal(t, syscall.SIGHUP)
}

// eventually waits up to 30 s for a condition.
func (p *program) eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s; log:\n%s", what, p.log)
		}
	}
}

// awaitLogged waits until the log contains a text exactly n times.
func (p *program) awaitLogged(t *testing.T, text string, n int) {
	t.Helper()
	p.eventually(t, "the log line "+text, func() bool { return strings.Count(p.log.String(), text) == n })
}

// awaitReady waits until /ready is answered with 200.
func (p *program) awaitReady(t *testing.T) {
	t.Helper()
	p.eventually(t, "ready", func() bool {
		resp, err := http.Get("http://" + p.listen + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// awaitExit waits until the program ends, and checks that its exit code is 0.
func (p *program) awaitExit(t *testing.T) {
	t.Helper()
	if err := p.cmd.Wait(); err != nil {
		t.Fatalf("got %v, want exit code 0; log:\n%s", err, p.log)
	}
}

// order sends a valid request of the class order and returns the status of the response.
func (p *program) order() (status string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.listen+"/order/u1", strings.NewReader("x"))
	if err != nil {
		return "", err
	}
	req.Header.Set("Request-Id", "1")
	req.Header.Set("Request-Timeout", "30000m")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	resp.Body.Close()
	return resp.Status, nil
}

// checkLogged checks that the program logged these messages in this order, possibly with others
// between them. The program must have ended.
func (p *program) checkLogged(t *testing.T, want ...string) {
	t.Helper()
	rest := p.log.String()
	for _, message := range want {
		_, after, found := strings.Cut(rest, "msg="+message+" ")
		if !found {
			t.Fatalf("got no message %s at its position, want %s in order; log:\n%s", message, want, p.log)
		}
		rest = after
	}
}

// logBuffer collects the output of the program. It may be read while the program writes to it.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
