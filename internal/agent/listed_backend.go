package agent

import (
	"ploverreel/internal/backend"
	"ploverreel/policy"
)

// listedBackend is one server of the endpoint list. The loop owns it. Its connections are shared with
// the goroutines of its attempts.
type listedBackend struct {
	addr     policy.Addr
	bornMs   float64 // the start time that discovery gave, by the servers' clock
	usable   bool    // it is listed as ready: attempts may be sent to it
	conns    *backend.Conns
	attempts map[*attempt]struct{} // in flight
}

// withdraw cancels the attempts of which no byte was written, and closes the idle connections: a
// backend that drains, is gone or is another process now gets nothing more.
func (b *listedBackend) withdraw() {
	for attempt := range b.attempts {
		attempt.Withdraw(backend.ErrEndpointDraining)
	}
	b.conns.CloseIdle()
}
