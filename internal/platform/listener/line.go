package listener

import (
	"bytes"
	"errors"
	"strconv"

	"indigousher/brain"
)

// ErrMalformedLine says that a line is no message that is taken here.
var ErrMalformedLine = errors.New("not a message")

// fields cuts a line into its kind and its name=value words, in place. Doubled names are wrong.
type fields struct {
	names, values [12][]byte
	n             int
}

func (f *fields) parse(line []byte) (kind []byte, err error) {
	f.n = 0
	kind, rest, _ := bytes.Cut(line, []byte(" "))
	for len(rest) > 0 {
		var word []byte
		if word, rest, _ = bytes.Cut(rest, []byte(" ")); len(word) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(word, []byte("="))
		if !ok || f.n == len(f.names) || f.get(string(name)) != nil {
			return nil, ErrMalformedLine
		}
		f.names[f.n], f.values[f.n] = name, value
		f.n++
	}
	return kind, nil
}

// get returns a word's value; nil: it is not there.
func (f *fields) get(name string) []byte {
	for i := range f.n {
		if string(f.names[i]) == name {
			return f.values[i]
		}
	}
	return nil
}

func (f *fields) count(name string) (int, bool) {
	n, err := strconv.Atoi(string(f.get(name)))
	return n, err == nil && n >= 0 && n <= maxCount
}

func (f *fields) float(name string) (float64, bool) {
	return parseFloat(f.get(name))
}

func parseFloat(text []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(text), 64)
	return v, err == nil && brain.Sound(v) // not-a-number is not sound
}

func (f *fields) name(name string) (string, bool) {
	v := f.get(name)
	return string(v), len(v) > 0 && len(v) <= maxNameBytes
}
