package agent

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// fault describes how a client's connection fails: it reads and writes a byte at a time, and from a
// number of bytes on each read or write fails.
type fault struct {
	errno           syscall.Errno
	readAt, writeAt int64 // -1: none
}

type faultyConn struct {
	net.Conn
	fault
	read, wrote atomic.Int64
}

func (c *faultyConn) Read(p []byte) (int, error) {
	if c.readAt >= 0 && c.read.Load() >= c.readAt {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.errno)}
	}
	n, err := c.Conn.Read(p[:min(len(p), 1)])
	c.read.Add(int64(n))
	return n, err
}

func (c *faultyConn) Write(p []byte) (int, error) {
	for i := range p {
		if c.writeAt >= 0 && c.wrote.Load() >= c.writeAt {
			return i, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.errno)}
		}
		if n, err := c.Conn.Write(p[i : i+1]); err != nil {
			return i + n, err
		}
		c.wrote.Add(1)
	}
	return len(p), nil
}

type faultyListener struct {
	net.Listener
	next *atomic.Pointer[fault]
}

func (l faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: c, fault: *l.next.Load()}, nil
}

// Wherever in a request or its response a client's connection breaks, and however few bytes each
// read and write moves: the client gets one response, a part of it or none, never a wrong one; there
// is at most one attempt, none before the request is complete; and the slot is free again.
func TestClientsConnectionsBreakAnywhere(t *testing.T) {
	addr, came := counted(t, 200, false)
	next := &atomic.Pointer[fault]{}
	next.Store(&fault{0, -1, -1})
	a, base, _, _ := startOn(t, agenttest.Config(nowhere, addr), func(ln net.Listener) net.Listener {
		return faultyListener{ln, next}
	})
	request := func(id string) string {
		return strings.Replace(raw("order", id), "\r\n\r\n", "\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", 1)
	}
	type bounds struct{ least, most int }
	attempts, wanted := map[string]int{}, map[string]bounds{}
	// ask sends a request over a connection with a fault, notes how many attempts it may lead to,
	// and returns what the client was sent.
	ask := func(f fault, least, most int) string {
		t.Helper()
		for len(came) > 0 {
			attempts[<-came]++
		}
		id := fmt.Sprintf("f%06d", lastID.Add(1))
		wanted[id] = bounds{least, most}
		next.Store(&f)
		conn := dial(t, base)
		defer conn.Close()
		io.WriteString(conn, request(id))
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		said, err := io.ReadAll(conn)
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Fatalf("%+v: neither an end nor an error; it said %q", f, said)
		}
		conn.Close()
		agenttest.Eventually(t, "its place free", func() bool { return a.clients.count() == 0 })
		return string(said)
	}
	whole := ask(fault{0, -1, -1}, 1, 1)
	if !strings.HasPrefix(whole, "HTTP/1.1 200 OK\r\n") || !strings.HasSuffix(whole, "\r\n\r\ndone") {
		t.Fatalf("said %q", whole)
	}
	length := len(request("f000000"))
	for i, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE, syscall.ENOBUFS} {
		step := 1
		if i > 0 {
			step = 7
		}
		for at := 0; at < length; at += step {
			f := fault{errno, int64(at), -1}
			if said := ask(f, 0, 0); strings.Contains(said, " 200 ") || strings.Count(said, "HTTP/1.1") > 1 {
				t.Fatalf("%+v: said %q", f, said)
			}
		}
		// A failure right after the request: to the agent its client has disconnected.
		f := fault{errno, int64(length), -1}
		said := ask(f, 0, 1)
		if strings.Count(said, "HTTP/1.1") > 1 || strings.Contains(said, " 200 ") && said != whole {
			t.Fatalf("%+v: said %q", f, said)
		}
		for at := 0; at < len(whole); at += step {
			f := fault{errno, -1, int64(at)}
			if said := ask(f, 1, 1); said != whole[:min(at, len(said))] {
				t.Fatalf("%+v: said %q", f, said)
			}
		}
	}
	if said := ask(fault{0, -1, -1}, 1, 1); said != whole {
		t.Fatalf("then said %q", said)
	}
	unopened(t, a, make(chan string))
	for len(came) > 0 {
		attempts[<-came]++
	}
	for id, want := range wanted {
		if n := attempts[id]; n < want.least || n > want.most {
			t.Errorf("%s: %d attempts, want %d to %d", id, n, want.least, want.most)
		}
	}
}
