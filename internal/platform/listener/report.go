package listener

import (
	"bytes"

	"indigousher/internal/controller"
)

// Kinds of reports: the first word of a line.
const (
	zoneReport  = "heard" // a zone's requests to an endpoint
	proxyReport = "usage" // a proxy's requests
)

// Sizes of a zone's report.
const (
	maxMetrics      = 16 // limit of the load metrics of an endpoint
	expectedMetrics = 4  // their usual number
)

// parseReport parses a collector's line. in is nil if the line is malformed; it is still readable if its kind is
// known. f is overwritten.
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

// parseZoneStats returns the report on an endpoint in the fields. Times are in milliseconds.
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

// parseMetrics returns an endpoint's load metrics from comma-separated name:value pairs.
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

// parseProxyStats returns the report on a proxy's requests in the fields. Times are in milliseconds.
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
