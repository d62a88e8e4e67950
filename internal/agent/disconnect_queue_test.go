package agent

import (
	"io"
	"net"
	"testing"

	"ploverreel/internal/agenttest"
)

// queuedInputs put an input in the queue of a busy loop that would have the request "left" forwarded
// to a backend. They send that request on a connection, and return it and what ends the loop's work.
var queuedInputs = map[string]func(t *testing.T, agent *Agent, client net.Conn, backend string) (*request, chan struct{}){
	"request arrived":  queueRequest,
	"attempt rejected": queueRejectedAttempt,
	"endpoint list":    queueEndpointList,
}

// queueRequest queues the request itself.
func queueRequest(t *testing.T, agent *Agent, client net.Conn, backend string) (*request, chan struct{}) {
	agent.applyList(2, readyHost(9, backend))
	release := agent.occupyLoop()
	io.WriteString(client, agenttest.RequestText("order", "left"))
	arrived := takeQueued[requestArrived](t, agent)
	agent.loop.post(arrived)
	return arrived.request, release
}

// queueRejectedAttempt queues the outcome of the request's first attempt, which another backend has
// rejected.
func queueRejectedAttempt(t *testing.T, agent *Agent, client net.Conn, backend string) (*request, chan struct{}) {
	rejecting := startRejecting(t)
	agent.applyList(2, readyHost(1, rejecting.addr))
	io.WriteString(client, agenttest.RequestText("order", "left"))
	<-rejecting.received
	agent.applyList(3, readyHost(1, rejecting.addr), readyHost(9, backend))
	release := agent.occupyLoop()
	close(rejecting.answer)
	ended := takeQueued[attemptEnded](t, agent)
	agent.loop.post(ended)
	return ended.attempt.request, release
}

// queueEndpointList queues the first endpoint list, for which the module has queued the request.
func queueEndpointList(t *testing.T, agent *Agent, client net.Conn, backend string) (waiting *request, release chan struct{}) {
	io.WriteString(client, agenttest.RequestText("order", "left"))
	agenttest.Eventually(t, "the request queued", func() bool { return agent.holds("left") })
	agent.look(func(l *loop) {
		for _, waiting = range l.requests {
		}
	})
	release = agent.occupyLoop()
	agent.loop.post(watchEvent{list: listOf(3, true, readyHost(9, backend))})
	return waiting, release
}

// A busy loop handles its queue in order: the request, the outcome of its attempt or what gives it
// capacity, before the input that its client has disconnected. No attempt is made then.
func TestLoopForwardsNothingForClientDisconnectedWhileItIsBusy(t *testing.T) {
	for name, queue := range queuedInputs {
		for how, disconnect := range agenttest.Disconnects {
			t.Run(name+", "+how, func(t *testing.T) {
				backend, received := agenttest.IDBackend(t, 200, false)
				agent, base, _, _ := start(t, agenttest.Config(nowhere))
				conn := agenttest.Dial(t, base)
				waiting, release := queue(t, agent, conn, backend)
				attempts := make(chan int, 1)
				agent.postLook(func(l *loop) { attempts <- attemptsInFlight(l) })
				disconnect(conn)
				agenttest.Eventually(t, "the disconnect noticed by the handler", waiting.client.abandoned.Load)
				close(release)
				if got := <-attempts; got > 0 {
					t.Fatalf("got %d attempts for a client that has disconnected, want 0", got)
				}
				agent.applyList(4, readyHost(9, backend))
				checkNextServed(t, base, received)
				checkNothingForwarded(t, agent, received)
			})
		}
	}
}

// attemptsInFlight returns how many attempts the loop has in flight.
func attemptsInFlight(l *loop) (n int) {
	for _, backend := range l.backends {
		n += len(backend.attempts)
	}
	return n
}
