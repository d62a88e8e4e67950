package config_test

import (
	"testing"
	"time"

	"ploverreel/internal/config"
	"ploverreel/policy"
)

func TestModuleSettingsBoundOpenRequestsAndWatchPushedLists(t *testing.T) {
	most := config.Limits{Sockets: 1024}.MaxOpenRequests()
	for _, c := range []struct {
		name       string
		value      any
		path       []any
		requests   int
		membership string
	}{
		{"open requests not limited", nil, []any{"settings", "limits", "openCap"}, most, policy.MembershipWatched},
		{"fewer open requests than fit", 10, []any{"settings", "limits", "openCap"}, 10, policy.MembershipWatched},
		{"more open requests than fit", 1 << 20, []any{"settings", "limits", "openCap"}, most, policy.MembershipWatched},
		{"list on request", policy.MembershipOnRequest, []any{"settings", "membershipMode"}, most, policy.MembershipOnRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := parseWith(t, c.value, c.path...).ModuleSettings()
			if got.Limits.MaxOpenRequests != c.requests || got.Membership != c.membership {
				t.Errorf("got %d open requests and membership %s, want %d and %s", got.Limits.MaxOpenRequests, got.Membership,
					c.requests, c.membership)
			}
		})
	}
}

func TestMaxDeadlineIsAtLeastAMinute(t *testing.T) {
	for deadlineMs, want := range map[int]time.Duration{30000: time.Minute, 300000: 5 * time.Minute} {
		if got := parseWith(t, deadlineMs, "settings", "classes", 0, "giveUpMs").MaxDeadline(); got != want {
			t.Errorf("got %v for a deadline of %d ms, want %v", got, deadlineMs, want)
		}
	}
}

func TestLimitsDivideNoMoreThanAllSockets(t *testing.T) {
	for sockets := config.MinSockets; sockets <= 4096; sockets++ {
		limits := config.Limits{Sockets: sockets}
		clients, backends := limits.ClientSockets(), limits.BackendSockets()
		if clients+backends >= sockets || limits.MaxOpenRequests() <= 0 || limits.MaxOpenRequests() >= clients || limits.KeepAliveSockets() >= clients {
			t.Fatalf("got %d of clients (%d kept, %d with a request) and %d of backends, want some of each and a sum below %d",
				clients, limits.KeepAliveSockets(), limits.MaxOpenRequests(), backends, sockets)
		}
	}
}

// Guards against an agent that goes over its memory limit because it may hold more client connections
// than it has memory for. The slots are enough for the clients that hold a third of the descriptors.
func TestClientSlotsAreBoundedByMemory(t *testing.T) {
	for _, sockets := range []int{config.MinSockets, 256, 1024, 4096} {
		for _, memoryMB := range []float64{16, 32, 64, 192} {
			limits := config.Limits{Sockets: sockets, MemoryMB: memoryMB}
			clients, byDescriptors := limits.ClientSockets(), config.Limits{Sockets: sockets}.ClientSockets()
			if used := float64(clients) * 28 / 1024; used > memoryMB/3 || clients > byDescriptors {
				t.Errorf("%d descriptors, %v MB: got %d slots, want at most a third of the memory for them and %d", sockets, memoryMB, clients, byDescriptors)
			}
			if memoryMB >= 32 && sockets <= 1024 && clients < sockets/3 {
				t.Errorf("%d descriptors, %v MB: got %d slots, want at least a third of the descriptors", sockets, memoryMB, clients)
			}
			if limits.MaxOpenRequests() <= 0 || limits.MaxOpenRequests() >= clients || limits.KeepAliveSockets() >= clients {
				t.Errorf("%d descriptors, %v MB: got %d slots for %d requests, %d kept alive", sockets, memoryMB, clients, limits.MaxOpenRequests(), limits.KeepAliveSockets())
			}
		}
	}
}
