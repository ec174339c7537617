package settings

import "slices"

// NsPerMs converts the operators' unit of time, the nanosecond, to the planner's, the millisecond.
const NsPerMs = 1e6

// plannerNames maps the operators' names of settings, of values of settings, and of figures of load reports to the
// planner's, where they differ.
var plannerNames = map[string]string{
	// Deployment.
	"dcs":          "zones",
	"kinds":        "machines",
	"partitions_n": "slices",
	"bootstrap":    "standing",

	// Request classes and values of their settings.
	"profiles":        "req_kinds",
	"aim":             "response_target",
	"aim_stretch":     "target_stretch",
	"give_up":         "client_timeout",
	"importance":      "payoff",
	"late_worth":      "late_payoff",
	"worth_by":        "payoff_by",
	"worst_class":     "worst_kind",
	"write_classes":   "kind_writes",
	"class_own_zone":  "kind_own_zone",
	"idempotency":     "repeats",
	"idempotency_key": "uniqued",
	"read_like":       "replayable",
	"non_idempotent":  "non-replayable",

	// Proxies.
	"lb_method":     "pick",
	"outlier_after": "ejects_after",
	"empty_for":     "bare_for",

	// Channel to the proxies.
	"egress_per_s":   "lines_per_s",
	"envelope":       "head_lines",
	"pushes_allowed": "messages_most",
	"counted_over":   "messages_over",
	"push_delay":     "late_mean",
	"transit_max":    "late_most",

	// Figures of load reports, simulator names.
	"cpu_share": "util",
	"served_ps": "rate",
	"pending":   "waiting",
	"svc_ms":    "service_ms",
	"busy_reqs": "in_hand",
	"failed_ps": "errored_rate",

	// Figures of load reports, platform names.
	"qps":        "rate",
	"queue":      "waiting",
	"latency_ms": "service_ms",
	"inflight":   "in_hand",
	"eps":        "errored_rate",
}

// durations are the operators' names of settings that are times in nanoseconds.
var durations = []string{
	"aim", "give_up", "window", "empty_for", "write_lease", "push_delay", "transit_max", "counted_over", "report_every",
	"lingers", "waits_for_table", "conn_idle", "dial_timeout", "ask_within", "cold", "drain_grace", "fall", "tick",
}

// plannerName returns the planner's name for an operators' name; shared names are returned unchanged.
func plannerName(name string) string {
	if renamed, ok := plannerNames[name]; ok {
		return renamed
	}
	return name
}

// isDuration reports whether the operators' name of a setting denotes a time.
func isDuration(name string) bool { return slices.Contains(durations, name) }
