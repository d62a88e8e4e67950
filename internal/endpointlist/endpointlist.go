// Package endpointlist defines the list of backends as discovery sends it: its JSON, its validation
// and the address that identifies a backend in the decision module. A configuration contains the
// initial list; discovery delivers whole lists and changes. The functions are safe for concurrent
// use. Errors that name a field are or wrap a *fielderror.Error.
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

// List is the whole list of backends, or a change of it.
type List struct {
	Seq   int64  `json:"seq"`   // version; increases with each change
	Whole bool   `json:"whole"` // true: Hosts holds all backends; false: only those that changed
	Hosts []Host `json:"hosts"`
}

// Host is one backend of a list.
type Host struct {
	Host   string  `json:"host"`    // name of the backend; never changes
	Dial   string  `json:"dial"`    // address to connect to, host:port
	Site   string  `json:"site"`    // name of its zone
	Class  string  `json:"class"`   // name of its machine kind
	Block  int     `json:"block"`   // cell
	Health string  `json:"health"`  // "ready", "draining" or "gone"
	Share  float64 `json:"share"`   // weight among the backends
	BornMs float64 `json:"born_ms"` // start of its process: Unix time in ms by its wall clock; 0: long ago
}

var healthByName = map[string]policy.Health{
	"ready": policy.HealthReady, "draining": policy.HealthDraining, "gone": policy.HealthGone,
}

// Parse parses and validates one list. Its error comes from the JSON decoder or from Validate.
func Parse(text []byte) (List, error) {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return list, err
	}
	return list, list.Validate()
}

// Validate returns a *fielderror.Error of the first invalid field, or nil.
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

// HealthOf converts the health of a host of a validated list to that of the decision module.
func HealthOf(host *Host) policy.Health { return healthByName[host.Health] }

// AddressOf returns the address that identifies a backend in the decision module. It is a hash of
// the backend's name alone, so every agent computes the same one and it does not change with
// Host.Dial.
func AddressOf(host string) policy.Addr {
	hash := fnv.New64a()
	io.WriteString(hash, host)
	sum := hash.Sum(nil)
	for i := range 2 {
		sum[i+2] ^= sum[i] // folds the 64 bits of the hash into the 48 of an address
	}
	return policy.Addr(sum[2:])
}

// CheckAddress returns an error unless the address consists of a host and a numeric port. The
// addresses in a configuration and those in a list have the same form.
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
