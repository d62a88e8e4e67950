package agent

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"

	"ploverreel/internal/fielderror"
	"ploverreel/policy"
)

// List is a list of backends, or a change of it, in discovery's form.
type List struct {
	Seq   int64  `json:"seq"`   // version; grows with each change
	Whole bool   `json:"whole"` // whether Hosts are all backends, or only those that changed
	Hosts []Host `json:"hosts"`
}

// Host is one backend of a list.
type Host struct {
	Host   string  `json:"host"`    // its name, which it keeps
	Dial   string  `json:"dial"`    // address with a port
	Site   string  `json:"site"`    // zone, by name
	Class  string  `json:"class"`   // machine kind, by name
	Block  int     `json:"block"`   // cell
	Health string  `json:"health"`  // "ready", "draining" or "gone"
	Share  float64 `json:"share"`   // weight among the backends
	BornMs float64 `json:"born_ms"` // start of its process by its wall clock, Unix time; 0: long ago
}

var healthByName = map[string]policy.Health{
	"ready": policy.HealthReady, "draining": policy.HealthDraining, "gone": policy.HealthGone,
}

// parseList reads one list. Its error is that of the JSON or of check.
func parseList(text []byte) (List, error) {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return list, err
	}
	return list, list.check()
}

// check reports, as a fielderror.Error, the first part of a list that makes no sense.
func (l *List) check() error {
	if l.Hosts == nil {
		return fielderror.Errorf("hosts", "missing") // other JSON must not pass as a list without backends
	}
	for i, host := range l.Hosts {
		health, known := healthByName[host.Health]
		switch {
		case host.Host == "":
			return fielderror.Errorf(fmt.Sprintf("hosts[%d].host", i), "missing")
		case !known:
			return fielderror.Errorf(fmt.Sprintf("hosts[%d].health", i), "unknown word %q", host.Health)
		case health != policy.HealthGone && checkAddress(host.Dial) != nil:
			return fielderror.Errorf(fmt.Sprintf("hosts[%d].dial", i), "no address with a port: %q", host.Dial)
		}
	}
	return nil
}

// entry translates a host for the module; its start is still born_ms. A zone or machine kind that
// the settings don't name is nobody's own: it gets a number that no settings give.
func (n *nameIndex) entry(host *Host) policy.Entry {
	place := func(places map[string]int, name string) int {
		if i, ok := places[name]; ok {
			return i
		}
		return -1
	}
	return policy.Entry{Server: addrOf(host.Host), Zone: place(n.sites, host.Site), Cell: host.Block,
		MachineKind: place(n.kinds, host.Class), StartedMs: host.BornMs, Health: healthByName[host.Health],
		Weight: host.Share}
}

// addrOf gives a backend its address in the module: from its name alone, so that it is the same at
// every agent and stays when the address to dial changes.
func addrOf(host string) policy.Addr {
	hash := fnv.New64a()
	io.WriteString(hash, host)
	sum := hash.Sum(nil)
	for i := range 2 {
		sum[i+2] ^= sum[i] // fold all 64 bits into 48
	}
	return policy.Addr(sum[2:])
}
