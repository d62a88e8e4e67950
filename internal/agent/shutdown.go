package agent

import (
	"net"
	"time"

	"ploverreel/internal/clientconn"
	"ploverreel/internal/config"
)

// Times of a graceful shutdown. They count from SIGTERM unless their comment says otherwise.
const (
	// shutdownAcceptTime is the time during which new connections are accepted. Clients may open
	// them for up to 0.4 s.
	shutdownAcceptTime = 450 * time.Millisecond
	// shutdownReadGrace starts when shutdownAcceptTime ends. During it the agent still reads the
	// connections that it accepted last.
	shutdownReadGrace = 50 * time.Millisecond
	// shutdownRejectAfter is the time after which new requests are rejected at once, as SIGKILL may
	// arrive before their response.
	shutdownRejectAfter = 600 * time.Millisecond
	// maxDrainDeadline bounds the deadline that requests keep during the shutdown. SIGKILL arrives
	// 0.7 s after the longest deadline of the settings or maxDrainDeadline, whichever is shorter.
	maxDrainDeadline = 3 * time.Second
	// shutdownPollInterval is the interval at which the shutdown checks the connections.
	shutdownPollInterval = 5 * time.Millisecond
)

// shutdown ends the agent gracefully. A request that was written to an accepted connection is
// regarded as received, even if the agent has not read it. The agent therefore ends only when no
// connection remains:
//
//  1. During shutdownAcceptTime connections are still accepted. Idle connections are closed from
//     this step on. A client that sends a request at the moment of the close can still retry on a
//     new connection.
//  2. The listener is closed. During shutdownReadGrace the connections that were accepted last are
//     read.
//  3. New connections on which nothing has arrived are closed too. Connections with an incomplete
//     request end by the timeouts of head and body, and the others after their response.
func (a *Agent) shutdown(ln net.Listener) error {
	began := time.Now()
	a.shutdownAt.Store(&began)
	defer a.afterFunc(a.drainTimeout(), func() { close(a.drainDeadline) }).Stop()
	maxTime := a.maxShutdownTime()
	for {
		elapsed := time.Since(began)
		readGraceOver := elapsed >= shutdownAcceptTime+shutdownReadGrace
		if elapsed >= shutdownAcceptTime {
			ln.Close()
		}
		a.clients.CloseIdle(readGraceOver)
		if readGraceOver && (a.clients.Count() == 0 || elapsed >= maxTime) {
			break
		}
		time.Sleep(shutdownPollInterval)
	}
	return a.server.Close() // the remaining clients are past their deadline, or don't read
}

// maxShutdownTime returns the time after SIGTERM by which the agent ends at the latest. It allows
// for a request on the connection that was accepted last, which may take the full timeouts to
// arrive and the longest deadline to be answered. shutdownReadGrace is added once more at the end.
func (a *Agent) maxShutdownTime() time.Duration {
	return shutdownAcceptTime + shutdownReadGrace + clientconn.HeadTimeout + bodyTimeout +
		time.Duration(a.maxDeadline.Load()) + shutdownReadGrace
}

// drainTimeout returns the time after SIGTERM by which the last response is sent. A request that
// arrives before shutdownRejectAfter may take as long as the longest deadline of the settings, but
// not longer than maxDrainDeadline, as SIGKILL isn't delayed any further.
func (a *Agent) drainTimeout() time.Duration {
	longest := time.Duration(0)
	classes := a.config.Load().Settings.Classes
	for i := range classes {
		longest = max(longest, config.Milliseconds(classes[i].DeadlineMs))
	}
	return min(longest, maxDrainDeadline) + shutdownRejectAfter
}
