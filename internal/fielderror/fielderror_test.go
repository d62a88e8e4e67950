package fielderror_test

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"ploverreel/internal/fielderror"
)

// The field of an error is the whole path, also if a part of the text has its own validation.
func TestErrorNamesFieldByItsPath(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want string
	}{
		{"plain error", fielderror.Wrap("listen", errors.New(`no address with a port: "here"`)), "listen"},
		{"error of a nested field", fielderror.Wrap("known", fielderror.Errorf("hosts", "missing")), "known: hosts"},
		{"error that wraps another", fielderror.Wrap("known", fmt.Errorf("json: %w", io.EOF)), "known"},
		{"error of settings with a field", fielderror.FromSettings(errors.New("settings: limits.maxAttempts: must be 1 or above, is 0")), "settings: limits.maxAttempts"},
		{"error of settings without a field", fielderror.FromSettings(errors.New("settings: no colon behind")), "settings"},
		{"error of a field wrapped with other text", fielderror.Wrap("a", fmt.Errorf("b: %w", fielderror.Errorf("c", "d"))), "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var field *fielderror.Error
			if !errors.As(c.err, &field) || field.Field != c.want {
				t.Errorf("got field %q of %v, want %q", field.Field, c.err, c.want)
			}
		})
	}
}

func TestErrorKeepsItsCause(t *testing.T) {
	if err := fielderror.Wrap("known", fmt.Errorf("json: %w", io.EOF)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want an error that wraps %v", err, io.EOF)
	}
	if wrapped, settings := fielderror.Wrap("x", nil), fielderror.FromSettings(nil); wrapped != nil || settings != nil {
		t.Errorf("got errors %v and %v of none, want none", wrapped, settings)
	}
}
