package agent

import (
	"time"

	"ploverreel/internal/backend"
	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
)

// input is an event or a command that the loop handles. All types of inputs are in this file, and
// loop.handle handles each of them. Posting an input gives the loop ownership of the data that it
// points to.
type input interface {
	isInput()
}

// Inputs about requests and their attempts.
type (
	// requestArrived carries a request that was read and checked.
	requestArrived struct{ request *request }

	// clientDisconnected reports that a request's handler no longer waits for the loop: the client
	// has disconnected, or the handler responds without the loop.
	clientDisconnected struct{ request *request }

	// attemptEnded carries the result of an attempt. Exactly one is posted for each attempt.
	attemptEnded struct {
		attempt *attempt
		result  backend.Result
	}

	// timerFired reports that a timer of the module fired. The token is the module's.
	timerFired struct{ token uint32 }
)

// Results of calls to discovery. The generation is that of the discovery client that was used.
// Results of earlier clients are ignored.
type (
	// endpointsFetched carries the result of a fetch: a whole list or an error.
	endpointsFetched struct {
		generation int
		list       endpointlist.List
		err        error
	}

	// watchEvent carries one list that a watch delivered.
	watchEvent struct {
		generation int
		list       endpointlist.List
	}

	// watchEnded reports that a watch has ended.
	watchEnded struct {
		generation  int
		err         error // the cause
		established bool  // see discovery.WatchEnded
	}
)

// Commands of the operator, and timers of the agent.
type (
	// reloadRequested asks the loop to apply another configuration. The result, an error or
	// nil, is sent on done, which is buffered for it.
	reloadRequested struct {
		config *config.Config
		done   chan error
	}

	// traceRequested asks the loop to log the module's state once per interval from now on. The
	// result, an error or nil, is sent on done, which is buffered for it.
	traceRequested struct {
		interval time.Duration
		done     chan error
	}

	// traceDue reports that the next line of the trace is due.
	traceDue struct{}

	// readyTimeoutExpired reports that readyTimeout has expired: the agent is ready from now on,
	// even if it knows no backend.
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
