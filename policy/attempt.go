// This file holds the state of one attempt.

package policy

// attempt is one transmission of a request to an endpoint.
type attempt struct {
	request     *request
	endpoint    *endpoint
	index       int     // number among the request's attempts, from 0
	sentAt      float64 // ms
	cost        float64 // expected work, as a multiple of a mean request's
	alone       bool    // this agent had no other attempt in flight at its endpoint at sentAt
	ended       bool
	stalled     bool // in flight at an endpoint that stopped answering, see releaseStalled
	cancelled   bool // cancelled by the agent, so that its request can be sent elsewhere
	charged     bool // its cost was deducted from its endpoint's slow start allowance
	unreachable bool // no route to its endpoint, and the failure was attributed to the endpoint
}
