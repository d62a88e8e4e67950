// Package fielderror is the error of one field of a configuration or of an endpoint list. Its
// functions may be called from any goroutine.
package fielderror

import (
	"errors"
	"fmt"
	"strings"
)

// Error says what is wrong with one field of a configuration or of an endpoint list. Its text
// is one line, "field: reason". The errors of configurations, lists and EDGE_TRACE are or wrap one
// wherever a field can be named; errors.As finds it.
type Error struct {
	// Field is the path of the field, such as "limits.cores". Behind a part that is checked by
	// itself stands a colon: "settings: classes[0].name", "known: hosts[1].dial".
	Field  string
	Reason string
	Err    error // what Reason is the text of; nil: nothing
}

func (e *Error) Error() string { return e.Field + ": " + e.Reason }

func (e *Error) Unwrap() error { return e.Err }

// Errorf returns the error of a field with a formatted reason.
func Errorf(field, format string, args ...any) error {
	return &Error{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// In returns the error of a part of field, or nil for nil.
func In(field string, err error) error {
	if err == nil {
		return nil
	}
	var inner *Error
	if errors.As(err, &inner) && inner.Error() == err.Error() {
		return &Error{Field: field + ": " + inner.Field, Reason: inner.Reason, Err: inner.Err}
	}
	return &Error{Field: field, Reason: err.Error(), Err: err}
}

// OfSettings returns an error of the decision module, whose text is "settings: field: reason", as one of
// that field; nil stays nil.
func OfSettings(err error) error {
	if err == nil {
		return nil
	}
	part, rest, _ := strings.Cut(err.Error(), ": ")
	field, reason, found := strings.Cut(rest, ": ")
	if !found {
		return &Error{Field: part, Reason: rest, Err: err}
	}
	return &Error{Field: part + ": " + field, Reason: reason, Err: err}
}
