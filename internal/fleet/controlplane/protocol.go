package controlplane

import "encoding/json"

// The roles of the bench's processes. The role is the last argument of a process's command line.
const (
	RoleStandIn = "stand-in" // serves the discovery protocol
	RoleAgents  = "agents"   // runs simulated agents
)

// The operations of a command, with the fields of the command that each one reads. A report may
// also have Heap, in either role.
const (
	opOpen    = "open"    // starts a stand-in (Plan, List, Ports) or agents (Plan, Agents, Ports)
	opList    = "list"    // delivers an update of the list to a stand-in (List)
	opSilence = "silence" // makes a stand-in silent, or ends the silence (Silent)
	opRestart = "restart" // restarts agents without a list (Agents)
	opReport  = "report"  // requests a report
)

// command is one line of JSON from the bench to one of its processes. The process replies to each.
type command struct {
	Op     string          `json:"op"`
	Plan   *Plan           `json:"plan,omitempty"`
	List   json.RawMessage `json:"list,omitempty"`
	Ports  []int           `json:"ports,omitempty"` // of each scope, or of each agent's discovery
	Agents []int           `json:"agents,omitempty"`
	Silent bool            `json:"silent,omitempty"`
	Heap   bool            `json:"heap,omitempty"` // collect the garbage before usage is measured
}

// reply is the answer of a process to a command.
type reply struct {
	Error  string       `json:"error,omitempty"`
	Usage  usage        `json:"usage"`
	Counts servedCounts `json:"counts"`
	AgeMs  int64        `json:"age_ms,omitempty"` // time since the last update from the source of truth
	Events []event      `json:"events,omitempty"`
	LateMs float64      `json:"late_ms,omitempty"` // longest wait for a processor since the last report
}
