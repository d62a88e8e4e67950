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
