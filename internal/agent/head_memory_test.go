package agent

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"ploverreel/internal/agenttest"
)

// readTracker counts the connections from which the agent has read a number of bytes, or which it
// has closed before.
type readTracker struct {
	net.Listener
	size int // number of bytes
	done atomic.Int32
}

func (l *readTracker) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedReads{TCPConn: conn.(*net.TCPConn), tracker: l}, nil
}

// trackedReads is a connection of a readTracker.
type trackedReads struct {
	*net.TCPConn
	tracker *readTracker
	read    atomic.Int64
	counted atomic.Bool
}

func (c *trackedReads) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if c.read.Add(int64(n)) >= int64(c.tracker.size) {
		c.count()
	}
	return n, err
}

func (c *trackedReads) Close() error {
	c.count()
	return c.TCPConn.Close()
}

func (c *trackedReads) count() {
	if !c.counted.Swap(true) {
		c.tracker.done.Add(1)
	}
}

// shortLines returns short header lines of about this size together, in bytes.
func shortLines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_|~"
	var lines strings.Builder
	for i := 0; lines.Len() < size; i++ {
		fmt.Fprintf(&lines, "%c%c:\r\n", letters[i%len(letters)], letters[i/len(letters)%len(letters)])
	}
	return lines.String()
}

// Regression test: hundreds of heads with thousands of short lines, which take many times as much
// memory as text, took the agent over its limit of memory. Here they need at most half of the
// smallest limit that operators set.
func TestHeadsOfManyLinesStayWithinMemoryLimit(t *testing.T) {
	const clients, limitMB, sockets = 600, 32, 1024
	order := "POST /order/u1 HTTP/1.1\r\nHost: b\r\n"
	for _, test := range []struct{ name, text string }{
		{"unfinished head", order + shortLines(19000)},
		{"unfinished body", order + "Request-Id: ID\r\nRequest-Timeout: 30000m\r\nContent-Length: 8\r\n" + shortLines(14000) + "\r\nhalf"},
		{"unfinished head behind another request", "GET /ready HTTP/1.1\r\nHost: b\r\n\r\n" + order + shortLines(4000)},
		{"unfinished line", order + "X: " + strings.Repeat("x", 19000)},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr, _ := agenttest.IDBackend(t, 200, false)
			conf := agenttest.Config(refusingAddr, addr)
			conf["limits"] = map[string]any{"cores": 1, "memory_mb": limitMB, "sockets": sockets}
			tracker := &readTracker{size: len(test.text)}
			agent, base, _, _ := startAgentOn(t, conf, func(listener net.Listener) net.Listener {
				tracker.Listener = listener
				return tracker
			})
			before := heapMB()
			conns := make([]net.Conn, clients)
			for i := range conns {
				conns[i] = agenttest.Dial(t, base)
				io.WriteString(conns[i], strings.Replace(test.text, "ID", fmt.Sprintf("%02d", i), 1))
			}
			agenttest.Eventually(t, "all text read", func() bool { return tracker.done.Load() >= clients })
			if grown := heapMB() - before; grown > limitMB/2 {
				t.Errorf("heap has grown by %.1f MB, want at most half of the limit of %d MB", grown, limitMB)
			}
			for _, conn := range conns {
				conn.Close()
			}
			agenttest.Eventually(t, "all connections closed", func() bool { return agent.clients.Count() == 0 })
		})
	}
}
