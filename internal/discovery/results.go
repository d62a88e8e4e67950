package discovery

import "ploverreel/internal/endpointlist"

// Result is the outcome of a call, or a part of it: a Fetched, a WatchEvent or a WatchEnded.
type Result interface {
	isResult()
}

type (
	// Fetched ends a fetch: with a whole list or an error.
	Fetched struct {
		List endpointlist.List
		Err  error
	}

	// WatchEvent is one list that a watch delivered.
	WatchEvent struct {
		List endpointlist.List
	}

	// WatchEnded ends a watch.
	WatchEnded struct {
		Err error // why it ended; never nil
		// Established says that the watch had worked, so that its end is no failed call: it
		// delivered a list, or anything for as long as a watch may be silent. One that delivered a
		// list has worked however short it was: the next one is opened without the wait that
		// follows a failed call, as what it has to say soon counts as known.
		Established bool
	}
)

func (Fetched) isResult()    {}
func (WatchEvent) isResult() {}
func (WatchEnded) isResult() {}
