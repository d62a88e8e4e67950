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

// shutdown ends the agent gracefully. A request counts as received once it was written to an
// accepted connection, read or not, so the agent ends only when no connection is left:
//
//  1. For shutdownAcceptTime connections are still accepted. Idle connections are closed first,
//     while a client whose request crosses the close can still come back on a new one.
//  2. The listener is closed. For shutdownReadGrace the connections that were accepted last are read.
//  3. New connections on which nothing has arrived are closed as well. Those with part of a
//     request end by the timeouts of head and body, the others with their response.
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
	return a.server.Close() // the clients that are left are past their deadline, or don't read
}

// maxShutdownTime returns how long after SIGTERM the agent ends at the latest: a request on a connection
// that is accepted last may take its whole time to arrive and to be answered.
func (a *Agent) maxShutdownTime() time.Duration {
	return shutdownAcceptTime + shutdownReadGrace + clientconn.HeadTimeout + bodyTimeout +
		time.Duration(a.maxDeadline.Load()) + shutdownReadGrace
}

// drainTimeout returns how long after SIGTERM the last response is given. A request that arrives
// before shutdownRejectAfter may take the longest deadline of the settings, but SIGKILL doesn't wait for
// one that is longer than maxDrainDeadline.
func (a *Agent) drainTimeout() time.Duration {
	longest := time.Duration(0)
	classes := a.config.Load().Settings.Classes
	for i := range classes {
		longest = max(longest, config.Milliseconds(classes[i].DeadlineMs))
	}
	return min(longest, maxDrainDeadline) + shutdownRejectAfter
}
