package config

// Numbers of file descriptors.
const (
	MinSockets      = 64 // smallest limits.sockets that an agent can work with
	reservedSockets = 16 // for discovery, the listener and the runtime
)

// Divisions of the file descriptors.
const (
	// keepAliveDivisor divides the limit of open descriptors. The quotient is the number of client
	// connections that may be kept alive.
	keepAliveDivisor = 6
	// rejectionSlotsDivisor divides the slots for client connections. The quotient is the number of
	// slots that stay free for clients whose requests are rejected.
	rejectionSlotsDivisor = 8
	// minRejectionSlots is the floor of that number of slots.
	minRejectionSlots = 8
)

// Divisions of the memory limit. The quotients bound parts of the memory.
const (
	bodyMemoryDivisor = 8 // the bodies of all requests in memory together, with what is kept of their heads
	headMemoryDivisor = 8 // the larger heads of all requests together

	clientMemoryDivisor = 3 // the connections of all clients together, without bodies and larger heads
)

// clientMemory is the memory, in bytes, of one client connection whose request is being read: the
// server's buffers and goroutine, and a usual head.
const clientMemory = 28 << 10

// Limits of the answers that the agent gives without a backend, per second.
const (
	answersPerCore = 1000
	minAnswerRate  = 200
)

// Limits holds the resources that the process may use. Its methods divide the file descriptors
// between their uses.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // limit of open file descriptors of all kinds
}

// BackendSockets returns the number of descriptors for connections to backends: two fifths of those
// that are not reserved.
func (l Limits) BackendSockets() int { return (l.Sockets - reservedSockets) * 2 / 5 }

// ClientSockets returns the number of slots in the table of client connections: the descriptors that
// are neither reserved nor for backends, but no more than clientMemoryDivisor leaves memory for.
func (l Limits) ClientSockets() int {
	slots := l.Sockets - reservedSockets - l.BackendSockets()
	if l.MemoryMB > 0 {
		slots = min(slots, int(l.MemoryMB*(1<<20)/clientMemoryDivisor/clientMemory))
	}
	return slots
}

// KeepAliveSockets returns how many client connections may be kept alive between requests: a sixth
// of Sockets, but no more than half of the slots.
func (l Limits) KeepAliveSockets() int { return min(l.Sockets/keepAliveDivisor, l.ClientSockets()/2) }

// MaxOpenRequests returns how many requests may be in progress at once. The decision module rejects
// requests above this limit. An eighth of the slots in the table of client connections, but at least
// minRejectionSlots, stay free for the clients that receive such a rejection.
func (l Limits) MaxOpenRequests() int {
	slots := l.ClientSockets()
	return slots - max(slots/rejectionSlotsDivisor, minRejectionSlots)
}

// BodyMemory returns the largest number of bytes of all request bodies in memory together, with what
// is kept of their heads.
func (l Limits) BodyMemory() int64 { return int64(l.MemoryMB * (1 << 20) / bodyMemoryDivisor) }

// AnswerRate returns how many answers a second the agent gives without a backend before it delays
// them: to invalid requests, to health checks, and to requests without time left.
func (l Limits) AnswerRate() float64 { return max(l.Cores*answersPerCore, minAnswerRate) }

// HeadMemory returns how many bytes of memory all request heads may use together that are larger
// than usual.
func (l Limits) HeadMemory() int64 { return int64(l.MemoryMB * (1 << 20) / headMemoryDivisor) }
