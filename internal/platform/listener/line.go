package listener

import (
	"bytes"
	"errors"
	"strconv"

	"indigousher/brain"
)

// ErrLine says that a line is no message that is taken here.
var ErrLine = errors.New("not a message")

// words cuts a line into its kind and its name=value words, in place. Doubled names are wrong.
type words struct {
	names, values [12][]byte
	n             int
}

func (w *words) read(line []byte) (kind []byte, err error) {
	w.n = 0
	kind, rest, _ := bytes.Cut(line, []byte(" "))
	for len(rest) > 0 {
		var word []byte
		if word, rest, _ = bytes.Cut(rest, []byte(" ")); len(word) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(word, []byte("="))
		if !ok || w.n == len(w.names) || w.get(string(name)) != nil {
			return nil, ErrLine
		}
		w.names[w.n], w.values[w.n] = name, value
		w.n++
	}
	return kind, nil
}

// get returns a word's value; nil: it is not there.
func (w *words) get(name string) []byte {
	for i := range w.n {
		if string(w.names[i]) == name {
			return w.values[i]
		}
	}
	return nil
}

func (w *words) count(name string) (int, bool) {
	n, err := strconv.Atoi(string(w.get(name)))
	return n, err == nil && n >= 0 && n <= mostCount
}

func (w *words) figure(name string) (float64, bool) {
	return figure(w.get(name))
}

func figure(text []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(text), 64)
	return v, err == nil && brain.Sound(v) // not-a-number is not sound
}

func (w *words) name(name string) (string, bool) {
	v := w.get(name)
	return string(v), len(v) > 0 && len(v) <= mostName
}
