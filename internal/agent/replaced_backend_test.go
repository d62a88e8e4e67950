package agent

import (
	"bufio"
	"io"
	"net"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// bornHost returns a ready backend whose process started at bornMs.
func bornHost(name, dial string, bornMs float64) endpointlist.Host {
	return endpointlist.Host{Host: name, Dial: dial, Health: "ready", Share: 1, BornMs: bornMs}
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
