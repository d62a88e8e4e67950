package agent

import (
	"bufio"
	"io"
	"net"
	"testing"
)

// leavings are the ways in which a client can leave.
var leavings = map[string]func(c net.Conn){
	"close": func(c net.Conn) { c.Close() },
	"reset": func(c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
	"close behind bytes": func(c net.Conn) {
		io.WriteString(c, raw("look", "other"))
		c.Close()
	},
	"reset behind bytes": func(c net.Conn) {
		io.WriteString(c, raw("look", "other"))
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
	"end of its sending": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
}

// busy has the loop do see, and nothing else as long as it takes, after all that was posted
// so far. It returns when that is posted.
func (a *Agent) busy(see func(l *loop)) {
	a.log.Handler().(looker).see <- func() { see(a.loop) }
	a.loop.post(input{kind: inFetched, err: io.EOF})
}

// next takes the first input of the kind out of the queue of a loop that is busy, and hands
// back what came before it.
func (a *Agent) next(t *testing.T, kind inKind) (found input) {
	t.Helper()
	var others []input
	eventually(t, "in the queue", func() bool {
		select {
		case found = <-a.loop.in:
			if found.kind == kind {
				return true
			}
			others = append(others, found)
		default:
		}
		return false
	})
	for _, in := range others {
		a.loop.post(in)
	}
	return found
}

// Where the loop is busy, what is in its queue is handled in its order: the request, the end
// of its attempt or what makes room for it, before the word that its client has left. No
// attempt is made then.
func TestNothingIsSentForWhoLeftTheQueue(t *testing.T) {
	for _, waits := range []string{"first", "further", "room"} {
		for how, leave := range leavings {
			t.Run(waits+" "+how, func(t *testing.T) {
				good, came := counted(t, 200, false)
				asked, turn := make(chan struct{}), make(chan struct{})
				turns := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
					if _, err := readRequest(r); err == nil {
						close(asked)
						<-turn
						io.WriteString(c, "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
					}
				})
				a, base, _, _ := start(t, config(nowhere))
				occupied, release := make(chan struct{}), make(chan struct{})
				occupy := func() {
					a.busy(func(*loop) { close(occupied); <-release })
					<-occupied
				}
				c := dial(t, base)
				var r *request
				switch waits {
				case "first":
					a.told(2, readyHost(9, good))
					occupy()
					io.WriteString(c, raw("order", "left"))
					in := a.next(t, inRequest)
					r = in.req
					a.loop.post(in)
				case "further":
					a.told(2, readyHost(1, turns))
					io.WriteString(c, raw("order", "left"))
					<-asked
					a.told(3, readyHost(1, turns), readyHost(9, good))
					occupy()
					close(turn)
					in := a.next(t, inOutcome)
					r = in.att.req
					a.loop.post(in)
				case "room":
					io.WriteString(c, raw("order", "left"))
					eventually(t, "its request taken", func() bool { return a.holds("left") })
					a.look(func(l *loop) {
						for _, r = range l.requests {
						}
					})
					occupy()
					a.loop.post(input{kind: inWatched, list: listOf(3, true, readyHost(9, good))})
				}
				out := make(chan int, 1)
				a.busy(func(l *loop) {
					n := 0
					for _, b := range l.backends {
						n += len(b.attempts)
					}
					out <- n
				})
				leave(c)
				eventually(t, "the leaving noticed by its handler", r.gone.Load)
				close(release)
				if n := <-out; n > 0 {
					t.Fatal("an attempt made for a client that has left")
				}
				a.told(4, readyHost(9, good))
				if status, _, _ := do(t, call(base, "order")); status != 200 {
					t.Fatalf("the next client was answered %d", status)
				}
				if id := <-came; id == "left" {
					t.Fatal("sent on for a client that has left")
				}
				unopened(t, a, came)
			})
		}
	}
}

// unopened waits until the agent holds no request, and fails if a backend got one.
func unopened(t *testing.T, a *Agent, came chan string) {
	t.Helper()
	eventually(t, "no request held", func() (none bool) {
		a.look(func(l *loop) { none = len(l.requests) == 0 })
		return none
	})
	if len(came) > 0 {
		t.Fatalf("sent %q on for a client that has left", <-came)
	}
}
