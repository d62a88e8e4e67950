package agent

import (
	"context"
	"net"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/backend"
	"ploverreel/policy"
)

// A backend that begins to drain gets no first byte later than one hold-up of the attempt that
// was just about to write: whatever had not passed its last check is withdrawn, however far its
// connection is.
func TestDrainWithdrawsUpToTheWrite(t *testing.T) {
	for _, at := range []string{"connect", "write"} {
		t.Run(at, func(t *testing.T) {
			c := agenttest.NewScriptedConn(okAnswer)
			b := &listedBackend{attempts: map[*attempt]struct{}{}}
			withdrawAt := func(stage string) {
				if stage == at {
					b.withdraw()
				}
			}
			c.OnWrite = func() { withdrawAt("write") }
			pool := backend.NewPool(func(context.Context, string, string) (net.Conn, error) {
				withdrawAt("connect")
				return c, nil
			}, backend.Settings{ConnectTimeout: agenttest.Never, IdleTimeout: agenttest.Never, MaxConns: 1})
			b.conns = pool.NewConns("127.0.0.1:1")
			res := newLoopAttempt(b).Run()
			if began := c.Written.Len() > 0; began != (at == "write") || began != (res.Status == policy.StatusOK) {
				t.Errorf("withdrawn at the %s: %d bytes written, ended %d", at, c.Written.Len(), res.Status)
			}
			if at == "connect" && res.Status != policy.StatusRejected {
				t.Errorf("withdrawn at the %s: ended %d", at, res.Status)
			}
		})
	}
}
