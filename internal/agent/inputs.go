package agent

import (
	"time"

	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
)

// input is something that happened and that the loop handles. Its types are listed in this file;
// loop.handle says what is done with each. Whoever posts an input hands over what it points to.
type input interface {
	isInput()
}

// What happens to requests and their attempts.
type (
	// requestArrived brings a request that was read and checked.
	requestArrived struct{ request *request }

	// clientDisconnected says that a request's handler has given up on the loop: its client has
	// disconnected, or the handler answers by itself.
	clientDisconnected struct{ request *request }

	// attemptEnded brings the result of an attempt. There is exactly one for each.
	attemptEnded struct {
		attempt *attempt
		result  backend.Result
	}

	// timerFired says that a timer of the module fired, given by the module's token.
	timerFired struct{ token uint32 }
)

// Results of calls to discovery. The generation is that of the discovery that was called: results of
// a former one are ignored.
type (
	// endpointsFetched brings the result of a fetch: a whole list or an error.
	endpointsFetched struct {
		generation int
		list       endpointlist.List
		err        error
	}

	// watchEvent brings one list that a watch delivered.
	watchEvent struct {
		generation int
		list       endpointlist.List
	}

	// watchEnded says that a watch has ended.
	watchEnded struct {
		generation       int
		err              error // why it ended
		endedAfterNotice bool  // see discovery.WatchEnded
	}
)

// Requests of the operator, and timers of the agent's own.
type (
	// reloadRequested asks for another configuration to be put in force. The one error, or nil, is
	// sent on done, which has room for it.
	reloadRequested struct {
		config *config.Config
		done   chan error
	}

	// traceRequested asks for the module's state to be logged from now on, once every interval. The
	// one error, or nil, is sent on done, which has room for it.
	traceRequested struct {
		interval time.Duration
		done     chan error
	}

	// traceDue asks for the next line of the trace.
	traceDue struct{}

	// readyTimeoutExpired says that the agent is ready, whether or not it knows a backend.
	readyTimeoutExpired struct{}
)

func (requestArrived) isInput()      {}
func (clientDisconnected) isInput()  {}
func (attemptEnded) isInput()        {}
func (timerFired) isInput()          {}
func (endpointsFetched) isInput()    {}
func (watchEvent) isInput()          {}
func (watchEnded) isInput()          {}
func (reloadRequested) isInput()     {}
func (traceRequested) isInput()      {}
func (traceDue) isInput()            {}
func (readyTimeoutExpired) isInput() {}
