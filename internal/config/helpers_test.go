package config_test

import (
	"encoding/json"
	"testing"

	"ploverreel/internal/agenttest"
	"ploverreel/internal/config"
)

// marshal encodes an object as JSON.
func marshal(t *testing.T, object map[string]any) []byte {
	t.Helper()
	text, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// parseWith parses a valid configuration in which the value at path is replaced.
func parseWith(t *testing.T, value any, path ...any) *config.Config {
	t.Helper()
	object := agenttest.Config("127.0.0.1:1", "127.0.0.1:1")
	agenttest.Set(object, value, path...)
	parsed, err := config.Parse(marshal(t, object))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}
