package config

import (
	"errors"
	"fmt"
)

// ErrMissing says that a field is absent or empty; a FieldError around it names the field.
var ErrMissing = errors.New("missing")

// FieldError says which field of the file is wrong, and why.
type FieldError struct {
	// Field is its path in the file, as in "limits.cores". A single setting goes by the planner's name of it, as in
	// "settings: backlog".
	Field string
	err   error // names the field
}

// Error names the field and says what is wrong.
func (e *FieldError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.err }

// wrongField returns a FieldError; the text names the field.
func wrongField(field, format string, args ...any) error {
	return &FieldError{Field: field, err: fmt.Errorf(format, args...)}
}

func missing(field string) error { return wrongField(field, "%s is %w", field, ErrMissing) }
