package config

import (
	"encoding/json"
	"errors"
	"fmt"

	"indigousher/internal/terms"
)

// Read reads the file that NODE_CONFIG names and holds the other variables against it.
func Read(getenv func(string) string) (*Placement, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set")
	}
	p, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	for _, v := range []struct{ name, field, value string }{
		{"NODE_NAME", "name", p.Name}, {"NODE_LISTEN", "listen", p.Listen},
	} {
		if told := getenv(v.name); told != "" && told != v.value {
			return nil, fmt.Errorf("%s: %s is %q, but %s is %q", path, v.field, v.value, v.name, told)
		}
	}
	return p, nil
}

// ReadFile reads and checks a file.
func ReadFile(path string) (*Placement, error) {
	text, err := terms.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read NODE_CONFIG: %w", err)
	}
	p, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// Parse checks a file's text.
func Parse(text []byte) (*Placement, error) {
	if len(text) > terms.MostBytes {
		return nil, fmt.Errorf("longer than %d bytes", terms.MostBytes)
	}
	p := &Placement{}
	if err := json.Unmarshal(text, p); err != nil {
		return nil, fmt.Errorf("not readable: %w", err)
	}
	for _, check := range []func() error{p.checkAddresses, p.parseSeed, p.checkLimits, p.parseKnown, p.parseSettings} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return p, nil
}
