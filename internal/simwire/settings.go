package simwire

import (
	"encoding/json"
	"errors"
	"fmt"

	"ploverreel/policy"
)

// ParseSettings parses the JSON of the settings, from an InstanceStarted record or from an agent's
// configuration. Unknown keys are ignored. The error for a value of a wrong type names its key.
// policy.New validates the values.
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
