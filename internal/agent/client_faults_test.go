package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
)

// attemptBounds are the bounds of the number of attempts of a request.
type attemptBounds struct{ min, max int }

// The bounds for a request that was not received completely, that may have been received, and that
// was.
var (
	noAttempt  = attemptBounds{0, 0}
	atMostOne  = attemptBounds{0, 1}
	exactlyOne = attemptBounds{1, 1}
)

// connErrnos are errors that reads and writes on a client's connection may return.
var connErrnos = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE, syscall.ENOBUFS}

// faultyClient sends requests to an agent over connections with faults, and counts the attempts of
// each request.
type faultyClient struct {
	agent    *Agent
	base     string
	next     atomic.Pointer[agenttest.Fault] // fault of the next connection
	received chan string                     // ids that the backend received
	attempts map[string]int                  // by id
	want     map[string]attemptBounds        // by id
}

func newFaultyClient(t *testing.T) *faultyClient {
	t.Helper()
	addr, received := agenttest.IDBackend(t, 200, false)
	c := &faultyClient{received: received, attempts: map[string]int{}, want: map[string]attemptBounds{}}
	c.next.Store(&agenttest.NoFault)
	c.agent, c.base, _, _ = startAgentOn(t, agenttest.Config(refusingAddr, addr), func(ln net.Listener) net.Listener {
		return agenttest.FaultyListener{Listener: ln, NextFault: &c.next}
	})
	return c
}

// requestText returns a request with a body that asks for its connection to be closed.
func (*faultyClient) requestText(id string) string {
	return strings.Replace(agenttest.RequestText("order", id), "\r\n\r\n", "\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", 1)
}

// send sends a request over a connection with a fault, and returns the bytes received until the
// connection ended.
func (c *faultyClient) send(t *testing.T, fault agenttest.Fault, want attemptBounds) string {
	t.Helper()
	c.countAttempts()
	id := fmt.Sprintf("f%06d", lastID.Add(1))
	c.want[id] = want
	c.next.Store(&fault)
	conn := agenttest.Dial(t, c.base)
	defer conn.Close()
	io.WriteString(conn, c.requestText(id))
	answer := agenttest.ReadToEnd(t, conn)
	conn.Close()
	agenttest.Eventually(t, "its slot free", func() bool { return c.agent.clients.Count() == 0 })
	return answer
}

// countAttempts counts the requests that the backend has received so far.
func (c *faultyClient) countAttempts() {
	for len(c.received) > 0 {
		c.attempts[<-c.received]++
	}
}

// checkAttempts checks the number of attempts of each request.
func (c *faultyClient) checkAttempts(t *testing.T) {
	t.Helper()
	checkNothingForwarded(t, c.agent, make(chan string))
	c.countAttempts()
	for id, want := range c.want {
		if got := c.attempts[id]; got < want.min || got > want.max {
			t.Errorf("request %s: got %d attempts, want %d to %d", id, got, want.min, want.max)
		}
	}
}

// checkReadFaults breaks connections at every step-th byte of the request, and right after it. For
// the agent the client has disconnected then.
func (c *faultyClient) checkReadFaults(t *testing.T, errno syscall.Errno, step int, whole string) {
	t.Helper()
	length := len(c.requestText("f000000"))
	for at := 0; at < length; at += step {
		fault := agenttest.Fault{Errno: errno, ReadFailsAt: int64(at), WriteFailsAt: -1}
		if got := c.send(t, fault, noAttempt); strings.Contains(got, " 200 ") || strings.Count(got, "HTTP/1.1") > 1 {
			t.Fatalf("%+v: got %q, want one error at most", fault, got)
		}
	}
	fault := agenttest.Fault{Errno: errno, ReadFailsAt: int64(length), WriteFailsAt: -1}
	got := c.send(t, fault, atMostOne)
	if strings.Count(got, "HTTP/1.1") > 1 || strings.Contains(got, " 200 ") && got != whole {
		t.Fatalf("%+v: got %q, want one error at most, or %q", fault, got, whole)
	}
}

// checkWriteFaults breaks connections at every step-th byte of the response.
func (c *faultyClient) checkWriteFaults(t *testing.T, errno syscall.Errno, step int, whole string) {
	t.Helper()
	for at := 0; at < len(whole); at += step {
		fault := agenttest.Fault{Errno: errno, ReadFailsAt: -1, WriteFailsAt: int64(at)}
		if got := c.send(t, fault, exactlyOne); got != whole[:min(at, len(got))] {
			t.Fatalf("%+v: got %q, want a prefix of %q", fault, got, whole[:at])
		}
	}
}

// A client's connection may break at any byte of a request or its response, and each read and write
// may move few bytes. The client gets one response, a part of it or none, and never a wrong one.
// There is at most one attempt, and none before the request is complete. The slot is free again
// afterwards.
func TestAgentAnswersOnceWhereverClientConnectionBreaks(t *testing.T) {
	client := newFaultyClient(t)
	whole := client.send(t, agenttest.NoFault, exactlyOne)
	if !strings.HasPrefix(whole, "HTTP/1.1 200 OK\r\n") || !strings.HasSuffix(whole, "\r\n\r\ndone") {
		t.Fatalf("got %q, want status 200 and the body %q", whole, "done")
	}
	for i, errno := range connErrnos {
		step := 1
		if i > 0 {
			step = 7
		}
		client.checkReadFaults(t, errno, step, whole)
		client.checkWriteFaults(t, errno, step, whole)
	}
	if got := client.send(t, agenttest.NoFault, exactlyOne); got != whole {
		t.Fatalf("after the faults: got %q, want %q", got, whole)
	}
	client.checkAttempts(t)
}

// acceptErrnos are errors of accept that don't mean that the listener has failed.
var acceptErrnos = []syscall.Errno{
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.EPERM, syscall.ENFILE, syscall.EMFILE, syscall.ETIMEDOUT,
	syscall.EINTR, syscall.ECONNABORTED, syscall.EAGAIN, syscall.EINVAL,
}

// The agent serves the next connection after any number of failed accepts, whatever their error.
func TestAgentServesAfterFailedAccepts(t *testing.T) {
	addr, _ := agenttest.IDBackend(t, 200, false)
	for _, errno := range acceptErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			left := &atomic.Int32{}
			left.Store(8)
			_, base, _, ended := startAgentOn(t, agenttest.Config(refusingAddr, addr), func(ln net.Listener) net.Listener {
				return agenttest.FailingListener{Listener: ln, Errno: errno, RemainingFailures: left}
			})
			conn := agenttest.Dial(t, base)
			io.WriteString(conn, agenttest.RequestText("order", fmt.Sprint("accepted", lastID.Add(1))))
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("got response %v, %v; want status 200", resp, err)
			}
			select {
			case err := <-ended:
				t.Fatalf("the agent ended with %v, want it to continue to serve", err)
			default:
			}
		})
	}
}
