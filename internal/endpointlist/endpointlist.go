// Package endpointlist defines the list of backends as discovery sends it: its JSON, its validation
// and the address that identifies a backend in the decision module. A configuration contains the
// initial list; discovery delivers whole lists and changes. The functions are safe for concurrent
// use. Errors that name a field are or wrap a *fielderror.Error.
package endpointlist

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"reflect"
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

// healthGone is the Health of a host that is not in use any more.
const healthGone = "gone"

var healthByName = map[string]policy.Health{
	"ready": policy.HealthReady, "draining": policy.HealthDraining, healthGone: policy.HealthGone,
}

// Parse parses and validates one list. Its error comes from the JSON decoder, or is a
// *fielderror.Error of the first invalid field.
func Parse(text []byte) (List, error) {
	var decoded checkedList
	err := json.Unmarshal(text, &decoded)
	return decoded.result(err)
}

// Decode reads and validates the next list of a stream. Its errors are those of Parse and of the
// stream.
func Decode(stream *json.Decoder) (List, error) {
	var decoded checkedList
	err := stream.Decode(&decoded)
	return decoded.result(err)
}

// checkedList is a List that is validated while it is decoded.
type checkedList struct {
	Seq   int64        `json:"seq"`
	Whole bool         `json:"whole"`
	Hosts checkedHosts `json:"hosts"`
}

// result returns the decoded list, or the error of the decoder or of the validation.
func (l *checkedList) result(err error) (List, error) {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field == "" {
		mismatch.Type = reflect.TypeFor[List]() // the type that callers know
	}
	if err != nil {
		return List{}, err
	}
	if l.Hosts == nil {
		return List{}, fielderror.Errorf("hosts", "missing") // other JSON must not pass as a list without backends
	}
	return List{Seq: l.Seq, Whole: l.Whole, Hosts: l.Hosts}, nil
}

// checkedHosts are the hosts of a list. They are decoded host by host up to the first invalid one:
// a decoded host takes many times as much memory as its text if it has no valid fields.
type checkedHosts []Host

// UnmarshalJSON implements json.Unmarshaler. It returns a *fielderror.Error of the first invalid
// field.
func (l *checkedHosts) UnmarshalJSON(text []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if start, err := decoder.Token(); err != nil || start != json.Delim('[') {
		return json.Unmarshal(text, (*[]Host)(l)) // null, or a value of a wrong type
	}
	hosts := []Host{}
	for decoder.More() {
		var host Host
		if err := decoder.Decode(&host); err != nil {
			return err
		}
		if err := host.validate(len(hosts)); err != nil {
			return err
		}
		hosts = append(hosts, host)
	}
	*l = hosts
	return nil
}

// validate returns a *fielderror.Error of the first invalid field of the host with the index i in
// its list, or nil.
func (h *Host) validate(i int) error {
	health, known := healthByName[h.Health]
	switch {
	case h.Host == "":
		return fielderror.Errorf(fmt.Sprintf("hosts[%d].host", i), "missing")
	case !known:
		return fielderror.Errorf(fmt.Sprintf("hosts[%d].health", i), "unknown word %q", h.Health)
	case health != policy.HealthGone && CheckAddress(h.Dial) != nil:
		return fielderror.Errorf(fmt.Sprintf("hosts[%d].dial", i), "no address with a port: %q", h.Dial)
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
