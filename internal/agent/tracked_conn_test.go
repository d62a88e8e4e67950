package agent

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/socket"
)

// trackingListener stores the agent's side of the connection that it accepted last.
type trackingListener struct {
	net.Listener
	mu   sync.Mutex
	last *trackedConn
}

func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = &trackedConn{TCPConn: conn.(*net.TCPConn)}
	return l.last, nil
}

// accepted returns the connection that was accepted last, or nil if there is none yet.
func (l *trackingListener) accepted() *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// trackedConn counts the bytes that the agent has read from a client.
type trackedConn struct {
	*net.TCPConn
	read    atomic.Int64 // number of bytes so far
	reading atomic.Bool  // a read is in progress
}

func (c *trackedConn) Read(buffer []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.TCPConn.Read(buffer)
	c.reading.Store(false)
	c.read.Add(int64(n))
	return n, err
}

// isWaitingAfter reports whether the agent has read exactly this number of bytes and waits for
// more.
func (c *trackedConn) isWaitingAfter(bytes int) bool {
	return c.read.Load() == int64(bytes) && c.reading.Load()
}

// awaitRead waits until the agent has read this number of bytes from its last connection and waits
// for more.
func awaitRead(t *testing.T, clients *trackingListener, bytes int) {
	t.Helper()
	agenttest.Eventually(t, "all bytes of the client read", func() bool {
		conn := clients.accepted()
		return conn != nil && conn.isWaitingAfter(bytes)
	})
}

// awaitClientClose waits until the client's close of the last connection has arrived in the agent's
// kernel.
func awaitClientClose(t *testing.T, clients *trackingListener) {
	t.Helper()
	agenttest.Eventually(t, "the client's close arrived", func() bool { return socket.PeerClosed(clients.accepted()) })
}

// startTracked is startAgent with a listener that tracks the agent's side of connections.
func startTracked(t *testing.T, conf map[string]any) (agent *Agent, base string, clients *trackingListener) {
	t.Helper()
	clients = &trackingListener{}
	agent, base, _, _ = startAgentOn(t, conf, func(ln net.Listener) net.Listener {
		clients.Listener = ln
		return clients
	})
	return agent, base, clients
}
