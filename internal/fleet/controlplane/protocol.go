package controlplane

import "encoding/json"

// The roles of the bench's processes. The role is the last argument of a process's command line.
const (
	RoleStandIn = "stand-in" // serves the discovery protocol
	RoleAgents  = "agents"   // runs simulated agents
)

// The operations of a command, with the fields of the command that each one reads.
const (
	opOpen    = "open"    // starts to serve or to run agents; stand-in: Plan, List, Ports; agents: Plan, Agents, Ports
	opList    = "list"    // delivers an update of the list; stand-in: List
	opSilence = "silence" // stops or resumes all answers; stand-in: Silent
	opRestart = "restart" // restarts agents without a list; agents: Agents
	opReport  = "report"  // returns counts, events and usage; both roles: Heap
)

// command is one line from the bench to a process of its own; a reply comes for each.
type command struct {
	Op     string          `json:"op"`
	Plan   *Plan           `json:"plan,omitempty"`
	List   json.RawMessage `json:"list,omitempty"`
	Ports  []int           `json:"ports,omitempty"` // of a stand-in's scopes, or of each agent's discovery
	Agents []int           `json:"agents,omitempty"`
	Silent bool            `json:"silent,omitempty"`
	Heap   bool            `json:"heap,omitempty"` // report: collect the garbage first
}

// reply is a process's answer.
type reply struct {
	Error  string       `json:"error,omitempty"`
	Usage  usage        `json:"usage"`
	Counts servedCounts `json:"counts"`
	AgeMs  int64        `json:"age_ms,omitempty"` // since the source of truth last sent an update
	Events []event      `json:"events,omitempty"`
	LateMs float64      `json:"late_ms,omitempty"` // report: the longest wait for a processor since the last
}
