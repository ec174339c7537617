package listener

import (
	"bytes"

	"indigousher/internal/pilot"
)

// Bounds of a report's words.
const (
	maxCount     = 1 << 30
	maxNameBytes = 256
	maxMetrics   = 16
)

// parseReport reads a line. One of a known kind whose words are wrong is readable all the same.
func parseReport(w *fields, line []byte) (in pilot.Input, readable bool) {
	kind, _, _ := bytes.Cut(line, []byte(" "))
	readable = string(kind) == "heard" || string(kind) == "usage"
	if _, err := w.parse(line); err != nil || !readable {
		return nil, readable
	}
	read := parseProxyStats
	if string(kind) == "heard" {
		read = parseZoneStats
	}
	in, err := read(w)
	if err != nil {
		return nil, true
	}
	return in, true
}

// parseZoneStats reads a report on an endpoint.
func parseZoneStats(w *fields) (pilot.Input, error) {
	m := pilot.ZoneMet{}
	var ok [6]bool
	m.Zone, ok[0] = w.name("locality")
	m.Endpoint, ok[1] = w.name("endpoint")
	m.Tries, ok[2] = w.count("total")
	m.Failed, ok[3] = w.count("errors")
	m.MeanMs, ok[4] = w.float("rtt")
	m.SpanMs, ok[5] = w.float("interval")
	if ok != [6]bool{true, true, true, true, true, true} || m.Failed > m.Tries || m.SpanMs == 0 {
		return nil, ErrMalformedLine
	}
	if text := w.get("metrics"); len(text) > 0 {
		m.Load = make(map[string]float64, 4)
		for len(text) > 0 {
			var pair []byte
			pair, text, _ = bytes.Cut(text, []byte(","))
			name, value, _ := bytes.Cut(pair, []byte(":"))
			v, sound := parseFloat(value)
			if !sound || len(name) == 0 || len(m.Load) == maxMetrics {
				return nil, ErrMalformedLine
			}
			m.Load[string(name)] = v
		}
	}
	return m, nil
}

// parseProxyStats reads a report on a proxy.
func parseProxyStats(w *fields) (pilot.Input, error) {
	d := pilot.ProxyDemand{}
	var ok [5]bool
	d.Proxy, ok[0] = w.count("node")
	d.Kind, ok[1] = w.name("route")
	d.Reqs, ok[2] = w.count("total")
	d.Unanswered, ok[3] = w.count("errors")
	d.SpanMs, ok[4] = w.float("interval")
	if ok != [5]bool{true, true, true, true, true} || d.Unanswered > d.Reqs || d.SpanMs == 0 {
		return nil, ErrMalformedLine
	}
	return d, nil
}
