package discovery

import "ploverreel/internal/endpointlist"

// Result is an outcome of a call: a Fetched, a WatchEvent or a WatchEnded.
type Result interface {
	isResult()
}

type (
	// Fetched is the only result of a fetch: the whole list, or an error.
	Fetched struct {
		List endpointlist.List
		Err  error
	}

	// WatchEvent is one list that a watch received.
	WatchEvent struct {
		List endpointlist.List
	}

	// WatchEnded is the last result of a watch.
	WatchEnded struct {
		Err error // why it ended; never nil
		// Established reports whether the watch had worked before it ended, so that its end is not a
		// failed call. A watch has worked if it received a list, however briefly it lasted, or if it
		// received any data and lasted for at least WatchIdleTimeout. The next watch then opens
		// without the backoff of a failed call, because the agent is expected to know later changes
		// soon.
		Established bool
	}
)

func (Fetched) isResult()    {}
func (WatchEvent) isResult() {}
func (WatchEnded) isResult() {}
