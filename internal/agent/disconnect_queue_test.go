package agent

import (
	"io"
	"net"
	"testing"

	"ploverreel/internal/agenttest"
)

// queuedInputs are functions that put an input into the queue of a busy loop, which would make the
// loop forward the request "left" to a backend. Each sends that request on a connection, and
// returns the request and the channel whose close lets the loop continue.
var queuedInputs = map[string]func(t *testing.T, agent *Agent, client net.Conn, backend string) (*request, chan struct{}){
	"request arrived":  queueRequest,
	"attempt rejected": queueRejectedAttempt,
	"endpoint list":    queueEndpointList,
}

// queueRequest queues the arrival of the request.
func queueRequest(t *testing.T, agent *Agent, client net.Conn, backend string) (*request, chan struct{}) {
	agent.applyList(2, readyHost(9, backend))
	release := agent.blockLoop()
	io.WriteString(client, agenttest.RequestText("order", "left"))
	arrived := takeQueued[requestArrived](t, agent)
	agent.loop.post(arrived)
	return arrived.request, release
}

// queueRejectedAttempt queues the result of the request's first attempt, which another backend has
// rejected.
func queueRejectedAttempt(t *testing.T, agent *Agent, client net.Conn, backend string) (*request, chan struct{}) {
	rejecting := startRejectingBackend(t)
	agent.applyList(2, readyHost(1, rejecting.addr))
	io.WriteString(client, agenttest.RequestText("order", "left"))
	<-rejecting.received
	agent.applyList(3, readyHost(1, rejecting.addr), readyHost(9, backend))
	release := agent.blockLoop()
	close(rejecting.release)
	ended := takeQueued[attemptEnded](t, agent)
	agent.loop.post(ended)
	return ended.attempt.request, release
}

// queueEndpointList queues the first endpoint list. The request already waits for it in the module.
func queueEndpointList(t *testing.T, agent *Agent, client net.Conn, backend string) (waiting *request, release chan struct{}) {
	io.WriteString(client, agenttest.RequestText("order", "left"))
	agenttest.Eventually(t, "the request queued", func() bool { return agent.hasOpenRequest("left") })
	agent.inspect(func(l *loop) {
		for _, waiting = range l.requests {
		}
	})
	release = agent.blockLoop()
	agent.loop.post(watchEvent{list: newList(3, true, readyHost(9, backend))})
	return waiting, release
}

// A busy loop handles its queue in order. It therefore handles the request, the result of its
// attempt, or the list that provides capacity, before the input that the client has disconnected.
// It must not start an attempt for that client.
func TestLoopForwardsNothingForClientDisconnectedWhileItIsBusy(t *testing.T) {
	for name, queue := range queuedInputs {
		for how, disconnect := range agenttest.Disconnects {
			t.Run(name+", "+how, func(t *testing.T) {
				backend, received := agenttest.IDBackend(t, 200, false)
				agent, base, _, _ := startAgent(t, agenttest.Config(refusingAddr))
				conn := agenttest.Dial(t, base)
				waiting, release := queue(t, agent, conn, backend)
				attempts := make(chan int, 1)
				agent.postInspection(func(l *loop) { attempts <- attemptsInFlight(l) })
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

// attemptsInFlight returns the number of attempts that the loop has in flight.
func attemptsInFlight(l *loop) (n int) {
	for _, backend := range l.backends {
		n += len(backend.attempts)
	}
	return n
}
