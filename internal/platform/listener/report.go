package listener

import (
	"bytes"

	"indigousher/internal/controller"
)

// Kinds of reports. The kind is the first word of a line.
const (
	zoneReport  = "heard" // statistics of a zone's attempts at one endpoint
	proxyReport = "usage" // statistics of the requests of one class to a proxy
)

// Sizes of the set of load metrics in a zone report.
const (
	maxMetrics      = 16 // maximum number of metrics; a line with more is malformed
	expectedMetrics = 4  // usual number of metrics; initial capacity of the map
)

// parseReport parses a line from a collector and overwrites f. in is nil if the line is malformed. readable reports
// whether the line begins with a known kind, even if the rest is malformed.
func parseReport(f *fields, line []byte) (in controller.Input, readable bool) {
	kind, _, _ := bytes.Cut(line, []byte(" "))
	readable = string(kind) == zoneReport || string(kind) == proxyReport
	if _, err := f.parse(line); err != nil || !readable {
		return nil, readable
	}
	var err error
	if string(kind) == zoneReport {
		in, err = parseZoneStats(f)
	} else {
		in, err = parseProxyStats(f)
	}
	if err != nil {
		return nil, true
	}
	return in, true
}

// parseZoneStats converts the fields of a zone report. The rtt and interval fields are in milliseconds.
func parseZoneStats(f *fields) (controller.Input, error) {
	stats := controller.ZoneStats{
		Zone:     f.text("locality"),
		Endpoint: f.text("endpoint"),
		Attempts: f.count("total"),
		Failed:   f.count("errors"),
		MeanMs:   f.float("rtt"),
		SpanMs:   f.float("interval"),
	}
	if f.invalid || stats.Failed > stats.Attempts || stats.SpanMs == 0 {
		return nil, ErrMalformedLine
	}
	if metrics := f.get("metrics"); len(metrics) > 0 {
		load, err := parseMetrics(metrics)
		if err != nil {
			return nil, err
		}
		stats.Load = load
	}
	return stats, nil
}

// parseMetrics parses an endpoint's load metrics, which are comma-separated name:value pairs.
func parseMetrics(text []byte) (map[string]float64, error) {
	load := make(map[string]float64, expectedMetrics)
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte(","))
		name, value, _ := bytes.Cut(pair, []byte(":"))
		v, ok := parseFloat(value)
		if !ok || len(name) == 0 || len(load) == maxMetrics {
			return nil, ErrMalformedLine
		}
		load[string(name)] = v
	}
	return load, nil
}

// parseProxyStats converts the fields of a proxy report. The interval field is in milliseconds.
func parseProxyStats(f *fields) (controller.Input, error) {
	stats := controller.ProxyStats{
		Proxy:      f.count("node"),
		Class:      f.text("route"),
		Requests:   f.count("total"),
		Unanswered: f.count("errors"),
		SpanMs:     f.float("interval"),
	}
	if f.invalid || stats.Unanswered > stats.Requests || stats.SpanMs == 0 {
		return nil, ErrMalformedLine
	}
	return stats, nil
}
