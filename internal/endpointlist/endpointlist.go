// Package endpointlist is the list of backends in discovery's form: its JSON, its validation, and
// how the decision module names a backend. A configuration brings such a list as the one known at
// the start, and discovery delivers whole lists and changes. The functions may be called from any
// goroutine; errors that name a field are or wrap a *fielderror.Error.
package endpointlist

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"

	"ploverreel/internal/fielderror"
	"ploverreel/policy"
)

// List is a list of backends, or a change of it.
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

// Parse reads and validates one list. Its error is that of the JSON or of Validate.
func Parse(text []byte) (List, error) {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return list, err
	}
	return list, list.Validate()
}

// Validate returns, as a *fielderror.Error, what is wrong with the first invalid field of a list.
func (l *List) Validate() error {
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
		case health != policy.HealthGone && CheckAddress(host.Dial) != nil:
			return fielderror.Errorf(fmt.Sprintf("hosts[%d].dial", i), "no address with a port: %q", host.Dial)
		}
	}
	return nil
}

// HealthOf returns the health of a host of a validated list, as the decision module knows it.
func HealthOf(host *Host) policy.Health { return healthByName[host.Health] }

// AddressOf returns the address that a backend has in the decision module. It depends on the
// backend's name alone, so it is the same at every agent and stays when the address to dial changes.
func AddressOf(host string) policy.Addr {
	hash := fnv.New64a()
	io.WriteString(hash, host)
	sum := hash.Sum(nil)
	for i := range 2 {
		sum[i+2] ^= sum[i] // fold all 64 bits into 48
	}
	return policy.Addr(sum[2:])
}

// CheckAddress reports why an address has no host and numeric port, or nil. Addresses of a
// configuration have the same form as those of a list.
func CheckAddress(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("no address with a port: %q", addr)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("no port number: %q", addr)
	}
	return nil
}
