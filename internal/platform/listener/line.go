package listener

import (
	"bytes"
	"errors"
	"strconv"

	"indigousher/internal/controller"
	"indigousher/planner"
)

// ErrLine says that a line is no message that is taken here.
var ErrLine = errors.New("not a message")

// Bounds of a report's words.
const (
	mostCount   = 1 << 30
	mostName    = 256
	mostMetrics = 16
)

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
	return v, err == nil && planner.ValidRate(v) // not-a-number is not sound
}

func (w *words) name(name string) (string, bool) {
	v := w.get(name)
	return string(v), len(v) > 0 && len(v) <= mostName
}

// heard reads a report on an endpoint.
func heard(w *words) (controller.Input, error) {
	m := controller.ZoneStats{}
	var ok [6]bool
	m.Zone, ok[0] = w.name("locality")
	m.Endpoint, ok[1] = w.name("endpoint")
	m.Attempts, ok[2] = w.count("total")
	m.Failed, ok[3] = w.count("errors")
	m.MeanMs, ok[4] = w.figure("rtt")
	m.SpanMs, ok[5] = w.figure("interval")
	if ok != [6]bool{true, true, true, true, true, true} || m.Failed > m.Attempts || m.SpanMs == 0 {
		return nil, ErrLine
	}
	if text := w.get("metrics"); len(text) > 0 {
		m.Load = make(map[string]float64, 4)
		for len(text) > 0 {
			var pair []byte
			pair, text, _ = bytes.Cut(text, []byte(","))
			name, value, _ := bytes.Cut(pair, []byte(":"))
			v, sound := figure(value)
			if !sound || len(name) == 0 || len(m.Load) == mostMetrics {
				return nil, ErrLine
			}
			m.Load[string(name)] = v
		}
	}
	return m, nil
}

// usage reads a report on a proxy.
func usage(w *words) (controller.Input, error) {
	d := controller.ProxyStats{}
	var ok [5]bool
	d.Proxy, ok[0] = w.count("node")
	d.Class, ok[1] = w.name("route")
	d.Requests, ok[2] = w.count("total")
	d.Unanswered, ok[3] = w.count("errors")
	d.SpanMs, ok[4] = w.figure("interval")
	if ok != [5]bool{true, true, true, true, true} || d.Unanswered > d.Requests || d.SpanMs == 0 {
		return nil, ErrLine
	}
	return d, nil
}
