// Package example_test checks that the agent accepts the example configuration.
package example_test

import (
	"encoding/json"
	"net"
	"os"
	"reflect"
	"strings"
	"testing"

	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
	"ploverreel/policy"
)

// The agent loads the example configuration as it ships, and every address in it is a loopback
// address.
func TestExampleConfigurationLoads(t *testing.T) {
	conf, err := config.Load("config.json")
	if err != nil {
		t.Fatal(err)
	}
	addresses := []string{conf.Listen, conf.Discovery}
	for _, host := range conf.InitialList.Hosts {
		addresses = append(addresses, host.Dial)
	}
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil || !net.ParseIP(host).IsLoopback() {
			t.Errorf("%s: not a loopback address (%v)", address, err)
		}
	}
	effects := map[policy.Effect]bool{}
	for _, class := range conf.Settings.Classes {
		effects[class.Effect] = true
	}
	if len(conf.InitialList.Hosts) == 0 || len(effects) != 3 {
		t.Errorf("got %d known servers and classes with %d effects, want at least 1 and 3", len(conf.InitialList.Hosts), len(effects))
	}
}

// The example has every key that the settings, the limits and the endpoint list read, and no other.
func TestExampleConfigurationHasEveryKey(t *testing.T) {
	text, err := os.ReadFile("config.json")
	if err != nil {
		t.Fatal(err)
	}
	var example struct {
		Name      any            `json:"name"`
		Listen    any            `json:"listen"`
		Discovery any            `json:"discovery"`
		Seed      any            `json:"seed"`
		Limits    map[string]any `json:"limits"`
		Known     map[string]any `json:"known"`
		Settings  map[string]any `json:"settings"`
	}
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&example); err != nil {
		t.Fatal(err)
	}
	// The names of zones and machine kinds are not part of policy.Settings; config reads them
	// separately.
	for _, key := range []string{"failureDomains", "shapes"} {
		if example.Settings[key] == nil {
			t.Errorf("settings.%s: missing", key)
		}
		delete(example.Settings, key)
	}
	checkKeys(t, "limits", example.Limits, reflect.TypeFor[config.Limits]())
	checkKeys(t, "known", example.Known, reflect.TypeFor[endpointlist.List]())
	checkKeys(t, "settings", example.Settings, reflect.TypeFor[policy.Settings]())
}

// optionalKeys lists the keys that only some classes have.
var optionalKeys = map[string]bool{"settings.classes.group": true, "settings.classes.keyTtlMs": true}

// checkKeys checks that the JSON value at path has exactly the keys that the type reads;
// optionalKeys may be missing. Each element of a list is checked.
func checkKeys(t *testing.T, path string, value any, typ reflect.Type) {
	t.Helper()
	switch {
	case typ.Kind() == reflect.Slice && typ.Elem().Kind() == reflect.Struct:
		elements, ok := value.([]any)
		if !ok || len(elements) == 0 {
			t.Errorf("%s: not a list with at least one element", path)
		}
		for _, element := range elements {
			checkKeys(t, path, element, typ.Elem())
		}
	case typ.Kind() == reflect.Struct:
		object, ok := value.(map[string]any)
		if !ok {
			t.Errorf("%s: not an object", path)
			return
		}
		readKeys := map[string]bool{}
		for i := range typ.NumField() {
			key, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			readKeys[key] = true
			inner, exists := object[key]
			if !exists {
				if !optionalKeys[path+"."+key] {
					t.Errorf("%s.%s: missing", path, key)
				}
				continue
			}
			checkKeys(t, path+"."+key, inner, typ.Field(i).Type)
		}
		for key := range object {
			if !readKeys[key] {
				t.Errorf("%s.%s: not read by the agent", path, key)
			}
		}
	}
}
