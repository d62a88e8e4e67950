package clientconn

import "time"

// minProgress is the number of bytes that a client has to send in each stalledGrace so that its
// connection is not regarded as stalled. Usual requests are a few times as long.
const minProgress = 64

// progress tells whether a client goes on sending the request that it has begun. The table's mutex
// guards it.
type progress struct {
	since time.Time // start of the head or the body, or when the last minProgress bytes were complete; zero: no request yet
	bytes int       // received since then
}

// start records that a head begins, or the wait for a body.
func (p *progress) start(now time.Time) { *p = progress{since: now} }

// add records that bytes were received.
func (p *progress) add(bytes int, now time.Time) {
	if p.bytes += bytes; p.bytes >= minProgress {
		p.start(now)
	}
}

// stalled reports whether fewer than minProgress bytes were received for stalledGrace.
func (p *progress) stalled(now time.Time) bool {
	return !p.since.IsZero() && now.Sub(p.since) >= stalledGrace
}
