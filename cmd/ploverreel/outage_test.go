package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
)

// outageKind is the way in which discovery is down.
type outageKind string

const (
	refusing    outageKind = "refusing"    // connects are refused
	silent      outageKind = "silent"      // connections are accepted, requests are never answered
	unreachable outageKind = "unreachable" // connects get no response
)

// listenBacklog is the backlog of a listener whose connections come up.
const listenBacklog = 128

// outage is a discovery that is down until recover is called. It has an address of its own.
type outage struct {
	addr    string
	fd      int
	server  *http.Server // nil until recover
	watches atomic.Int32 // number of watches that were sent the list
}

func newOutage(t *testing.T, kind outageKind) *outage {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	o := &outage{fd: fd}
	t.Cleanup(o.close)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	o.addr = fmt.Sprint("127.0.0.1:", bound.(*syscall.SockaddrInet4).Port)
	switch kind {
	case silent:
		o.listen(t, listenBacklog)
	case unreachable:
		// One connection fills a backlog of 0, and the kernel drops further connects.
		o.listen(t, 0)
		conn, err := net.Dial("tcp", o.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
	}
	return o
}

func (o *outage) listen(t *testing.T, backlog int) {
	t.Helper()
	if err := syscall.Listen(o.fd, backlog); err != nil {
		t.Fatal(err)
	}
}

func (o *outage) close() {
	if o.server == nil {
		syscall.Close(o.fd)
	} else {
		o.server.Close()
	}
}

// recover ends the outage. From then on each fetch and each watch gets the list.
func (o *outage) recover(t *testing.T, list string) {
	t.Helper()
	o.listen(t, listenBacklog)
	file := os.NewFile(uintptr(o.fd), "discovery")
	listener, err := net.FileListener(file)
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	o.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, list)
		if r.URL.RawQuery != "" {
			w.(http.Flusher).Flush()
			o.watches.Add(1)
			<-r.Context().Done()
		}
	})}
	go o.server.Serve(listener)
}
