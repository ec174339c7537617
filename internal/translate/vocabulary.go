package translate

// NsPerMs is how many of the operators' units of time make a millisecond.
const NsPerMs = 1e6

// plannerNames renames the operators' settings and their values to the project's words. The platform says of load reports
// what the pages say, the simulator's wire has words of its own; both are here.
var plannerNames = map[string]string{
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

// durations names the settings that are nanoseconds.
var durations = []string{
	"aim", "give_up", "window", "empty_for", "write_lease", "push_delay", "transit_max", "counted_over", "report_every",
	"lingers", "waits_for_table", "conn_idle", "dial_timeout", "ask_within", "cold", "drain_grace", "fall", "tick",
}

// Word returns the project's word for one of the operators'.
func Word(w string) string {
	if ours, ok := plannerNames[w]; ok {
		return ours
	}
	return w
}
