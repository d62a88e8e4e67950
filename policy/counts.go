// This file holds the counters of a Snapshot. They start at 0 when the agent starts.

package policy

// ClassCounts counts the requests of a class since the start.
type ClassCounts struct {
	Requests        uint64 // requests that arrived
	Attempts        uint64 // attempts sent
	Served          uint64 // requests answered by an endpoint
	WithinObjective uint64 // of those, within the latency objective
	Rejected        uint64 // requests rejected: their clients may safely retry
	Failed          uint64 // requests failed: they may have run
}

// OutcomeCounts counts the attempts that ended since the start, by status.
type OutcomeCounts struct {
	OK, ServerError, Rejected, Timeout, ConnectFailed, Reset uint64
	Cancelled, NotSent, LocalFailure, Unreachable            uint64
}

// add counts an attempt that ended with the status.
func (c *OutcomeCounts) add(status Status) {
	switch status {
	case StatusOK:
		c.OK++
	case StatusServerError:
		c.ServerError++
	case StatusRejected:
		c.Rejected++
	case StatusTimeout:
		c.Timeout++
	case StatusConnectFailed:
		c.ConnectFailed++
	case StatusReset:
		c.Reset++
	case StatusCancelled:
		c.Cancelled++
	case StatusNotSent:
		c.NotSent++
	case StatusLocalFailure:
		c.LocalFailure++
	case StatusUnreachable:
		c.Unreachable++
	}
}
