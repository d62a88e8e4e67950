// Package example_test keeps the example configuration one that the agent takes.
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

// The agent takes the example as it ships, and every address in it is on the loopback.
func TestExampleConfigurationIsTaken(t *testing.T) {
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
		t.Errorf("%d known servers, classes of %d effects, want some and 3", len(conf.InitialList.Hosts), len(effects))
	}
}

// The example has every key that the settings, the limits and the list read, and no other.
func TestExampleConfigurationHasEveryKey(t *testing.T) {
	text, err := os.ReadFile("config.json")
	if err != nil {
		t.Fatal(err)
	}
	var shown struct {
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
	if err := decoder.Decode(&shown); err != nil {
		t.Fatal(err)
	}
	// The names of zones and machine kinds are read beside the module's settings.
	for _, key := range []string{"failureDomains", "shapes"} {
		if shown.Settings[key] == nil {
			t.Errorf("settings.%s: missing", key)
		}
		delete(shown.Settings, key)
	}
	sameKeys(t, "limits", shown.Limits, reflect.TypeFor[config.Limits]())
	sameKeys(t, "known", shown.Known, reflect.TypeFor[endpointlist.List]())
	sameKeys(t, "settings", shown.Settings, reflect.TypeFor[policy.Settings]())
}

// optional keys belong to some classes only.
var optional = map[string]bool{"settings.classes.group": true, "settings.classes.keyTtlMs": true}

// sameKeys compares the keys of a JSON value at path with those that the type reads. Of the
// elements of a list each is compared.
func sameKeys(t *testing.T, path string, value any, of reflect.Type) {
	t.Helper()
	switch {
	case of.Kind() == reflect.Slice && of.Elem().Kind() == reflect.Struct:
		elements, ok := value.([]any)
		if !ok || len(elements) == 0 {
			t.Errorf("%s: no list with an element", path)
		}
		for _, element := range elements {
			sameKeys(t, path, element, of.Elem())
		}
	case of.Kind() == reflect.Struct:
		object, ok := value.(map[string]any)
		if !ok {
			t.Errorf("%s: no object", path)
			return
		}
		known := map[string]bool{}
		for i := range of.NumField() {
			key, _, _ := strings.Cut(of.Field(i).Tag.Get("json"), ",")
			known[key] = true
			inner, has := object[key]
			if !has {
				if !optional[path+"."+key] {
					t.Errorf("%s.%s: missing", path, key)
				}
				continue
			}
			sameKeys(t, path+"."+key, inner, of.Field(i).Type)
		}
		for key := range object {
			if !known[key] {
				t.Errorf("%s.%s: not read", path, key)
			}
		}
	}
}
