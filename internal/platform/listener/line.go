package listener

import (
	"bytes"
	"errors"
	"strconv"

	"indigousher/planner"
)

// ErrMalformedLine says that a line is not a message of the protocol. It contains neither the line nor the peer, so
// that peers cannot fill the log.
var ErrMalformedLine = errors.New("not a message")

// Bounds of a line's values.
const (
	maxFields    = 12
	maxCount     = 1 << 30
	maxNameBytes = 256
)

// fields are the name=value pairs of a line. They refer to the line and are valid as long as it is. One value is
// reused for all lines, so that parsing allocates only the texts that are kept.
type fields struct {
	names, values [maxFields][]byte
	n             int  // number of fields
	invalid       bool // a value requested since parse was missing or out of bounds
}

// parse splits a line into its kind and its fields. A repeated name is an error.
func (f *fields) parse(line []byte) (kind []byte, err error) {
	f.n = 0
	f.invalid = false
	kind, rest, _ := bytes.Cut(line, []byte(" "))
	for len(rest) > 0 {
		var word []byte
		word, rest, _ = bytes.Cut(rest, []byte(" "))
		if len(word) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(word, []byte("="))
		if !ok || f.n == len(f.names) || f.get(string(name)) != nil {
			return nil, ErrMalformedLine
		}
		f.names[f.n] = name
		f.values[f.n] = value
		f.n++
	}
	return kind, nil
}

// get returns a field's value, or nil if there is no such field.
func (f *fields) get(name string) []byte {
	for i := range f.n {
		if string(f.names[i]) == name {
			return f.values[i]
		}
	}
	return nil
}

// count returns an integer from 0 to maxCount. It sets invalid if the field is not one, as float and text do.
func (f *fields) count(name string) int {
	n, err := strconv.Atoi(string(f.get(name)))
	if err != nil || n < 0 || n > maxCount {
		f.invalid = true
	}
	return n
}

// float returns a number that the planner accepts: finite, not negative and bounded.
func (f *fields) float(name string) float64 {
	v, ok := parseFloat(f.get(name))
	if !ok {
		f.invalid = true
	}
	return v
}

// text returns a text of 1 to maxNameBytes bytes.
func (f *fields) text(name string) string {
	value := f.get(name)
	if len(value) == 0 || len(value) > maxNameBytes {
		f.invalid = true
	}
	return string(value)
}

func parseFloat(text []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(text), 64)
	return v, err == nil && planner.ValidRate(v) // false for NaN
}
