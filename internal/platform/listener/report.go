package listener

import (
	"bytes"

	"indigousher/internal/pilot"
)

// Bounds of a report's words.
const (
	mostCount   = 1 << 30
	mostName    = 256
	mostMetrics = 16
)

// report reads a line. One of a known kind whose words are wrong is readable all the same.
func report(w *words, line []byte) (in pilot.Input, readable bool) {
	kind, _, _ := bytes.Cut(line, []byte(" "))
	readable = string(kind) == "heard" || string(kind) == "usage"
	if _, err := w.read(line); err != nil || !readable {
		return nil, readable
	}
	read := usage
	if string(kind) == "heard" {
		read = heard
	}
	in, err := read(w)
	if err != nil {
		return nil, true
	}
	return in, true
}

// heard reads a report on an endpoint.
func heard(w *words) (pilot.Input, error) {
	m := pilot.ZoneMet{}
	var ok [6]bool
	m.Zone, ok[0] = w.name("locality")
	m.Endpoint, ok[1] = w.name("endpoint")
	m.Tries, ok[2] = w.count("total")
	m.Failed, ok[3] = w.count("errors")
	m.MeanMs, ok[4] = w.figure("rtt")
	m.SpanMs, ok[5] = w.figure("interval")
	if ok != [6]bool{true, true, true, true, true, true} || m.Failed > m.Tries || m.SpanMs == 0 {
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
func usage(w *words) (pilot.Input, error) {
	d := pilot.ProxyDemand{}
	var ok [5]bool
	d.Proxy, ok[0] = w.count("node")
	d.Kind, ok[1] = w.name("route")
	d.Reqs, ok[2] = w.count("total")
	d.Unanswered, ok[3] = w.count("errors")
	d.SpanMs, ok[4] = w.figure("interval")
	if ok != [5]bool{true, true, true, true, true} || d.Unanswered > d.Reqs || d.SpanMs == 0 {
		return nil, ErrLine
	}
	return d, nil
}
