package agent

import (
	"errors"
	"fmt"
	"strings"
)

// FieldError says what is wrong with one field of a configuration or of an endpoint list. Its text
// is one line, "field: reason". The errors of LoadConfig, ParseConfig and ParseTrace are or wrap one
// wherever a field can be named; errors.As finds it.
type FieldError struct {
	// Field is the path of the field, such as "limits.cores". Behind a part that is checked by
	// itself stands a colon: "settings: classes[0].name", "known: hosts[1].dial".
	Field  string
	Reason string
	Err    error // what Reason is the text of; nil: nothing
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func (e *FieldError) Unwrap() error { return e.Err }

// fieldErrorf is the error of a field with a reason of its own.
func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// inField is the error of a part of field; nil stays nil.
func inField(field string, err error) error {
	if err == nil {
		return nil
	}
	var inner *FieldError
	if errors.As(err, &inner) && inner.Error() == err.Error() {
		return &FieldError{Field: field + ": " + inner.Field, Reason: inner.Reason, Err: inner.Err}
	}
	return &FieldError{Field: field, Reason: err.Error(), Err: err}
}

// ofSettings makes an error of the decision module, whose text is "settings: field: reason", one of
// that field; nil stays nil.
func ofSettings(err error) error {
	if err == nil {
		return nil
	}
	part, rest, _ := strings.Cut(err.Error(), ": ")
	field, reason, found := strings.Cut(rest, ": ")
	if !found {
		return &FieldError{Field: part, Reason: rest, Err: err}
	}
	return &FieldError{Field: part + ": " + field, Reason: reason, Err: err}
}
