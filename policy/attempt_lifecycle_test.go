package policy

import "testing"

// Idle connections are closed if keeping them costs more than new handshakes, as with many agents that
// each use every endpoint.
func TestBalancerClosesIdleConnectionsThatCostMoreThanNewOnes(t *testing.T) {
	for _, test := range []struct {
		name                  string
		agents                int
		connection, handshake float64
		closes                bool
	}{
		{"many agents", 1000, 0.08, 0.08, true},
		{"few agents", 5, 0.08, 0.08, false},
		{"connections are free", 1000, 0, 0.08, false},
		{"handshakes are free", 5, 0.08, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			set := testSettings()
			set.Replicas, set.Prices.Connection, set.Prices.Handshake = test.agents, test.connection, test.handshake
			h := newHarness(t, set, 4)
			h.liftLimit()
			closed := 0
			for i := range 400 {
				h.now += 20
				id, server := h.mustSend(idempotentClass, h.randomKey())
				actions := h.endAttempt(id, 0, server, StatusOK, 10)
				if action := findAction(actions, ActionCloseIdleConnections); action != nil && i >= 200 {
					if closed++; action.Server != server {
						t.Fatalf("got connections to %v closed, want the idle one to %v", action.Server, server)
					}
				}
			}
			if test.closes != (closed > 150) || !test.closes && closed > 50 {
				t.Errorf("got %d of 200 idle connections closed, want most closed: %v", closed, test.closes)
			}
		})
	}
}

// After a response has started to reach the client, its request is neither sent again nor answered by
// the agent.
func TestBalancerLeavesAStartedResponseAlone(t *testing.T) {
	set := testSettings()
	set.Classes[idempotentClass].Streamed = true
	h := newHarness(t, set, 4)
	id, server := h.mustSend(idempotentClass, 3)
	h.now += 30
	h.handle(&ResponseStarted{Request: id, Attempt: 0, Server: server, LatencyMs: 30})
	for range 200 {
		for _, action := range h.tick(10) {
			if action.Request == id && action.Kind != ActionSetTimer {
				t.Fatalf("got %+v while the response streams, want nothing", action)
			}
		}
	}
	actions := h.handle(&AttemptEnded{Request: id, Attempt: 0, Server: server, Status: StatusReset, LatencyMs: 2000, Final: true})
	if findAction(actions, ActionSendAttempt) != nil || findAction(actions, ActionFailRequest) != nil || len(h.b.queue.open) != 0 {
		t.Errorf("after a broken stream got %+v and %d open requests, want neither", actions, len(h.b.queue.open))
	}
}
