package controlplane

import "ploverreel/policy"

// Notes returns the notes of a result. They explain how its figures were measured and what the
// figures do not include.
func Notes(p *Plan) []string {
	notes := []string{
		"The agents are simulated. They run the real watch code and the real decision module, but they have no clients and so do no work for requests. Many agents run in one process, and the processor time and memory of an agent are a share of that process. The memory that a Go process of its own would add to each agent is not included.",
		"Bytes are the bytes of HTTP that the stand-ins read and wrote, without the headers of TCP and IP. Processor time is the user and system time of the processes. It includes the time that they spend on the bench's own polls.",
		"Times are measured from when the source of truth has a change until an agent's module has it, all by the clock of one machine. All processes share that machine. If all agents got a whole list at the same time, they would wait for processors that a real fleet would have. The starts of the agents are therefore spread over the time --spread, and the time to an agent's first list is measured from the start of that agent.",
		"..._late is the longest time that a process of the bench waited for a processor in that phase. Measured times of about that length say nothing about the fleet. A wait of a second or more ends watches, and the agents of these watches then wait for a delay with jitter before they open the next watch.",
		"A percentile is over all agents, including those that did not get the version within the limit. It is left out if it falls among those agents. ..._without is the number of those agents.",
		"All stand-ins use the version numbers of the source of truth. A stand-in that replaced another does not know the changes from before its start. It sends the whole list to an agent that has an older version.",
	}
	if p.Scope == ScopeService {
		notes = append(notes, "Each list has the servers of one service. This is an assumption: in its published protocol, discovery sends all servers to every agent. A change of another service's servers is sent as a list without servers, so that the version advances.")
	}
	if p.Membership == policy.MembershipPushed {
		notes = append(notes, "Membership pushed means that discovery runs on the agent's own machine. In this run each stand-in replaces that discovery for many agents.")
	}
	return notes
}
