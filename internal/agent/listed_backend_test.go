package agent

import (
	"context"
	"net"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/backend"
	"ploverreel/policy"
)

// A backend that drains receives no first byte of an attempt that had not passed its last check by
// the time of the drain, in whatever state its connection is.
func TestListedBackendWithdrawsAttemptsUpToTheWrite(t *testing.T) {
	for _, c := range []struct {
		at, name string
		want     policy.Status
		written  bool
	}{
		{"connect", "withdrawn during the connect", policy.StatusRejected, false},
		{"write", "withdrawn just before the write", policy.StatusOK, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := agenttest.NewScriptedConn(agenttest.OKResponse)
			target := &listedBackend{attempts: map[*attempt]struct{}{}}
			withdrawAt := func(stage string) {
				if stage == c.at {
					target.withdraw()
				}
			}
			conn.BeforeWrite = func() { withdrawAt("write") }
			dial := func(context.Context, string, string) (net.Conn, error) {
				withdrawAt("connect")
				return conn, nil
			}
			settings := backend.Settings{ConnectTimeout: agenttest.LongTimeout, IdleTimeout: agenttest.LongTimeout, MaxConns: 1}
			target.conns = backend.NewPool(dial, settings).NewConns("127.0.0.1:1")
			got := newTestAttempt(target).Run()
			if written := conn.Written.Len() > 0; written != c.written {
				t.Errorf("got %d bytes written, want any: %v", conn.Written.Len(), c.written)
			}
			if got.Status != c.want {
				t.Errorf("got status %d, want %d", got.Status, c.want)
			}
		})
	}
}

// If connections have a price in the settings, no extra connection is opened while the only
// connection of a backend settles.
func TestPoolOpensExtraConnectionsUnlessPriced(t *testing.T) {
	for _, c := range []struct {
		name, price string
		want        bool
	}{
		{"no price", "", true},
		{"price of a handshake", "handshake", false},
		{"price of a connection", "connection", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			conf := agenttest.Config(refusingAddr)
			conf["settings"].(map[string]any)["prices"] = map[string]any{c.price: 0.01}
			agent, _, _, _ := startAgent(t, conf)
			if got := agent.loop.pool.Settings().ExtraConns; got != c.want {
				t.Errorf("got ExtraConns %v, want %v", got, c.want)
			}
		})
	}
}
