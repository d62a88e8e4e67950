// Package fielderror defines the error of one field of a configuration or of an endpoint list. Its
// functions are safe for concurrent use.
package fielderror

import (
	"errors"
	"fmt"
	"strings"
)

// Error says what is wrong with one field. Its text is one line of the form "field: reason". Errors
// of configurations, endpoint lists and EDGE_TRACE are or wrap an Error wherever a field can be
// named, so that errors.As finds it.
type Error struct {
	// Field is the path of the field, such as "limits.cores". If a part of the text has its own
	// validation, a colon follows its name: "settings: classes[0].name", "known: hosts[1].dial".
	Field  string
	Reason string
	Err    error // the cause of the error; may be nil
}

func (e *Error) Error() string { return e.Field + ": " + e.Reason }

func (e *Error) Unwrap() error { return e.Err }

// Errorf returns an Error of the field with a formatted reason.
func Errorf(field, format string, args ...any) error {
	return &Error{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Wrap returns err as an Error of the field, or nil if err is nil. If err is itself the Error of a
// field, that field becomes a part of the given one: "known: hosts[1].dial".
func Wrap(field string, err error) error {
	if err == nil {
		return nil
	}
	var inner *Error
	if errors.As(err, &inner) && inner.Error() == err.Error() {
		return &Error{Field: field + ": " + inner.Field, Reason: inner.Reason, Err: inner.Err}
	}
	return &Error{Field: field, Reason: err.Error(), Err: err}
}

// FromSettings converts an error of the decision module, whose text has the form "settings: field:
// reason", to an Error of that field. It returns nil if err is nil.
func FromSettings(err error) error {
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
