package placement

import (
	"errors"
	"fmt"
)

// ErrMissing says that a field is missing or empty. It is wrapped in a FieldError.
var ErrMissing = errors.New("missing")

// FieldError says which field of the file is invalid and why.
type FieldError struct {
	// Field is its path in the file, as in "limits.cores". For a single setting it is "settings: " and the planner's
	// name of the setting, as in "settings: backlog".
	Field string
	cause error // its text names the field
}

// Error returns a text that names the field.
func (e *FieldError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.cause }

// invalidField returns a FieldError. The formatted text has to name the field.
func invalidField(field, format string, args ...any) error {
	return &FieldError{Field: field, cause: fmt.Errorf(format, args...)}
}

func missingField(field string) error { return invalidField(field, "%s is %w", field, ErrMissing) }
