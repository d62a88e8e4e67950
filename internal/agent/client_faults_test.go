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
)

// fault is what befalls a client's connection: all is read and written a byte at a time, and the
// read or the write after so many bytes fails, and each after it.
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

// Wherever in a request or its answer a client's connection breaks, and however little each read
// and write moves: one answer or a part of it or none, never a wrong one, at most one attempt, none
// before the request is whole, and the connection's place is free again.
func TestClientsConnectionsBreakAnywhere(t *testing.T) {
	addr, came := counted(t, 200, false)
	next := &atomic.Pointer[fault]{}
	next.Store(&fault{0, -1, -1})
	a, base, _, _ := startOn(t, config(nowhere, addr), func(ln net.Listener) net.Listener {
		return faultyListener{ln, next}
	})
	request := func(id string) string {
		return strings.Replace(raw("order", id), "\r\n\r\n", "\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", 1)
	}
	type bounds struct{ least, most int }
	attempts, wanted := map[string]int{}, map[string]bounds{}
	// ask sends a request over a connection with a fault, of which so many attempts are wanted
	// in the end, and hands back what was said.
	ask := func(f fault, least, most int) string {
		t.Helper()
		for len(came) > 0 {
			attempts[<-came]++
		}
		id := fmt.Sprintf("f%06d", lastID.Add(1))
		wanted[id] = bounds{least, most}
		next.Store(&f)
		c := dial(t, base)
		defer c.Close()
		io.WriteString(c, request(id))
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		said, err := io.ReadAll(c)
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Fatalf("%+v: neither an end nor an error; it said %q", f, said)
		}
		c.Close()
		eventually(t, "its place free", func() bool { return a.clients.count() == 0 })
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
		// Right behind the request: its client has gone, as far as the agent can tell.
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

// A look at a connection that this machine could not make tells nothing of the client.
func TestFailedLooksAreNoEnds(t *testing.T) {
	for _, test := range []struct {
		n    int
		err  error
		want int
	}{
		{1, nil, 1}, {0, nil, -1}, {-1, syscall.EAGAIN, 0}, {-1, syscall.EINTR, 0}, {-1, syscall.ENOBUFS, unknown},
		{-1, syscall.ENOMEM, unknown}, {-1, syscall.ECONNRESET, -1}, {-1, syscall.ETIMEDOUT, -1}, {-1, syscall.EHOSTUNREACH, -1},
	} {
		if got := seen(test.n, test.err); got != test.want {
			t.Errorf("a look that gave %d, %v tells %d, want %d", test.n, test.err, got, test.want)
		}
	}
}
