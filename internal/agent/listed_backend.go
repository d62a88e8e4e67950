package agent

import (
	"ploverreel/internal/backend"
	"ploverreel/policy"
)

// listedBackend is one server of the endpoint list. The loop owns it; its connections are shared with
// the goroutines of its attempts and guarded by the pool.
type listedBackend struct {
	addr     policy.Addr
	bornMs   float64 // the start time that discovery gave, by the servers' clock in ms
	usable   bool    // it is listed as ready: attempts may be sent to it
	conns    *backend.Conns
	attempts map[*attempt]struct{} // in flight
}
