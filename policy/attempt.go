// This file holds what is known of one attempt.

package policy

// attempt is one send of a request.
type attempt struct {
	request     *request
	endpoint    *endpoint
	index       int     // number among the request's attempts, from 0
	sentAt      float64 // ms
	cost        float64 // work in mean requests
	alone       bool    // no other attempt of this agent was in flight at its endpoint
	ended       bool
	stalled     bool // in flight at an endpoint that fell silent under it
	cancelled   bool // cancelled by the agent, to be sent elsewhere
	charged     bool // taken from its endpoint's slow start allowance
	unreachable bool // its endpoint could not be reached and was held responsible
}
