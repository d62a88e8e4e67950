package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"ploverreel/internal/endpointlist"
	"ploverreel/internal/fielderror"
	"ploverreel/internal/simwire"
	"ploverreel/policy"
)

// Bounds of valid limits.
const (
	maxCores    = 1024    // cores
	minMemoryMB = 16      // MB
	maxMemoryMB = 1 << 24 // MB
)

// fileJSON is the JSON form of a configuration.
type fileJSON struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // 64-bit number in hexadecimal
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// Load reads and validates the file at path, the value of EDGE_CONFIG. Its error is one line. If
// path is empty or the file can't be read, the error names EDGE_CONFIG; otherwise it is the error of
// Parse.
func Load(path string) (*Config, error) {
	if path == "" {
		return nil, fielderror.Errorf("EDGE_CONFIG", "not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fielderror.Wrap("EDGE_CONFIG", err)
	}
	return Parse(text)
}

// Parse parses and validates the text of a configuration. Its error is one line of the form
// "config: field: reason". It wraps a *fielderror.Error, unless the text is not JSON.
func Parse(text []byte) (*Config, error) {
	config, err := parse(text)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return config, nil
}

// parse is Parse without the prefix of the error.
func parse(text []byte) (*Config, error) {
	file, err := decodeFile(text)
	if err != nil {
		return nil, err
	}
	config := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Limits: file.Limits}
	if config.Seed, err = file.validate(); err != nil {
		return nil, err
	}
	if err := config.parseSettings(file.Settings); err != nil {
		return nil, err
	}
	if len(file.Known) > 0 {
		if config.InitialList, err = endpointlist.Parse(file.Known); err != nil {
			return nil, fielderror.Wrap("known", err)
		}
	}
	return config, nil
}

// decodeFile parses the JSON of a configuration. Its error names the field if a value has a wrong
// type.
func decodeFile(text []byte) (*fileJSON, error) {
	file := &fileJSON{}
	if err := json.Unmarshal(text, file); err != nil {
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) {
			return nil, &fielderror.Error{Field: mismatch.Field, Reason: "cannot be a " + mismatch.Value, Err: err}
		}
		return nil, fmt.Errorf("no JSON: %w", err)
	}
	return file, nil
}

// validate checks all fields except for the contents of the settings and of the endpoint list. It
// returns the parsed seed.
func (f *fileJSON) validate() (seed uint64, err error) {
	if err := endpointlist.CheckAddress(f.Listen); err != nil {
		return 0, fielderror.Wrap("listen", err)
	}
	if err := endpointlist.CheckAddress(f.Discovery); err != nil {
		return 0, fielderror.Wrap("discovery", err)
	}
	if seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return 0, fielderror.Errorf("seed", "not 64 bits in hexadecimal: %q", f.Seed)
	}
	switch limits := f.Limits; {
	case f.Name == "":
		return 0, fielderror.Errorf("name", "missing")
	case !(limits.Cores > 0) || limits.Cores > maxCores:
		return 0, fielderror.Errorf("limits.cores", "must be above 0 and at most 1024, is %v", limits.Cores)
	case !(limits.MemoryMB >= minMemoryMB) || limits.MemoryMB > maxMemoryMB:
		return 0, fielderror.Errorf("limits.memory_mb", "must be 16 or above, is %v", limits.MemoryMB)
	case limits.Sockets < MinSockets:
		return 0, fielderror.Errorf("limits.sockets", "must be %d or above, is %d", MinSockets, limits.Sockets)
	case len(f.Settings) == 0:
		return 0, fielderror.Errorf("settings", "missing")
	}
	return seed, nil
}

// parseSettings parses and validates the settings and builds the name index from them.
func (c *Config) parseSettings(text json.RawMessage) (err error) {
	if c.Settings, err = simwire.ParseSettings(text); err != nil {
		return fielderror.FromSettings(err)
	}
	var names struct {
		Zones        []string `json:"failureDomains"`
		MachineKinds []string `json:"shapes"`
	}
	if err := json.Unmarshal(text, &names); err != nil {
		return fielderror.Wrap("settings: failureDomains or shapes", err)
	}
	// policy.New validates the settings of the decision module.
	if _, err := policy.New(c.Settings, c.Seed); err != nil {
		return fielderror.FromSettings(err)
	}
	c.Names = NameIndex{zones: indexNames(names.Zones), machineKinds: indexNames(names.MachineKinds),
		classes: map[string]int{}, tenants: map[string]int{}}
	for i, class := range c.Settings.Classes {
		if class.Name == "" {
			return fielderror.Errorf(fmt.Sprintf("settings: classes[%d].name", i), "missing")
		}
		c.Names.classes[class.Name] = i
	}
	for i, tenant := range c.Settings.Tenants {
		c.Names.tenants[tenant.Name] = i
	}
	return nil
}
