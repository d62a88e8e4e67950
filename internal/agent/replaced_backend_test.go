package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// bornHost returns a ready backend whose process started at bornMs.
func bornHost(name, dial string, bornMs float64) endpointlist.Host {
	return endpointlist.Host{Host: name, Dial: dial, Health: "ready", Share: 1, BornMs: bornMs}
}

// attemptTargets returns the names, of s-0 to s-3, of the backends to which the loop starts attempts
// of many requests, and handles the loop's inputs until they are answered.
func attemptTargets(l *loop) map[string]bool {
	names := map[policy.Addr]string{}
	for i := range 4 {
		name := fmt.Sprint("s-", i)
		names[endpointlist.AddressOf(name)] = name
	}
	targets := map[string]bool{}
	for range 50 {
		arrived := newLoopRequest(l.config, fmt.Sprint("id", lastID.Add(1)), time.Now().Add(agenttest.LongTimeout))
		l.handle(requestArrived{request: arrived})
		for !arrived.closed {
			l.handle(<-l.inputs)
			l.handleFollowUps()
		}
		for _, sent := range arrived.attempts {
			targets[names[sent.target.addr]] = true
		}
	}
	return targets
}

// Guards against work that is sent to a new process at the address of one that has gone, because the
// list still names the old one. The list may name them in any order, and together or not.
func TestNewProcessReplacesOlderOneAtItsAddress(t *testing.T) {
	addr := agenttest.RawBackend(t, agenttest.AnswerAll(agenttest.OKResponse))
	old, replacement := bornHost("s-0", addr, 1), bornHost("s-1", addr, 2)
	for name, lists := range map[string][]endpointlist.List{
		"change":                {newList(2, false, replacement)},
		"whole list":            {newList(2, true, old, replacement)},
		"whole list, reversed":  {newList(2, true, replacement, old)},
		"old one listed again":  {newList(2, false, replacement), newList(3, false, old)},
		"whole list after that": {newList(2, false, replacement), newList(3, true, old, replacement)},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLoop(t, addr)
			l.handle(watchEvent{list: newList(1, true, old)})
			checkUsable(t, l, "before", true, false)
			previous := l.backends[endpointlist.AddressOf("s-0")]
			waiting := newTestAttempt(previous)
			for _, list := range lists {
				l.handle(watchEvent{list: list})
			}
			checkUsable(t, l, "after", false, true)
			if got := attemptTargets(l); got["s-0"] || !got["s-1"] {
				t.Errorf("got attempts to %v, want some to s-1 alone", got)
			}
			if got := waiting.Run(); got.Status != policy.StatusRejected {
				t.Errorf("got status %d for an attempt that had not begun at the old process, want %d", got.Status, policy.StatusRejected)
			}
			l.handle(watchEvent{list: newList(9, false, endpointlist.Host{Host: "s-1", Health: "gone"}, bornHost("s-2", addr, 3))})
			if got := attemptTargets(l); got["s-1"] {
				t.Errorf("got attempts to %v after s-1 is gone, want none to it", got)
			}
		})
	}
}

// Guards against work that is sent on a connection to a process that was gone in the meantime: when
// its backend is listed again, an attempt that ends then does not return its connection for reuse.
func TestBackendThatReturnsGetsNewConnections(t *testing.T) {
	for name, left := range map[string]endpointlist.List{
		"gone":     newList(2, false, endpointlist.Host{Host: "s-0", Health: "gone"}),
		"unlisted": newList(2, true),
	} {
		t.Run(name, func(t *testing.T) {
			received, release, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
			addr := agenttest.RawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := agenttest.ReadRequest(reader); err != nil {
					return
				}
				close(received)
				<-release
				io.WriteString(conn, agenttest.OKResponse)
				reader.ReadByte()
				close(ended)
			})
			l := newTestLoop(t, addr)
			target := l.backends[endpointlist.AddressOf("s-0")]
			inUse := newTestAttempt(target)
			result := make(chan policy.Status, 1)
			go func() { result <- inUse.Run().Status }()
			<-received
			previous := target.conns
			l.handle(watchEvent{list: left})
			l.handle(watchEvent{list: newList(3, true, bornHost("s-0", addr, 0))})
			if target.conns == previous || !l.isUsable("s-0") {
				t.Errorf("got the connections to the process that was gone, want new ones")
			}
			close(release)
			if got := <-result; got != policy.StatusOK {
				t.Errorf("got status %d for the attempt in flight, want %d", got, policy.StatusOK)
			}
			agenttest.Receive(t, ended, "the close of the connection")
		})
	}
}
