package config_test

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/config"
	"ploverreel/internal/fielderror"
)

// The texts are part of the public interface, so they are compared word for word.
func TestParseErrorIsOneLineWithTheField(t *testing.T) {
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
			object := agenttest.Config("127.0.0.1:1", "127.0.0.1:1")
			agenttest.Set(object, c.value, c.path...)
			_, err := config.Parse(marshal(t, object))
			if err == nil || err.Error() != c.want {
				t.Errorf("got error\n%v, want\n%s", err, c.want)
			}
			var field *fielderror.Error
			if !errors.As(err, &field) || "config: "+field.Field+": "+field.Reason != c.want {
				t.Errorf("got field and reason %+v, want those of %s", field, c.want)
			}
		})
	}
}

func TestParseAndLoadErrorsOfUnreadableText(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none")
	parse := func(text string) error { _, err := config.Parse([]byte(text)); return err }
	load := func(path string) error { _, err := config.Load(path); return err }
	for _, c := range []struct {
		name string
		err  error
		want string
	}{
		{"incomplete text", parse("{"), "config: no JSON: unexpected end of JSON input"},
		{"JSON of another kind", parse("[]"), "config: : cannot be a array"},
		{"no path", load(""), "EDGE_CONFIG: not set"},
		{"no file at the path", load(missing), "EDGE_CONFIG: open " + missing + ": no such file or directory"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.err == nil || c.err.Error() != c.want {
				t.Errorf("got error %v, want %s", c.err, c.want)
			}
		})
	}
}

func TestParseErrorNamesTheInvalidKey(t *testing.T) {
	for _, c := range []struct {
		key   string
		value any
		path  []any
	}{
		{"name", nil, []any{"name"}},
		{"listen", "here", []any{"listen"}},
		{"discovery", "127.0.0.1:http", []any{"discovery"}},
		{"seed", "xyz", []any{"seed"}},
		{"limits.cores", 0, []any{"limits", "cores"}},
		{"limits.memory_mb", -1, []any{"limits", "memory_mb"}},
		{"limits.sockets", "many", []any{"limits", "sockets"}},
		{"settings", nil, []any{"settings"}},
		{"failureDomains", 1, []any{"settings", "failureDomains"}},
		{"classes[0].effect", "?", []any{"settings", "classes", 0, "effect"}},
		{"classes[0].name", nil, []any{"settings", "classes", 0, "name"}},
		{"membershipMode", "?", []any{"settings", "membershipMode"}},
		{"contract.coldMs", -1, []any{"settings", "contract", "coldMs"}},
		{"known: hosts[0].dial", []any{agenttest.Host(0, "x", "ready")}, []any{"known", "hosts"}},
		{"known: hosts[0].health", []any{agenttest.Host(0, "127.0.0.1:1", "well")}, []any{"known", "hosts"}},
	} {
		t.Run(c.key, func(t *testing.T) {
			object := agenttest.Config("127.0.0.1:1")
			agenttest.Set(object, c.value, c.path...)
			_, err := config.Parse(marshal(t, object))
			if err == nil || !strings.Contains(err.Error(), c.key) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line that names %s", err, c.key)
			}
		})
	}
}
