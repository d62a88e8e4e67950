package agent

import "ploverreel/policy"

// backend is one listed server. The loop owns it; its connections are shared with the
// goroutines of its attempts and guarded by the pool.
type backend struct {
	addr     policy.Addr
	bornMs   float64 // the start time that discovery gave, by the servers' clock in ms
	usable   bool    // it is listed as ready: attempts may be sent to it
	conns    *backendConns
	attempts map[*attempt]struct{} // in flight
}
