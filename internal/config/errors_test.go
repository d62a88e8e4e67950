package config_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/config"
	"ploverreel/internal/endpointlist"
	"ploverreel/internal/fielderror"
)

// Each error of a configuration is one line with the path of its field, word for word.
func TestConfigErrorTexts(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
		path  []any
		want  string
	}{
		{"name missing", nil, []any{"name"}, `config: name: missing`},
		{"name of another type", 7, []any{"name"}, `config: name: cannot be a number`},
		{"listen missing", nil, []any{"listen"}, `config: listen: no address with a port: ""`},
		{"listen without a port", "here", []any{"listen"}, `config: listen: no address with a port: "here"`},
		{"listen with a port by name", "127.0.0.1:http", []any{"listen"}, `config: listen: no port number: "127.0.0.1:http"`},
		{"discovery without a port", "there", []any{"discovery"}, `config: discovery: no address with a port: "there"`},
		{"discovery with a port by name", "127.0.0.1:http", []any{"discovery"}, `config: discovery: no port number: "127.0.0.1:http"`},
		{"seed", "xyz", []any{"seed"}, `config: seed: not 64 bits in hexadecimal: "xyz"`},
		{"cores", 0, []any{"limits", "cores"}, `config: limits.cores: must be above 0 and at most 1024, is 0`},
		{"cores of another type", "many", []any{"limits", "cores"}, `config: limits.cores: cannot be a string`},
		{"memory", -1, []any{"limits", "memory_mb"}, `config: limits.memory_mb: must be 16 or above, is -1`},
		{"sockets", 1, []any{"limits", "sockets"}, `config: limits.sockets: must be 64 or above, is 1`},
		{"sockets of another type", "many", []any{"limits", "sockets"}, `config: limits.sockets: cannot be a string`},
		{"settings missing", nil, []any{"settings"}, `config: settings: missing`},
		{"settings of another type", 1, []any{"settings"}, `config: settings: : cannot be a number`},
		{"failure domains of another type", 1, []any{"settings", "failureDomains"}, `config: settings: failureDomains or shapes: json: cannot unmarshal number into Go struct field .failureDomains of type []string`},
		{"shapes of another type", 1, []any{"settings", "shapes"}, `config: settings: failureDomains or shapes: json: cannot unmarshal number into Go struct field .shapes of type []string`},
		{"effect", "?", []any{"settings", "classes", 0, "effect"}, `config: settings: classes[0].effect: unknown effect "?"`},
		{"class of another type", "?", []any{"settings", "classes", 0, "aimMs"}, `config: settings: classes.aimMs: cannot be a string`},
		{"class without a name", nil, []any{"settings", "classes", 0, "name"}, `config: settings: classes[0].name: missing`},
		{"no classes", nil, []any{"settings", "classes"}, `config: settings: classes: none given`},
		{"membership", "?", []any{"settings", "membershipMode"}, `config: settings: membershipMode: unknown mode "?"`},
		{"contract", -1, []any{"settings", "contract", "coldMs"}, `config: settings: contract.coldMs: must be 0 or above and at most 1e+11, is -1`},
		{"known of another type", 1, []any{"known"}, `config: known: json: cannot unmarshal number into Go value of type endpointlist.List`},
		{"known without hosts", nil, []any{"known", "hosts"}, `config: known: hosts: missing`},
		{"known host without a name", nil, []any{"known", "hosts", 0, "host"}, `config: known: hosts[0].host: missing`},
		{"known host without a port", "x", []any{"known", "hosts", 0, "dial"}, `config: known: hosts[0].dial: no address with a port: "x"`},
		{"known host's health", "well", []any{"known", "hosts", 0, "health"}, `config: known: hosts[0].health: unknown word "well"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			conf := agenttest.Config("127.0.0.1:1", "127.0.0.1:1")
			text, _ := json.Marshal(conf)
			if err := json.Unmarshal(text, &conf); err != nil {
				t.Fatal(err)
			}
			agenttest.Set(conf, c.value, c.path...)
			text, _ = json.Marshal(conf)
			_, err := config.Parse(text)
			if err == nil || err.Error() != c.want {
				t.Errorf("said\n%v, want\n%s", err, c.want)
			}
			var field *fielderror.Error
			if !errors.As(err, &field) || "config: "+field.Field+": "+field.Reason != c.want {
				t.Errorf("field and reason are %+v, want those of %s", field, c.want)
			}
		})
	}
}

// So is each error of a text that is no configuration, and of a file that can't be read.
func TestUnreadableConfigErrorTexts(t *testing.T) {
	if _, err := config.Parse([]byte("{")); err == nil || err.Error() != "config: no JSON: unexpected end of JSON input" {
		t.Errorf("half a configuration: %v", err)
	}
	if _, err := config.Parse([]byte("[]")); err == nil || err.Error() != "config: : cannot be a array" {
		t.Errorf("a list: %v", err)
	}
	if _, err := config.Load(""); err == nil || err.Error() != "EDGE_CONFIG: not set" {
		t.Errorf("no path: %v", err)
	}
	path := filepath.Join(t.TempDir(), "none")
	if _, err := config.Load(path); err == nil || err.Error() != "EDGE_CONFIG: open "+path+": no such file or directory" {
		t.Errorf("no file: %v", err)
	}
}

// The field of an error is the path, also below a part that is checked by itself.
func TestFieldsOfConfigErrors(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{fielderror.In("listen", endpointlist.CheckAddress("here")), "listen"},
		{fielderror.In("known", (&endpointlist.List{}).Validate()), "known: hosts"},
		{fielderror.In("known", fmt.Errorf("json: %w", io.EOF)), "known"},
		{fielderror.OfSettings(errors.New("settings: limits.maxAttempts: must be 1 or above, is 0")), "settings: limits.maxAttempts"},
		{fielderror.OfSettings(errors.New("settings: no colon behind")), "settings"},
		{fielderror.In("a", fmt.Errorf("b: %w", fielderror.Errorf("c", "d"))), "a"},
	} {
		t.Run(c.want, func(t *testing.T) {
			var field *fielderror.Error
			if !errors.As(c.err, &field) || field.Field != c.want {
				t.Errorf("%v is of the field %q", c.err, field.Field)
			}
		})
	}
	if err := fielderror.In("known", fmt.Errorf("json: %w", io.EOF)); !errors.Is(err, io.EOF) || fielderror.In("x", nil) != nil || fielderror.OfSettings(nil) != nil {
		t.Error("the cause is lost, or none is an error")
	}
}

// Errors of a configuration name the field.
func TestConfigErrors(t *testing.T) {
	for key, change := range map[string]func(c map[string]any){
		"name":             func(c map[string]any) { delete(c, "name") },
		"listen":           func(c map[string]any) { c["listen"] = "here" },
		"discovery":        func(c map[string]any) { c["discovery"] = "127.0.0.1:http" },
		"seed":             func(c map[string]any) { c["seed"] = "xyz" },
		"limits.cores":     func(c map[string]any) { c["limits"].(map[string]any)["cores"] = 0 },
		"limits.memory_mb": func(c map[string]any) { c["limits"].(map[string]any)["memory_mb"] = -1 },
		"limits.sockets":   func(c map[string]any) { c["limits"].(map[string]any)["sockets"] = "many" },
		"settings":         func(c map[string]any) { delete(c, "settings") },
		"failureDomains":   func(c map[string]any) { c["settings"].(map[string]any)["failureDomains"] = 1 },
		"classes[0].effect": func(c map[string]any) {
			c["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any)["effect"] = "?"
		},
		"classes[0].name": func(c map[string]any) {
			delete(c["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any), "name")
		},
		"membershipMode":       func(c map[string]any) { c["settings"].(map[string]any)["membershipMode"] = "?" },
		"contract.coldMs":      func(c map[string]any) { c["settings"].(map[string]any)["contract"].(map[string]any)["coldMs"] = -1 },
		"known: hosts[0].dial": func(c map[string]any) { c["known"].(map[string]any)["hosts"] = []any{agenttest.Host(0, "x", "ready")} },
		"known: hosts[0].health": func(c map[string]any) {
			c["known"].(map[string]any)["hosts"] = []any{agenttest.Host(0, "127.0.0.1:1", "well")}
		},
	} {
		t.Run(key, func(t *testing.T) {
			conf := agenttest.Config("127.0.0.1:1")
			change(conf)
			text, _ := json.Marshal(conf)
			if _, err := config.Parse(text); err == nil || !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
				t.Errorf("said %v", err)
			}
		})
	}
	if _, err := config.Parse([]byte("{")); err == nil {
		t.Error("half a configuration was taken")
	}
}
