package search

import (
	"fmt"
	"strings"
	"time"

	"indigousher/internal/scenario"
)

const (
	// coresPerEndpoint and meanWorkSeconds determine the capacity of a generated fleet. meanWorkSeconds is the mean
	// processing time of a request in the scenario "quiet", from which drafts inherit, in seconds on one core.
	coresPerEndpoint = 2
	meanWorkSeconds  = 0.0325
)

// Text returns the text of a scenario file for the draft.
func (d *Draft) Text() string {
	var b strings.Builder
	d.writeHead(&b)
	d.writeFleet(&b)
	d.writeLoad(&b)
	for _, fault := range d.Faults {
		writeFault(&b, &fault)
	}
	return b.String()
}

// writeHead writes the top-level attributes.
func (d *Draft) writeHead(b *strings.Builder) {
	fmt.Fprintf(b, "about  = \"Drawn: %d endpoints, %d proxies, %d pilots, load %.2f.\"\n",
		len(zones)*d.Endpoints, len(zones)*d.Proxies, d.Pilots, d.Load)
	fmt.Fprintf(b, "like   = \"quiet\"\nlength = %q\nseed   = %d\n\n", d.Length, d.Seed)
}

// writeFleet writes the settings of pilots, proxies, load reports, endpoint list and channel.
func (d *Draft) writeFleet(b *strings.Builder) {
	var pilots []string
	for i := range d.Pilots {
		pilots = append(pilots, zones[i%len(zones)])
	}
	fmt.Fprintf(b, "fleet {\n  pilots  = %s\n  proxies = %s\n  times   = %d\n  record  = %v\n}\n",
		quotedList(pilots), quotedList(zones), d.Proxies, d.Record)
	fmt.Fprintf(b, "proxies {\n  by_zone   = %v\n  try_again = %d\n}\n", d.ByZone, d.RetryMode)
	fmt.Fprintf(b, "reports {\n  period = %q\n}\nlist {\n  late = %q\n}\n", d.ReportPeriod, d.ListDelay)
	queueLimit := d.LinesPerS * 3 / 2
	fmt.Fprintf(b, "channel {\n  lines_per_s   = %d\n  backlog       = %d\n  messages_most = %d\n}\n",
		d.LinesPerS, queueLimit, d.MaxMessages)
}

// writeLoad writes the clients' load and the endpoints.
func (d *Draft) writeLoad(b *strings.Builder) {
	rate := d.Load * float64(len(zones)*d.Endpoints*coresPerEndpoint) / meanWorkSeconds
	fmt.Fprintf(b, "clients {\n  rate    = %.1f\n  retries = %d\n  uneven  = %.2f\n}\n",
		rate, d.Retries, d.DemandSpread)
	for _, zone := range zones {
		fmt.Fprintf(b, "endpoints \"std\" {\n  zone   = %q\n  count  = %d\n  spread = %.2f\n  queue  = %d\n}\n",
			zone, d.Endpoints, d.SpeedSpread, d.Queue)
	}
}

// writeFault writes a trouble block. Except for what and at, zero values are omitted.
func writeFault(b *strings.Builder, f *scenario.Fault) {
	fmt.Fprintf(b, "trouble %q {\n  at = %q\n", f.Type, f.At)
	if len(f.TargetPatterns) > 0 {
		fmt.Fprintf(b, "  who = %s\n", quotedList(f.TargetPatterns))
	}
	writeDuration(b, "for", f.Duration)
	writeDuration(b, "every", f.Interval)
	writeDuration(b, "extra", f.ExtraDelay)
	writeNumber(b, "part", f.Fraction)
	writeNumber(b, "size", f.Size)
	writeNumber(b, "loss", f.Loss)
	writeNumber(b, "count", float64(f.Count))
	writeString(b, "zone", f.Zone)
	writeString(b, "kind", f.Class)
	b.WriteString("}\n")
}

// writeDuration writes an attribute of a fault unless the value is 0.
func writeDuration(b *strings.Builder, key string, value time.Duration) {
	if value > 0 {
		fmt.Fprintf(b, "  %s = %q\n", key, value)
	}
}

// writeNumber writes an attribute of a fault unless the value is 0.
func writeNumber(b *strings.Builder, key string, value float64) {
	if value > 0 {
		fmt.Fprintf(b, "  %s = %g\n", key, value)
	}
}

// writeString writes an attribute of a fault unless the value is empty.
func writeString(b *strings.Builder, key, value string) {
	if value != "" {
		fmt.Fprintf(b, "  %s = %q\n", key, value)
	}
}

// quotedList returns a list of strings in the syntax of scenario files.
func quotedList(list []string) string {
	var quoted []string
	for _, s := range list {
		quoted = append(quoted, fmt.Sprintf("%q", s))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
