// This file holds the counts since the start that a Snapshot shows.

package policy

// ClassCounts counts the requests of a class since the start.
type ClassCounts struct {
	Requests        uint64 // requests that came in
	Attempts        uint64 // attempts sent
	Served          uint64 // requests answered by an endpoint
	WithinObjective uint64 // of those, within the latency objective
	Rejected        uint64 // final answers that a retry is harmless after
	Failed          uint64 // final answers of failure
}

// OutcomeCounts counts how attempts ended since the start.
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
