package config

// MinSockets is the smallest descriptor limit that an agent can work with. otherSockets of the
// limit are kept for discovery, the listener and the runtime.
const (
	MinSockets   = 64
	otherSockets = 16
)

// Limits holds the resources that the process may use. Its methods divide the descriptors: each returns
// how many of Sockets are for one use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // open descriptors, connections and all else
}

// BackendSockets returns how many descriptors are for connections to backends.
func (l Limits) BackendSockets() int { return (l.Sockets - otherSockets) * 2 / 5 }

// ClientSockets returns how many descriptors are for clients' connections: the slots of the table
// of client connections.
func (l Limits) ClientSockets() int { return l.Sockets - otherSockets - l.BackendSockets() }

// KeptSockets returns how many clients' connections may be kept alive between requests.
func (l Limits) KeptSockets() int { return l.Sockets / 6 }

// OpenRequests returns how many requests may be in progress at once. The decision module gets this
// bound and rejects what exceeds it; the other slots of the table of client connections are for the
// clients that are sent that rejection.
func (l Limits) OpenRequests() int {
	slots := l.ClientSockets()
	return slots - max(slots/8, 8)
}
