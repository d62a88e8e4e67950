package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// outage is a discovery that is down at an address of its own until it comes back: refusing, as
// nobody listens, silent once a connection is up, or unreachable, so that none comes up.
type outage struct {
	addr string
	fd   int
	back *http.Server
	told atomic.Int32 // watches that were told the list
}

func newOutage(t *testing.T, how string) *outage {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	o := &outage{fd: fd}
	t.Cleanup(func() {
		if o.back == nil {
			syscall.Close(fd)
		} else {
			o.back.Close()
		}
	})
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	o.addr = fmt.Sprint("127.0.0.1:", at.(*syscall.SockaddrInet4).Port)
	if how == "refusing" {
		return o
	}
	backlog := 128
	if how == "unreachable" {
		backlog = 0 // one connection fills it, and the system drops what asks for another
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		t.Fatal(err)
	}
	if how == "unreachable" {
		c, err := net.Dial("tcp", o.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
	return o
}

// comeBack lets discovery tell its list, in full, to whoever asks or watches.
func (o *outage) comeBack(t *testing.T, list string) {
	t.Helper()
	if err := syscall.Listen(o.fd, 128); err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(o.fd), "discovery")
	ln, err := net.FileListener(f)
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	o.back = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, list)
		if r.URL.RawQuery != "" {
			w.(http.Flusher).Flush()
			o.told.Add(1)
			<-r.Context().Done()
		}
	})}
	go o.back.Serve(ln)
}

// Idle clients in all places, requests on all connections to backends, and a discovery that
// is down and moves: the program opens no more than limits.sockets, which is all that the
// system lets it open here, and /ready, discovery's calls and the backends find theirs.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	const sockets, toBackends = 64, 19 // the least that a configuration may have, and what is kept of it
	for _, how := range []string{"refusing", "silent", "unreachable"} {
		t.Run(how, func(t *testing.T) {
			held, release := make(chan struct{}, 100), make(chan struct{})
			open := sync.OnceFunc(func() { close(release) })
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.Header.Get("Request-Id"), "hold") {
					held <- struct{}{}
					<-release
				}
				fmt.Fprint(w, "done")
			}))
			t.Cleanup(backend.Close)
			t.Cleanup(open)
			renewed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprint(w, "renewed")
			}))
			t.Cleanup(renewed.Close)
			hosts := func(name string, n int, at net.Addr) string {
				all := []string{}
				for i := range n {
					all = append(all, fmt.Sprintf(`{"host":"%s-%d","dial":%q,"site":"a","class":"k","health":"ready","share":1}`,
						name, i, at))
				}
				return `{"seq":7,"whole":true,"hosts":[` + strings.Join(all, ",") + `]}`
			}
			listen := freeAddress(t)
			configFor := func(discovery string) string {
				long := strings.NewReplacer(`"aimMs":500,"giveUpMs":1000`, `"aimMs":50000,"giveUpMs":60000`).Replace(settings)
				return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":%d},
 "settings":%s,"known":%s}`, listen, discovery, sockets, long, hosts("old", toBackends+1, backend.Listener.Addr()))
			}
			first, second := newOutage(t, how), newOutage(t, how)
			cmd, out, path := child(t, configFor(first.addr), fmt.Sprint("MOLEPADDLE_DESCRIPTORS=", sockets))
			awaitReady(t, listen, out)
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			ask := func(id string) string {
				req, _ := http.NewRequest(http.MethodPost, "http://"+listen+"/order", strings.NewReader("x"))
				req.Header.Set("Request-Id", id)
				req.Header.Set("Request-Timeout", "60000m")
				resp, err := client.Do(req)
				if err != nil {
					return err.Error()
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				if err != nil {
					return err.Error()
				}
				return fmt.Sprint(resp.StatusCode, " ", string(body))
			}
			ready := func(when string) {
				t.Helper()
				resp, err := client.Get("http://" + listen + "/ready")
				if err != nil {
					t.Fatalf("%s: %v; it said %s", when, err, out)
				}
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					t.Fatalf("%s: /ready answered %d", when, resp.StatusCode)
				}
			}
			idle := func(kind string) { // more of them than there are descriptors
				for i := range 2 * sockets {
					c, err := net.DialTimeout("tcp", listen, time.Minute)
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(func() { c.Close() })
					if i%2 == 0 {
						fmt.Fprintf(c, "POST /order HTTP/1.1\r\nHost: b\r\nRequest-Id: %s%d\r\nRequest-Timeout: 60000m\r\nContent-Length: 0\r\n\r\n", kind, i)
						if _, err := io.ReadFull(c, make([]byte, len("HTTP/1.1 200"))); err != nil {
							t.Fatalf("%s client %d: %v; it said %s", kind, i, err, out)
						}
					}
				}
			}
			idle("idle")
			ready("with idle clients")
			answered := make(chan string, toBackends)
			for i := range toBackends {
				go func() { answered <- ask(fmt.Sprint("hold", i)) }()
			}
			eventually(t, "all connections to backends in use", out, func() bool { return len(held) == toBackends })
			for range 3 * sockets { // these say nothing
				if c, err := net.DialTimeout("tcp", listen, time.Minute); err == nil {
					t.Cleanup(func() { c.Close() })
				}
			}
			ready("with requests on all connections to backends")
			for i, discovery := range []string{second.addr, first.addr, second.addr, first.addr} {
				write(t, path, configFor(discovery))
				if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
					t.Fatal(err)
				}
				eventually(t, "another discovery", out, func() bool {
					return strings.Count(out.String(), "discovery address changed") == i+1
				})
			}
			ready("while discovery moves")
			first.comeBack(t, hosts("new", 3, renewed.Listener.Addr()))
			eventually(t, "a watch opened", out, func() bool { return first.told.Load() > 0 })
			open()
			for range toBackends {
				if said := <-answered; said != "200 done" {
					t.Errorf("a held request was answered %s", said)
				}
			}
			idle("again")
			n := 0
			eventually(t, "a request served by a backend of the new list", out, func() bool {
				n++
				return ask(fmt.Sprint("last", n)) == "200 renewed"
			})
			ready("with discovery back")
			if strings.Contains(out.String(), "too many open files") {
				t.Errorf("it said %s", out)
			}
		})
	}
}
