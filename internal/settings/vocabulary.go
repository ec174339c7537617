package settings

import "slices"

// NsPerMs is the number of nanoseconds, the operators' unit of time, per millisecond, the planner's unit of time.
const NsPerMs = 1e6

// plannerNames maps the operators' names of settings, setting values and load metrics to the planner's names, where
// they differ.
var plannerNames = map[string]string{
	// Settings of the deployment.
	"dcs":          "zones",
	"kinds":        "machines",
	"partitions_n": "slices",
	"bootstrap":    "standing",

	// Settings of request classes and values of those settings.
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

	// Settings of proxies.
	"lb_method":     "pick",
	"outlier_after": "ejects_after",
	"empty_for":     "bare_for",

	// Settings of the channel from a controller to its proxies.
	"egress_per_s":   "lines_per_s",
	"envelope":       "head_lines",
	"pushes_allowed": "messages_most",
	"counted_over":   "messages_over",
	"push_delay":     "late_mean",
	"transit_max":    "late_most",

	// Load metrics, as the simulator names them.
	"cpu_share": "util",
	"served_ps": "rate",
	"pending":   "waiting",
	"svc_ms":    "service_ms",
	"busy_reqs": "in_hand",
	"failed_ps": "errored_rate",

	// Load metrics, as the platform names them.
	"qps":        "rate",
	"queue":      "waiting",
	"latency_ms": "service_ms",
	"inflight":   "in_hand",
	"eps":        "errored_rate",
}

// durations lists the settings whose values are times in nanoseconds, by the operators' names.
var durations = []string{
	"aim", "give_up", "window", "empty_for", "write_lease", "push_delay", "transit_max", "counted_over", "report_every",
	"lingers", "waits_for_table", "conn_idle", "dial_timeout", "ask_within", "cold", "drain_grace", "fall", "tick",
}

// plannerName returns the planner's name for an operators' name. It returns a name that is the same in both unchanged.
func plannerName(name string) string {
	if renamed, ok := plannerNames[name]; ok {
		return renamed
	}
	return name
}

// isDuration reports whether the value of a setting, given by the operators' name, is a time in nanoseconds.
func isDuration(name string) bool { return slices.Contains(durations, name) }
