// Package settings turns what a deployment is told, in the operators' words, into the module's: settings into terms,
// and names into small indices. The simulator's wire and the platform both use it, so that the same settings give the
// module the same terms. It reads nothing and decides nothing.
package settings

import (
	"fmt"
	"slices"

	"indigousher/planner"
)

// NsPerMs is how many of the operators' units of time make a millisecond.
const NsPerMs = 1e6

// Names maps one sort of name to small indices in order of appearance.
type Names struct {
	index map[string]int
	names []string
}

// Intern returns the index of a name, giving it one at its first appearance.
func (d *Names) Intern(name string) int {
	if i, known := d.Find(name); known {
		return i
	}
	if d.index == nil {
		d.index = map[string]int{}
	}
	d.index[name] = len(d.names)
	d.names = append(d.names, name)
	return len(d.names) - 1
}

// Find returns the index of a name that has one.
func (d *Names) Find(name string) (i int, known bool) {
	i, known = d.index[name]
	return i, known
}

// Rename gives an index to another name; the one it had is forgotten.
func (d *Names) Rename(i int, name string) {
	delete(d.index, d.names[i])
	d.index[name], d.names[i] = i, name
}

// Len returns how many indices there are.
func (d *Names) Len() int { return len(d.names) }

// Name returns the name behind an index, or nothing.
func (d *Names) Name(i int) string {
	if i < 0 || i >= len(d.names) {
		return ""
	}
	return d.names[i]
}

// Lookup returns the name behind an index.
func (d *Names) Lookup(i int) (string, error) {
	if i < 0 || i >= len(d.names) {
		return "", fmt.Errorf("no id behind index %d", i)
	}
	return d.names[i], nil
}

// All returns the names in the order of their indices.
func (d *Names) All() []string { return d.names }

// ourWords renames the operators' settings and their values to the project's words. The platform says of load reports
// what the pages say, the simulator's wire has words of its own; both are here.
var ourWords = map[string]string{
	"dcs": "zones", "kinds": "machines", "profiles": "req_kinds", "aim": "response_target",
	"give_up": "client_timeout", "idempotency": "repeats", "importance": "payoff", "aim_stretch": "target_stretch",
	"late_worth": "late_payoff", "worth_by": "payoff_by", "idempotency_key": "uniqued", "read_like": "replayable",
	"non_idempotent": "non-replayable", "cpu_share": "util", "served_ps": "rate", "pending": "waiting",
	"svc_ms": "service_ms", "busy_reqs": "in_hand", "failed_ps": "errored_rate", "partitions_n": "slices",
	"lb_method": "pick", "outlier_after": "ejects_after", "write_classes": "kind_writes",
	"class_own_zone": "kind_own_zone", "egress_per_s": "lines_per_s", "envelope": "head_lines",
	"empty_for": "bare_for", "bootstrap": "standing", "pushes_allowed": "messages_most", "counted_over": "messages_over",
	"push_delay": "late_mean", "transit_max": "late_most", "worst_class": "worst_kind", "tick": "tick",
	"qps": "rate", "queue": "waiting", "latency_ms": "service_ms", "inflight": "in_hand", "eps": "errored_rate",
}

// spans names the settings that are nanoseconds.
var spans = []string{
	"aim", "give_up", "window", "empty_for", "write_lease", "push_delay", "transit_max", "counted_over", "report_every",
	"lingers", "waits_for_table", "conn_idle", "dial_timeout", "ask_within", "cold", "drain_grace", "fall", "tick",
}

// Deployment is what the settings come to: the module's terms, and the names behind its indices.
type Deployment struct {
	Settings                 map[string]any
	Zones, Machines, Classes Names
}

// Parse gives the names told at the start their indices, puts indices in place of names where one refers to another,
// and lays the settings out as one plain map in the project's words. It changes the settings.
func Parse(settings map[string]any) *Deployment {
	d := &Deployment{Settings: map[string]any{}}
	for key, to := range map[string]*Names{"dcs": &d.Zones, "kinds": &d.Machines} {
		names, _ := settings[key].([]any)
		for _, n := range names {
			if s, ok := n.(string); ok {
				to.Intern(s)
			}
		}
	}
	profiles, _ := settings["profiles"].([]any)
	for _, c := range profiles {
		if m, ok := c.(map[string]any); ok {
			name, _ := m["name"].(string)
			d.Classes.Intern(name)
			m["only_machines"] = indices(&d.Machines, m["only_kinds"])
			m["only_zones"] = indices(&d.Zones, m["only_zones"])
		}
	}
	if z, ok := settings["zone"].(string); ok {
		settings["zone"] = float64(d.Zones.Intern(z))
	}
	renamed, _ := rename("", settings).(map[string]any)
	flatten(d.Settings, renamed)
	return d
}

// indices turns a list of names into their indices.
func indices(d *Names, names any) []any {
	var list []any
	all, _ := names.([]any)
	for _, n := range all {
		if s, ok := n.(string); ok {
			list = append(list, float64(d.Intern(s)))
		}
	}
	return list
}

// ParseLoad renames the values of a load report; what can be no figure of one is left out.
func ParseLoad(values map[string]float64) planner.Load {
	if len(values) == 0 {
		return nil
	}
	l := make(planner.Load, len(values))
	for k, v := range values {
		if planner.ValidRate(v) {
			l[PlannerName(k)] = v
		}
	}
	return l
}

// rename turns a setting into the project's words and times into milliseconds, at every depth.
func rename(name string, v any) any {
	switch v := v.(type) {
	case map[string]any:
		m := make(map[string]any, len(v))
		for k, x := range v {
			m[PlannerName(k)] = rename(k, x)
		}
		return m
	case []any:
		list := make([]any, len(v))
		for i, x := range v {
			list[i] = rename("", x)
		}
		return list
	case string:
		return PlannerName(v)
	case float64:
		if slices.Contains(spans, name) {
			return v / NsPerMs
		}
	}
	return v
}

// PlannerName returns the project's word for one of the operators'.
func PlannerName(w string) string {
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
