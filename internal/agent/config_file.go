package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"ploverreel/internal/fielderror"
	"ploverreel/internal/simwire"
	"ploverreel/policy"
)

// configFile is the JSON of a configuration.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // 64 bits in hexadecimal
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// LoadConfig reads and validates the file at path. Its error is one line that names EDGE_CONFIG, if
// the file can't be read, or else what ParseConfig names.
func LoadConfig(path string) (*Config, error) {
	if path == "" {
		return nil, fielderror.Errorf("EDGE_CONFIG", "not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fielderror.In("EDGE_CONFIG", err)
	}
	return ParseConfig(text)
}

// ParseConfig reads and validates the text of a configuration. Its error is one line, "config: field:
// reason", and wraps a fielderror.Error unless the text is no JSON.
func ParseConfig(text []byte) (*Config, error) {
	config, err := parseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return config, nil
}

func parseConfig(text []byte) (*Config, error) {
	file, err := decodeConfigFile(text)
	if err != nil {
		return nil, err
	}
	config := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Limits: file.Limits}
	if config.Seed, err = file.check(); err != nil {
		return nil, err
	}
	if err := config.parseSettings(file.Settings); err != nil {
		return nil, err
	}
	if len(file.Known) > 0 {
		if config.Known, err = parseList(file.Known); err != nil {
			return nil, fielderror.In("known", err)
		}
	}
	return config, nil
}

func decodeConfigFile(text []byte) (*configFile, error) {
	file := &configFile{}
	if err := json.Unmarshal(text, file); err != nil {
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) {
			return nil, &fielderror.Error{Field: mismatch.Field, Reason: "cannot be a " + mismatch.Value, Err: err}
		}
		return nil, fmt.Errorf("no JSON: %w", err)
	}
	return file, nil
}

// check validates all but the settings and the list, and returns the seed.
func (f *configFile) check() (seed uint64, err error) {
	if err := checkAddress(f.Listen); err != nil {
		return 0, fielderror.In("listen", err)
	}
	if err := checkAddress(f.Discovery); err != nil {
		return 0, fielderror.In("discovery", err)
	}
	if seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return 0, fielderror.Errorf("seed", "not 64 bits in hexadecimal: %q", f.Seed)
	}
	switch limits := f.Limits; {
	case f.Name == "":
		return 0, fielderror.Errorf("name", "missing")
	case !(limits.Cores > 0) || limits.Cores > 1024:
		return 0, fielderror.Errorf("limits.cores", "must be above 0 and at most 1024, is %v", limits.Cores)
	case !(limits.MemoryMB >= 16) || limits.MemoryMB > 1<<24:
		return 0, fielderror.Errorf("limits.memory_mb", "must be 16 or above, is %v", limits.MemoryMB)
	case limits.Sockets < minSockets:
		return 0, fielderror.Errorf("limits.sockets", "must be %d or above, is %d", minSockets, limits.Sockets)
	case len(f.Settings) == 0:
		return 0, fielderror.Errorf("settings", "missing")
	}
	return seed, nil
}

// parseSettings takes the settings and the names in them.
func (c *Config) parseSettings(text json.RawMessage) (err error) {
	if c.Settings, err = simwire.ParseSettings(text); err != nil {
		return fielderror.OfSettings(err)
	}
	var names struct {
		Sites []string `json:"failureDomains"`
		Kinds []string `json:"shapes"`
	}
	if err := json.Unmarshal(text, &names); err != nil {
		return fielderror.In("settings: failureDomains or shapes", err)
	}
	// The module validates its settings itself, when one is made.
	if _, err := policy.New(c.Settings, c.Seed); err != nil {
		return fielderror.OfSettings(err)
	}
	c.Names = nameIndex{sites: places(names.Sites), kinds: places(names.Kinds),
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

// checkAddress reports why an address has no host and numeric port.
func checkAddress(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("no address with a port: %q", addr)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("no port number: %q", addr)
	}
	return nil
}

// places maps each name to its place; of one that stands twice, the last.
func places(names []string) map[string]int {
	byName := make(map[string]int, len(names))
	for i, name := range names {
		byName[name] = i
	}
	return byName
}
