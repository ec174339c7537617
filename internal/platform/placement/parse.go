package placement

import (
	"encoding/json"
	"errors"
	"fmt"

	"indigousher/internal/config"
)

// ErrNoFile means that the environment variable NODE_CONFIG, which names the placement file, is not set.
var ErrNoFile = errors.New("NODE_CONFIG is not set")

// Read reads and validates the placement file that the environment variable NODE_CONFIG names. If NODE_NAME or
// NODE_LISTEN is set, the file must contain the same value.
func Read(getenv func(string) string) (*Placement, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, ErrNoFile
	}
	p, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	for _, v := range []struct{ variable, field, value string }{
		{"NODE_NAME", "name", p.Name},
		{"NODE_LISTEN", "listen", p.Listen},
	} {
		expected := getenv(v.variable)
		if expected != "" && expected != v.value {
			return nil, invalidField(v.field, "%s: %s is %q, but %s is %q", path, v.field, v.value, v.variable, expected)
		}
	}
	return p, nil
}

// ReadFile reads and validates the placement file at path.
func ReadFile(path string) (*Placement, error) {
	text, err := config.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read NODE_CONFIG: %w", err)
	}
	p, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// Parse parses and validates the content of a placement file. The error for an invalid field is a FieldError.
func Parse(text []byte) (*Placement, error) {
	if len(text) > config.MaxBytes {
		return nil, fmt.Errorf("file is longer than %d bytes", config.MaxBytes)
	}
	p := &Placement{}
	if err := json.Unmarshal(text, p); err != nil {
		return nil, fmt.Errorf("file is not readable as JSON: %w", err)
	}
	checks := []func() error{p.checkAddresses, p.parseSeed, p.checkLimits, p.parseKnown, p.parseSettings}
	for _, check := range checks {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return p, nil
}
