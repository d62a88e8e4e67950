package agent

import (
	"context"
	"net"
	"net/http"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/policy"
)

// hookedConn calls before ahead of each write.
type hookedConn struct {
	*scriptedConn
	before func()
}

func (c hookedConn) Write(p []byte) (int, error) {
	c.before()
	return c.scriptedConn.Write(p)
}

// A backend that begins to drain gets no first byte later than one hold-up of the attempt that
// was just about to write: whatever had not passed its last check is withdrawn, however far its
// connection is.
func TestDrainWithdrawsUpToTheWrite(t *testing.T) {
	for _, at := range []string{"connect", "write"} {
		t.Run(at, func(t *testing.T) {
			c := &scriptedConn{answer: []byte(okAnswer), writeEnd: -1, readEnd: -1}
			pool := testPool()
			a := newAttempt(pool.newBackendConns("127.0.0.1:1"), http.MethodPost, agenttest.Never)
			b := &backend{conns: a.conns, attempts: map[*attempt]struct{}{a: {}}}
			pool.connect = func(context.Context, string, string) (net.Conn, error) {
				if at == "connect" {
					b.withdraw()
				}
				return hookedConn{c, func() {
					if at == "write" {
						b.withdraw()
					}
				}}, nil
			}
			res := a.run()
			if began := c.written.Len() > 0; began != (at == "write") || began != (res.status == policy.StatusOK) {
				t.Errorf("withdrawn at the %s: %d bytes written, ended %d", at, c.written.Len(), res.status)
			}
			if at == "connect" && res.status != policy.StatusRejected {
				t.Errorf("withdrawn at the %s: ended %d", at, res.status)
			}
		})
	}
}
