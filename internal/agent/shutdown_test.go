package agent

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// hookConn runs a hook between the read of a client's bytes and their handling.
type hookConn struct {
	*net.TCPConn
	read *atomic.Pointer[func()]
}

func (c hookConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if hook := c.read.Load(); n > 0 && hook != nil {
		(*hook)()
	}
	return n, err
}

type hookListener struct {
	net.Listener
	read *atomic.Pointer[func()]
}

func (l hookListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return hookConn{c.(*net.TCPConn), l.read}, nil
}

// hooked serves an agent whose clients' bytes pass a hook.
func hooked(t *testing.T, conf map[string]any) (a *Agent, base string, read *atomic.Pointer[func()]) {
	t.Helper()
	read = &atomic.Pointer[func()]{}
	a, base, _, _ = startOn(t, conf, func(ln net.Listener) net.Listener { return hookListener{ln, read} })
	return a, base, read
}

// Bytes that were read of a request keep its connection open, though none waits any more.
func TestComingRequestKeepsItsConnection(t *testing.T) {
	addr, _ := counted(t, 200, false)
	a, base, _ := hooked(t, config(nowhere, addr))
	c := dial(t, base)
	r := bufio.NewReader(c)
	for i, text := range []string{raw("order", "c1"), raw("order", "c2")} {
		half := len(text) / 2
		io.WriteString(c, text[:half])
		eventually(t, "half of it read", func() bool {
			a.clients.mu.Lock()
			defer a.clients.mu.Unlock()
			for c := range a.clients.conns {
				return c.headStarted && peekConn(c.Conn) == 0
			}
			return false
		})
		a.clients.closeIdle(true)
		a.clients.reapIdle(time.Now().Add(never))
		io.WriteString(c, text[half:])
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("request %d: got %v, %v", i, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}

// listening tells whether the agent still takes connections.
func listening(base string) bool {
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err == nil {
		c.Close()
	}
	return err == nil
}

// A request whose head was read when the agent has nothing else to finish is answered, not
// cut off: it came on a connection that was accepted.
func TestLeaveWaitsForWhatIsBeingRead(t *testing.T) {
	addr, _ := counted(t, 200, false)
	a, base, stop, ended := start(t, config(nowhere, addr))
	c := dial(t, base)
	text := strings.Replace(raw("order", "late"), "\r\n\r\n", "\r\nContent-Length: 8\r\n\r\n", 1)
	stop()
	eventually(t, "leaving", func() bool { return a.shutdownAt.Load() != nil })
	io.WriteString(c, text+"half")
	eventually(t, "no more connections", func() bool { return !listening(base) })
	// Long past the time left to settle: whoever ends by it has ended.
	select {
	case err := <-ended:
		t.Errorf("ended with half a request read: %v", err)
	case <-time.After(4 * shutdownSettleTime):
	}
	io.WriteString(c, "rest")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || !resp.Close {
		t.Fatalf("got %v, %v; want an answer and the connection's end", resp, err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// What comes so late after SIGTERM that SIGKILL might find it unanswered is refused at once,
// and not sent on.
func TestLateRequestsAreRefused(t *testing.T) {
	addr, came := counted(t, 200, false)
	a, base, _, _ := start(t, config(nowhere, addr))
	long := time.Now().Add(-shutdownRejectAfter)
	a.shutdownAt.Store(&long)
	status, _, head := do(t, call(base, "order"))
	if status != http.StatusServiceUnavailable || head.Get("Retry-After") != "0.6" || len(came) > 0 {
		t.Fatalf("answered %d, Retry-After %q, %d sent on", status, head.Get("Retry-After"), len(came))
	}
}

// SIGTERM before the agent serves, and nothing to finish: it ends without an error.
func TestLeaveBeforeServing(t *testing.T) {
	a, err := New(parse(t, config(nowhere)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := a.Serve(ctx, ln); err != nil {
		t.Fatal(err)
	}
}
