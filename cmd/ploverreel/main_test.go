package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
)

func TestProgramServesUntilSIGTERM(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "done ", r.URL.Path)
	}))
	defer backend.Close()
	listen := freeAddress(t)
	p := startProgram(t, listen, configWith(listen, "127.0.0.1:1", backend.Listener.Addr().String()))
	p.awaitReady(t)
	status, err := p.order()
	if err != nil {
		t.Fatalf("got %v, want an answer; log:\n%s", err, p.log)
	}
	if status != "200 OK" {
		t.Fatalf("got status %s, want 200 OK; log:\n%s", status, p.log)
	}
	p.signal(t, syscall.SIGTERM)
	p.awaitExit(t)
	p.checkLogged(t, "started", "stopped")
}

// classStatus returns the status of a request of the class "another" without an id, or 0 if there is
// no response.
func (p *program) classStatus() int {
	req, _ := http.NewRequest(http.MethodPost, "http://"+p.listen+"/another/u1", strings.NewReader("x"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// SIGHUP reloads the configuration. A valid configuration is applied. An invalid one changes nothing
// and is logged in one line. The program continues in both cases.
func TestProgramReloadsOnSIGHUP(t *testing.T) {
	calls := make(chan string, 100)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		<-r.Context().Done()
	}))
	defer discovery.Close()
	listen := freeAddress(t)
	p := startProgram(t, listen, configWith(listen, "127.0.0.1:1", "127.0.0.1:1"))
	p.awaitReady(t)
	p.reload(t, configWith(listen, "nowhere", "127.0.0.1:1"))
	p.awaitLogged(t, "config: discovery:", 1)
	moved := configWith(listen, discovery.Listener.Addr().String(), "127.0.0.1:1")
	p.reload(t, moved)
	if got := map[string]bool{<-calls: true, <-calls: true}; !got[""] || !got["follow=1&since=0"] {
		t.Fatalf("got calls %v, want a fetch and a watch from version 0", got)
	}
	p.awaitReady(t)
	// A change that needs a restart is logged in one line, and nothing of the new configuration is
	// applied.
	p.reload(t, configWith("127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"))
	p.awaitLogged(t, "config: listen: can't change without a restart", 1)
	p.awaitReady(t)
	// Other settings are applied without a restart: a class that was unknown becomes known.
	if got := p.classStatus(); got != http.StatusNotFound {
		t.Fatalf("got status %d of an unknown class, want %d", got, http.StatusNotFound)
	}
	p.reload(t, strings.Replace(moved, `"name":"order"`, `"name":"another"`, 1))
	p.eventually(t, "the new class", func() bool { return p.classStatus() == http.StatusBadRequest }) // the id is missing
	p.signal(t, syscall.SIGTERM)
	p.awaitExit(t)
	p.checkLogged(t, "started", `"reload rejected"`, `"reload applied"`, `"reload rejected"`, `"reload applied"`, "stopped")
}

// During a shutdown the program must answer the requests in progress, even if further signals arrive
// and the configuration file is invalid by then.
func TestProgramShutsDownDespiteFurtherSignals(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(received)
		<-release
		fmt.Fprint(w, "done")
	}))
	defer backend.Close()
	listen := freeAddress(t)
	config := strings.Replace(configWith(listen, "127.0.0.1:1", backend.Listener.Addr().String()),
		`"giveUpMs":1000`, `"giveUpMs":30000`, 1)
	p := startProgram(t, listen, config)
	p.awaitReady(t)
	answers := make(chan string, 1)
	go func() {
		status, err := p.order()
		if err != nil {
			status = err.Error()
		}
		answers <- status
	}()
	<-received
	p.signal(t, syscall.SIGHUP)
	p.signal(t, syscall.SIGTERM)
	p.reload(t, config[:len(config)/2])
	p.eventually(t, "the incomplete file rejected", func() bool { return strings.Contains(p.log.String(), "reload rejected") })
	p.signal(t, syscall.SIGTERM)
	p.signal(t, syscall.SIGINT)
	close(release)
	if got := <-answers; got != "200 OK" {
		t.Errorf("got status %s, want 200 OK; log:\n%s", got, p.log)
	}
	p.awaitExit(t)
}

func TestProgramNamesInvalidFieldOfConfig(t *testing.T) {
	p := startProgram(t, "", `{"name":"n0","listen":"127.0.0.1"}`)
	if err := p.cmd.Wait(); err == nil {
		t.Fatal("got exit code 0 with an invalid configuration, want another")
	}
	if got := p.log.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "config: listen:") {
		t.Fatalf("got %q, want one line that names listen", got)
	}
}
