package agent

import (
	"io"
	"testing"

	"ploverreel/internal/agenttest"
)

// Regression test: a client that announced a body with its call of /ready and stopped in the middle
// of it held its connection forever, as nothing bounded the time in which the rest was awaited.
func TestReadyEndsACallWithAnIncompleteBody(t *testing.T) {
	addr, _ := agenttest.IDBackend(t, 200, false)
	_, base, _, _ := startAgent(t, agenttest.Config(refusingAddr, addr))
	conn := agenttest.Dial(t, base)
	io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: b\r\nContent-Length: 9\r\n\r\nhalf")
	agenttest.ReadToEnd(t, conn)
}
