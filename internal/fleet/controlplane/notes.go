package controlplane

import "ploverreel/policy"

// Notes returns the notes of a result. They say how its figures were measured and what they do not
// include.
func Notes(p *Plan) []string {
	notes := []string{
		"Simulated agents: the real watch code and module without clients, so without a request's work. Their processor time and memory are shares of a process with many of them; what a process of Go holds by itself is left out.",
		"Bytes are those of HTTP as the stand-ins read and wrote them, without TCP and IP. Processor time is user and system time of the processes, with the bench's own questions in it.",
		"Times are from the moment at which the source of truth has a change to the moment at which an agent's module has it; all clocks are one machine's. All processes share it, so that a whole list for everybody at once waits for processors that the fleet would have: starts are spread by --spread, and a first list's time counts from its agent's own start.",
		"..._late is the longest that a process of the bench waited for a processor in that phase: times of that length say nothing of the fleet, and a wait of a second or more ends watches, whose agents then wait for their turns.",
		"A percentile that stands over all agents is left out where that part did not get the version within the limit; ..._without counts who did not.",
		"All stand-ins share the source's versions. One that was replaced has no changes from before its start and tells the whole list to who has an older version.",
	}
	if p.Scope == ScopeService {
		notes = append(notes, "Lists hold one service's servers: an assumption, as discovery's published protocol tells every agent of all. A change elsewhere is told as a list of no servers, to move the version.")
	}
	if p.Membership == policy.MembershipPushed {
		notes = append(notes, "Membership pushed means a discovery on the agent's own machine. Here the stand-ins play it for many agents.")
	}
	return notes
}
