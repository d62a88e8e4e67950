package controlplane

import "encoding/json"

// The roles of the bench's processes, the last argument of their command line.
const (
	RoleStandIn = "stand-in"
	RoleAgents  = "agents"
)

// The commands of the bench to its processes.
const (
	opOpen    = "open"    // stand-in: Plan, List, Ports. agents: Plan, Agents, Ports
	opList    = "list"    // stand-in: List
	opSilence = "silence" // stand-in: Silent
	opRestart = "restart" // agents: Agents
	opReport  = "report"  // both
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
	Error  string  `json:"error,omitempty"`
	Usage  usage   `json:"usage"`
	Counts counts  `json:"counts"`
	AgeMs  int64   `json:"age_ms,omitempty"` // since the source of truth last sent an update
	Events []event `json:"events,omitempty"`
	LateMs float64 `json:"late_ms,omitempty"` // report: the longest wait for a processor since the last
}
