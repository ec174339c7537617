// Package simwire carries the simulator's JSON to and from the types of the decision module. It decides nothing.
package simwire

import (
	"fmt"
	"slices"
)

// door maps one sort of id to small indices in order of appearance.
type door struct {
	index map[string]int
	names []string
}

// in returns the index of a name, giving it one at its first appearance.
func (d *door) in(name string) int {
	if i, ok := d.index[name]; ok {
		return i
	}
	if d.index == nil {
		d.index = map[string]int{}
	}
	d.index[name] = len(d.names)
	d.names = append(d.names, name)
	return len(d.names) - 1
}

// out returns the name behind an index.
func (d *door) out(i int) (string, error) {
	if i < 0 || i >= len(d.names) {
		return "", fmt.Errorf("no id behind index %d", i)
	}
	return d.names[i], nil
}

// ourWords renames the wire's settings and their values to the project's words.
var ourWords = map[string]string{
	"dcs": "zones", "kinds": "machines", "profiles": "req_kinds", "aim": "response_target",
	"give_up": "client_timeout", "idempotency": "repeats", "importance": "payoff", "aim_stretch": "target_stretch",
	"late_worth": "late_payoff", "worth_by": "payoff_by", "idempotency_key": "uniqued", "read_like": "replayable",
	"non_idempotent": "non-replayable", "cpu_share": "util", "served_ps": "rate", "pending": "waiting",
	"svc_ms": "service_ms", "busy_reqs": "in_hand", "failed_ps": "errored_rate", "partitions_n": "slices",
	"lb_method": "pick", "outlier_after": "ejects_after", "write_classes": "kind_writes",
	"class_own_zone": "kind_own_zone", "egress_per_s": "lines_per_s", "envelope": "head_lines",
	"empty_for": "bare_for", "pushes_allowed": "messages_most", "counted_over": "messages_over",
	"push_delay": "late_mean", "transit_max": "late_most", "worst_class": "worst_kind", "tick": "tick",
}

// spans names the settings that are nanoseconds on the wire.
var spans = []string{
	"aim", "give_up", "window", "empty_for", "write_lease", "push_delay", "transit_max", "counted_over", "report_every",
	"lingers", "waits_for_table", "conn_idle", "dial_timeout", "ask_within", "cold", "drain_grace", "fall", "tick",
}

// rename turns a setting into the project's words and times into milliseconds, at every depth.
func rename(name string, v any) any {
	switch v := v.(type) {
	case map[string]any:
		m := make(map[string]any, len(v))
		for k, x := range v {
			m[word(k)] = rename(k, x)
		}
		return m
	case []any:
		list := make([]any, len(v))
		for i, x := range v {
			list[i] = rename("", x)
		}
		return list
	case string:
		return word(v)
	case float64:
		if slices.Contains(spans, name) {
			return v / nsPerMs
		}
	}
	return v
}

// word returns the project's word for one of the wire's.
func word(w string) string {
	if ours, ok := ourWords[w]; ok {
		return ours
	}
	return w
}

// flatten lays nested settings out as one plain map of names to values.
func flatten(into, from map[string]any) {
	for k, v := range from {
		if m, ok := v.(map[string]any); ok {
			flatten(into, m)
			continue
		}
		into[k] = v
	}
}
