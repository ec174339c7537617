package translate

import "slices"

// NsPerMs is how many of the operators' units of time, nanoseconds, make a millisecond.
const NsPerMs = 1e6

// plannerNames gives the planner's name of a setting, of a setting's value, or of a load report's figure that the
// operators call otherwise.
var plannerNames = map[string]string{
	// The deployment.
	"dcs":          "zones",
	"kinds":        "machines",
	"partitions_n": "slices",
	"bootstrap":    "standing",

	// Request classes, and values of their settings.
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

	// The channel to them.
	"egress_per_s":   "lines_per_s",
	"envelope":       "head_lines",
	"pushes_allowed": "messages_most",
	"counted_over":   "messages_over",
	"push_delay":     "late_mean",
	"transit_max":    "late_most",

	// Figures of load reports, as the simulator names them.
	"cpu_share": "util",
	"served_ps": "rate",
	"pending":   "waiting",
	"svc_ms":    "service_ms",
	"busy_reqs": "in_hand",
	"failed_ps": "errored_rate",

	// Figures of load reports, as the platform names them.
	"qps":        "rate",
	"queue":      "waiting",
	"latency_ms": "service_ms",
	"inflight":   "in_hand",
	"eps":        "errored_rate",
}

// durations are the settings, under the operators' names, that are times in nanoseconds.
var durations = []string{
	"aim", "give_up", "window", "empty_for", "write_lease", "push_delay", "transit_max", "counted_over", "report_every",
	"lingers", "waits_for_table", "conn_idle", "dial_timeout", "ask_within", "cold", "drain_grace", "fall", "tick",
}

// Word returns the planner's name for one of the operators'; names that both share stay.
func Word(name string) string {
	if renamed, ok := plannerNames[name]; ok {
		return renamed
	}
	return name
}

// isDuration reports whether a setting, under the operators' name, is a time.
func isDuration(name string) bool { return slices.Contains(durations, name) }
