// This file holds what is known of one server and of one attempt.

package policy

// endpoint is what the agent knows of one listed server. Times are those of the agent's clock,
// in ms.
type endpoint struct {
	id          Addr
	hash        uint64 // of the address, for rendezvous hashing
	order       uint64 // position among the endpoints, in an order of this agent's own
	zone        int
	cell        int
	machineKind int
	weight      float64
	usable      bool // listed as ready
	slowStart   endpointSlowStart
	health      endpointHealth
	traffic     endpointTraffic
	latency     endpointLatency
	window      endpointWindow
	score       float64 // rank for the request that is being placed; lower is better
}

// endpointSlowStart is how far an endpoint's process has warmed up.
type endpointSlowStart struct {
	listedAt  float64 // start of its process by the endpoint list
	startedAt float64 // the same, or later where a restart is assumed
	warming   bool    // in slowStart.warming
	allowance float64 // work it may still be sent while it is warming up, in mean requests
}

// endpointHealth is an endpoint's state and what led to it.
type endpointHealth struct {
	state                State
	since                float64 // when the state was entered
	silent               bool    // ejected for silence, not for an answer
	unreachableAt        float64 // first failed connect since its last answer; 0: none
	consecutiveEjections int     // recent ejections; sets the ejection time
	failureRate          float64 // recent share of attempts that failed after they may have run
	served               int     // requests served since consecutiveEjections last changed
	checking             bool    // a health check is under way
}

// endpointTraffic is what this agent has sent to an endpoint and what came back.
type endpointTraffic struct {
	inFlight       []*attempt // oldest first
	abandoned      int        // attempts it may still work on though nobody waits for them
	answeredSentAt float64    // send time of the latest-sent attempt that it has answered
	heardAt        float64    // when it last answered anything
	sentAt         float64    // when the last attempt was sent
	meanGapMs      float64    // mean time between attempts; 0: unknown
}

// endpointLatency is an endpoint's answer times. mean and recent are fractions of the latency
// objective.
type endpointLatency struct {
	mean     float64
	samples  int     // answers that mean was learnt from
	recent   float64 // by the last answers, as of recentAt
	recentAt float64
	lastMs   float64 // last answer time
}

// endpointWindow bounds the attempts that an endpoint may hold of this agent.
type endpointWindow struct {
	size  float64
	cutAt float64 // when it was last reduced
}

// attempt is one send of a request.
type attempt struct {
	request     *request
	target      *endpoint
	index       int     // number among the request's attempts, from 0
	sentAt      float64 // ms
	alone       bool    // no other attempt of this agent was in flight at its endpoint
	cost        float64 // work in mean requests
	done        bool
	stalled     bool // in flight at an endpoint that fell silent under it
	cancelled   bool // cancelled by the agent, to be sent elsewhere
	charged     bool // taken from its endpoint's slow start allowance
	unreachable bool // its endpoint could not be reached and was held responsible
}
