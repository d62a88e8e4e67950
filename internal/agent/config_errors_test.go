package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"testing"

	"ploverreel/internal/fielderror"
)

// setAt sets the value at the end of a path of keys, or takes the key away where it is nil. A
// number in a path is the place in a list.
func setAt(conf map[string]any, value any, path ...any) {
	var node any = conf
	for _, key := range path[:len(path)-1] {
		switch key := key.(type) {
		case string:
			node = node.(map[string]any)[key]
		case int:
			node = node.([]any)[key]
		}
	}
	last := path[len(path)-1].(string)
	if value == nil {
		delete(node.(map[string]any), last)
		return
	}
	node.(map[string]any)[last] = value
}

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
		{"known of another type", 1, []any{"known"}, `config: known: json: cannot unmarshal number into Go value of type agent.List`},
		{"known without hosts", nil, []any{"known", "hosts"}, `config: known: hosts: missing`},
		{"known host without a name", nil, []any{"known", "hosts", 0, "host"}, `config: known: hosts[0].host: missing`},
		{"known host without a port", "x", []any{"known", "hosts", 0, "dial"}, `config: known: hosts[0].dial: no address with a port: "x"`},
		{"known host's health", "well", []any{"known", "hosts", 0, "health"}, `config: known: hosts[0].health: unknown word "well"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			conf := config(nowhere, "127.0.0.1:1")
			text, _ := json.Marshal(conf)
			if err := json.Unmarshal(text, &conf); err != nil {
				t.Fatal(err)
			}
			setAt(conf, c.value, c.path...)
			text, _ = json.Marshal(conf)
			_, err := ParseConfig(text)
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
	if _, err := ParseConfig([]byte("{")); err == nil || err.Error() != "config: no JSON: unexpected end of JSON input" {
		t.Errorf("half a configuration: %v", err)
	}
	if _, err := ParseConfig([]byte("[]")); err == nil || err.Error() != "config: : cannot be a array" {
		t.Errorf("a list: %v", err)
	}
	if _, err := LoadConfig(""); err == nil || err.Error() != "EDGE_CONFIG: not set" {
		t.Errorf("no path: %v", err)
	}
	path := filepath.Join(t.TempDir(), "none")
	if _, err := LoadConfig(path); err == nil || err.Error() != "EDGE_CONFIG: open "+path+": no such file or directory" {
		t.Errorf("no file: %v", err)
	}
}

// The errors of a reload name the field too, word for word.
func TestReloadErrorTexts(t *testing.T) {
	a, _, _, _ := start(t, config(nowhere, "127.0.0.1:1"))
	for _, c := range []struct {
		name  string
		value any
		path  []any
		want  string
	}{
		{"name", "n1", []any{"name"}, `config: name: can't change without a restart, is "n0" and would be "n1"`},
		{"listen", "127.0.0.1:1", []any{"listen"}, `config: listen: can't change without a restart, is "127.0.0.1:0" and would be "127.0.0.1:1"`},
		{"membership", "on_request", []any{"settings", "membershipMode"}, `config: settings: membershipMode: can't change without a restart, is watched and would be on_request`},
		{"index", 3, []any{"settings", "index"}, `config: settings: index: can't change without a restart, is 0 and would be 3`},
		{"one failure domain less", []any{"a"}, []any{"settings", "failureDomains"}, `config: settings: failureDomains: the place of "b" can't change without a restart`},
		{"shapes", []any{"other"}, []any{"settings", "shapes"}, `config: settings: shapes: the place of "k" can't change without a restart`},
	} {
		t.Run(c.name, func(t *testing.T) {
			conf := config(nowhere, "127.0.0.1:1")
			setAt(conf, c.value, c.path...)
			if err := a.Reload(parse(t, conf)); err == nil || err.Error() != c.want {
				t.Errorf("said\n%v, want\n%s", err, c.want)
			}
		})
	}
	ended, err := New(parse(t, config(nowhere)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ended.stop()
	if err := ended.Reload(parse(t, config(nowhere))); err == nil || err.Error() != "config: the agent has ended" {
		t.Errorf("after the end: %v", err)
	}
}

// The field of an error is the path, also below a part that is checked by itself.
func TestFieldsOfConfigErrors(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{fielderror.In("listen", checkAddress("here")), "listen"},
		{fielderror.In("known", (&List{}).check()), "known: hosts"},
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
