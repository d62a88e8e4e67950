package endpointlist

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// claim returns a host at an address whose process started at bornMs.
func claim(name, address string, bornMs float64, health string) Host {
	return Host{Host: name, Dial: address, BornMs: bornMs, Health: health}
}

// healths returns the health of hosts, by name.
func healths(hosts []Host) map[string]string {
	byName := map[string]string{}
	for _, host := range hosts {
		byName[host.Host] = host.Health
	}
	return byName
}

// Guards against an older process that counts as listed although a newer one has its address.
func TestAddressClaimsFindReplacedHosts(t *testing.T) {
	const address, other = "127.0.0.1:1", "127.0.0.1:2"
	old, replacement := claim("old", address, 1, "ready"), claim("new", address, 2, "ready")
	gone := func(name string) Host { return Host{Host: name, Health: "gone"} }
	type change struct {
		whole bool
		hosts []Host
		want  map[string]string
	}
	for name, changes := range map[string][]change{
		"change":               {{true, []Host{old}, map[string]string{"old": "ready"}}, {false, []Host{replacement}, map[string]string{"old": "gone", "new": "ready"}}},
		"whole list":           {{true, []Host{old, replacement}, map[string]string{"old": "gone", "new": "ready"}}},
		"whole list, reversed": {{true, []Host{replacement, old}, map[string]string{"old": "gone", "new": "ready"}}},
		"older one later":      {{true, []Host{replacement}, map[string]string{"new": "ready"}}, {false, []Host{old}, map[string]string{"old": "gone"}}},
		"older one drains":     {{true, []Host{old, replacement}, nil}, {false, []Host{claim("old", address, 1, "draining")}, map[string]string{"old": "gone"}}},
		"new one drains":       {{true, []Host{old}, nil}, {false, []Host{claim("new", address, 2, "draining")}, map[string]string{"old": "gone", "new": "draining"}}},
		"same start":           {{true, []Host{old, claim("new", address, 1, "ready")}, map[string]string{"old": "ready", "new": "ready"}}},
		"newer one leaves":     {{true, []Host{old, replacement}, nil}, {false, []Host{gone("new")}, map[string]string{"new": "gone", "old": "ready"}}},
		"newer one moves":      {{true, []Host{old, replacement}, nil}, {false, []Host{claim("new", other, 2, "ready")}, map[string]string{"new": "ready", "old": "ready"}}},
		"older one moves":      {{true, []Host{old, replacement}, nil}, {false, []Host{claim("old", other, 1, "ready")}, map[string]string{"old": "ready"}}},
		"older one restarts":   {{true, []Host{old, replacement}, nil}, {false, []Host{claim("old", address, 3, "ready")}, map[string]string{"old": "ready", "new": "gone"}}},
		"older one unlisted":   {{true, []Host{old, replacement}, nil}, {true, []Host{replacement}, map[string]string{"new": "ready"}}},
		"both leave":           {{true, []Host{old, replacement}, nil}, {false, []Host{gone("old"), gone("new")}, map[string]string{"old": "gone", "new": "gone"}}},
		"unknown one leaves":   {{true, []Host{old}, nil}, {false, []Host{gone("new")}, map[string]string{"new": "gone"}}},
	} {
		t.Run(name, func(t *testing.T) {
			claims := NewAddressClaims()
			for i, change := range changes {
				got := healths(claims.Resolve(&List{Hosts: change.hosts}, change.whole))
				if change.want != nil && !maps.Equal(got, change.want) {
					t.Errorf("list %d: got %v, want %v", i, got, change.want)
				}
			}
		})
	}
}

// The hosts that Resolve returns over many random changes add up to what the whole list would give,
// and no state is left of hosts that are gone.
func TestAddressClaimsAddUpToTheWholeList(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	claims, listed, resolved := NewAddressClaims(), map[string]Host{}, map[string]string{}
	for step := range 5000 {
		var change []Host
		for range 1 + random.IntN(3) {
			health := []string{"ready", "draining", "gone"}[random.IntN(3)]
			host := claim(fmt.Sprint("s-", random.IntN(8)), fmt.Sprint("127.0.0.1:", random.IntN(5)), float64(random.IntN(4)), health)
			change = append(change, host)
			if listed[host.Host] = host; health == "gone" {
				delete(listed, host.Host)
			}
		}
		maps.Copy(resolved, healths(claims.Resolve(&List{Hosts: change}, false)))
		whole := slices.Collect(maps.Values(listed))
		want := healths(NewAddressClaims().Resolve(&List{Hosts: whole}, true))
		for name, health := range resolved {
			if wanted, known := want[name]; known && health != wanted || !known && health != "gone" {
				t.Fatalf("step %d: got %s %s, want %q", step, name, health, wanted)
			}
		}
		if len(claims.hosts) != len(listed) || len(claims.replaced) >= max(len(listed), 1) {
			t.Fatalf("step %d: got %d hosts, %d replaced; want %d hosts", step, len(claims.hosts), len(claims.replaced), len(listed))
		}
	}
}
