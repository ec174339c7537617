package placement

import (
	"errors"
	"fmt"
)

// ErrMissing means that a required field is absent or empty. It is always wrapped in a FieldError.
var ErrMissing = errors.New("missing")

// FieldError reports which field of the placement file is invalid and why.
type FieldError struct {
	// Field is the path of the field in the file, such as "limits.cores". For a single setting it is "settings: "
	// followed by the planner's name of the setting, such as "settings: backlog".
	Field string
	cause error // describes the fault; its text includes the field name
}

// Error returns a message that includes the name of the field.
func (e *FieldError) Error() string { return e.cause.Error() }

// Unwrap returns the underlying error, which may be ErrMissing.
func (e *FieldError) Unwrap() error { return e.cause }

// invalidField returns a FieldError with a formatted message. The message must include the name of the field.
func invalidField(field, format string, args ...any) error {
	return &FieldError{Field: field, cause: fmt.Errorf(format, args...)}
}

// missingField returns a FieldError that wraps ErrMissing.
func missingField(field string) error { return invalidField(field, "%s is %w", field, ErrMissing) }
