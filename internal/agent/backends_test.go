package agent

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"ploverreel/internal/agenttest"
)

const okAnswer = agenttest.OKAnswer

func rawBackend(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	return agenttest.RawBackend(t, serve)
}

func readRequest(r *bufio.Reader) (*http.Request, error) { return agenttest.ReadRequest(r) }

func counted(t *testing.T, status int, notStarted bool) (addr string, came chan string) {
	t.Helper()
	return agenttest.IDBackend(t, status, notStarted)
}
