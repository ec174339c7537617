package listener

import (
	"bytes"
	"errors"
	"strconv"

	"indigousher/planner"
)

// ErrMalformedLine means that a line does not follow the protocol. Its text contains neither the line nor the peer's
// address, so that a peer cannot fill the log with arbitrary data.
var ErrMalformedLine = errors.New("malformed line")

// Limits of a line's fields. A line that exceeds one is malformed.
const (
	maxFields    = 12      // number of fields in a line
	maxCount     = 1 << 30 // value of an integer field
	maxNameBytes = 256     // length of a text field's value, in bytes
)

// fields holds the name=value pairs of a line. The slices refer to the line's buffer and become invalid with it. One
// fields value is reused for all lines of a connection, so that parsing allocates only the texts that are kept.
type fields struct {
	names, values [maxFields][]byte
	n             int  // number of fields
	invalid       bool // count, float or text found a missing or out-of-range value since parse
}

// parse splits a line into its first word, the kind, and its fields, which replace those of the previous line. A
// repeated field name is an error.
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

// get returns the value of a field, or nil if the line has no such field.
func (f *fields) get(name string) []byte {
	for i := range f.n {
		if string(f.names[i]) == name {
			return f.values[i]
		}
	}
	return nil
}

// count returns the value of a field that holds an integer from 0 to maxCount. It sets f.invalid if the value is
// missing or is not such an integer.
func (f *fields) count(name string) int {
	n, err := strconv.Atoi(string(f.get(name)))
	if err != nil || n < 0 || n > maxCount {
		f.invalid = true
	}
	return n
}

// float returns the value of a field that holds a number accepted by planner.ValidRate: finite, not negative and
// bounded. It sets f.invalid if the value is missing or is not such a number.
func (f *fields) float(name string) float64 {
	v, ok := parseFloat(f.get(name))
	if !ok {
		f.invalid = true
	}
	return v
}

// text returns the value of a field that holds a text of 1 to maxNameBytes bytes. It sets f.invalid if the value is
// missing or has another length.
func (f *fields) text(name string) string {
	value := f.get(name)
	if len(value) == 0 || len(value) > maxNameBytes {
		f.invalid = true
	}
	return string(value)
}

// parseFloat parses a number and reports whether the planner accepts it.
func parseFloat(text []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(text), 64)
	return v, err == nil && planner.ValidRate(v) // ValidRate rejects NaN
}
