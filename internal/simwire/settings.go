package simwire

import (
	"encoding/json"
	"errors"
	"fmt"

	"ploverreel/policy"
)

// ParseSettings reads the settings' JSON, as a Boot record or an agent's configuration has it. Unknown
// keys are skipped. The error of a value of the wrong type names its key; values are checked by policy.New.
func ParseSettings(text []byte) (policy.Settings, error) {
	var settings policy.Settings
	if err := json.Unmarshal(text, &settings); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return settings, fmt.Errorf("settings: %s: cannot be a %s", wrongType.Field, wrongType.Value)
		}
		return settings, fmt.Errorf("settings: no JSON: %w", err)
	}
	return settings, nil
}
