package experiment

// Metric is a number that can be taken from a result.
type Metric struct {
	Name string                // column head and axis label
	Of   func(*Result) float64 // returns the metric's value for a result
}

// rulesBroken is the number of rules that were violated in a run.
var rulesBroken = Metric{"rules broken", func(r *Result) float64 { return r.Broken }}

// Metrics lists the metrics in the order of the table's columns.
var Metrics = []Metric{
	{"service", func(r *Result) float64 { return r.Service }},
	{"worst 5 s", func(r *Result) float64 { return r.Worst }},
	{"failed", func(r *Result) float64 { return r.Errored }},
	{"rejected", func(r *Result) float64 { return r.Denied }},
	{"attempts each", func(r *Result) float64 { return r.TriesEach }},
	{"p50 ms", func(r *Result) float64 { return r.P50 }},
	{"p99 ms", func(r *Result) float64 { return r.P99 }},
	{"busiest / mean", func(r *Result) float64 { return r.Spread }},
	{"lines / s", func(r *Result) float64 { return r.LinesPerS }},
	{"queue / backlog", func(r *Result) float64 { return r.MostLines }},
	rulesBroken,
	{"nearest limit", func(r *Result) float64 { return r.Nearest }},
	{"recovery ms", func(r *Result) float64 { return r.RebuiltMs }},
	{"lines after", func(r *Result) float64 { return r.LinesAfter }},
	{"pilot ms / s", func(r *Result) float64 { return r.PilotMs }},
}
