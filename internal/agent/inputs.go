package agent

import (
	"time"

	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
)

// input is one thing that happened, on its way to the loop. Its types are listed in this file;
// loop.handle says what is done with each. Whoever posts an input hands over what it points to.
type input interface {
	isInput()
}

// What happens to requests and their attempts.
type (
	// requestArrived brings a request that was read and checked.
	requestArrived struct{ request *request }

	// clientDisconnected says that the handler of a request answers or waits no longer.
	clientDisconnected struct{ request *request }

	// attemptEnded brings the end of an attempt, of which there is exactly one each.
	attemptEnded struct {
		attempt *attempt
		result  backend.Result
	}

	// timerFired is the end of a timer that the module asked for, by the module's token.
	timerFired struct{ token uint32 }
)

// What discovery's calls bring. The generation is that of the discovery that was called: what a
// former one brings is not taken.
type (
	// endpointsFetched ends a fetch: with a whole list or an error.
	endpointsFetched struct {
		generation int
		list       endpointlist.List
		err        error
	}

	// watchEvent is one list that a watch delivered.
	watchEvent struct {
		generation int
		list       endpointlist.List
	}

	// watchEnded ends a watch.
	watchEnded struct {
		generation       int
		err              error // why it ended
		endedAfterNotice bool  // it had worked until then, see discovery.WatchEnded
	}
)

// What the operator asks for, and what the agent's own timers bring.
type (
	// reloadRequested asks for another configuration to be put in force. done has room for the
	// one error, or nil, that is sent.
	reloadRequested struct {
		config *config.Config
		done   chan error
	}

	// traceRequested asks for the module's state to be logged from now on, so far apart. done has
	// room for the one error, or nil, that is sent.
	traceRequested struct {
		every time.Duration
		done  chan error
	}

	// traceDue asks for the next line of the trace.
	traceDue struct{}

	// readyWaitOver says that the agent is ready, whether or not it knows a backend.
	readyWaitOver struct{}
)

func (requestArrived) isInput()     {}
func (clientDisconnected) isInput() {}
func (attemptEnded) isInput()       {}
func (timerFired) isInput()         {}
func (endpointsFetched) isInput()   {}
func (watchEvent) isInput()         {}
func (watchEnded) isInput()         {}
func (reloadRequested) isInput()    {}
func (traceRequested) isInput()     {}
func (traceDue) isInput()           {}
func (readyWaitOver) isInput()      {}
