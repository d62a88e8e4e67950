package agent

// minSockets is the smallest descriptor limit that an agent can work with. otherSockets of the
// limit are kept for discovery, the listener and the runtime.
const (
	minSockets   = 64
	otherSockets = 16
)

// backendSockets is how many of all descriptors are for connections to backends.
func backendSockets(all int) int { return (all - otherSockets) * 2 / 5 }

// clientSockets is how many of all descriptors are for clients' connections: the slots of the
// client connection table.
func clientSockets(all int) int { return all - otherSockets - backendSockets(all) }

// keptSockets is how many clients' connections may be kept alive between requests.
func keptSockets(all int) int { return all / 6 }

// openRequests is how many requests may be in progress at once, as the decision module is told,
// which rejects what exceeds it. The other slots of the client connection table are for the
// clients that are sent that rejection.
func openRequests(all int) int {
	slots := clientSockets(all)
	return slots - max(slots/8, 8)
}
