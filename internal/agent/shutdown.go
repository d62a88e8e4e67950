package agent

import (
	"net"
	"time"

	"ploverreel/internal/clientconn"
	"ploverreel/internal/config"
)

// shutdown ends the agent gracefully. A request counts as received once it was written to an
// accepted connection, read or not, so the agent ends only when no connection is left:
//
//  1. For shutdownAcceptTime clients still open connections. Idle connections are closed first,
//     while a client whose request crosses the close can still come back on a new one.
//  2. The listener is closed. For shutdownSettleTime what was accepted last is read.
//  3. New connections on which nothing has arrived are closed as well. Those with part of a
//     request end by the timeouts of head and body, the others with their response.
func (a *Agent) shutdown(ln net.Listener) error {
	began := time.Now()
	a.shutdownAt.Store(&began)
	defer a.after(a.lastAnswerAfter(), func() { close(a.lastCall) }).Stop()
	limit := a.shutdownLimit()
	for {
		elapsed := time.Since(began)
		settled := elapsed >= shutdownAcceptTime+shutdownSettleTime
		if elapsed >= shutdownAcceptTime {
			ln.Close()
		}
		a.clients.CloseIdle(settled)
		if settled && (a.clients.Count() == 0 || elapsed >= limit) {
			break
		}
		time.Sleep(shutdownPollInterval)
	}
	return a.server.Close() // what is left is past its deadline, or doesn't read its response
}

// shutdownLimit is how long after SIGTERM the agent ends at the latest: what is accepted last may
// take its whole time to arrive and to be answered.
func (a *Agent) shutdownLimit() time.Duration {
	return shutdownAcceptTime + shutdownSettleTime + clientconn.HeadTimeout + bodyTimeout +
		time.Duration(a.maxDeadline.Load()) + shutdownSettleTime
}

// lastAnswerAfter is how long after SIGTERM the last response is given. What arrives until
// shutdownRejectAfter may take the longest deadline of the settings, but SIGKILL doesn't wait for
// one that is longer than minKillDelay.
func (a *Agent) lastAnswerAfter() time.Duration {
	longest := time.Duration(0)
	classes := a.config.Load().Settings.Classes
	for i := range classes {
		longest = max(longest, config.Milliseconds(classes[i].DeadlineMs))
	}
	return min(longest, minKillDelay) + shutdownRejectAfter
}
