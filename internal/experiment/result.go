package experiment

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"indigousher/internal/emulator"
)

// Result is what one run gave.
type Result struct {
	Service    float64            `json:"Service"` // payoff earned over payoff asked for
	Worst      float64            `json:"Worst"`   // of the worst 5 s
	Windows    []float64          `json:"Windows"` // by 5 s
	Errored    float64            `json:"Errored"` // parts of the reqs
	Denied     float64            `json:"Denied"`
	TriesEach  float64            `json:"TriesEach"`
	P50        float64            `json:"P50"`        // ms, of reqs that were done
	P99        float64            `json:"P99"`        // ms, of reqs that were done
	Spread     float64            `json:"Spread"`     // busiest endpoint's load over the mean
	LinesPerS  float64            `json:"LinesPerS"`  // of all pilots
	MostLines  float64            `json:"MostLines"`  // in one channel, as a part of the backlog
	Broken     float64            `json:"Broken"`     // rules
	Nearest    float64            `json:"Nearest"`    // to any rule's limit: 1 is the limit
	RebuiltMs  float64            `json:"RebuiltMs"`  // the longest rebuild of a pilot that returned, in real time
	LinesAfter float64            `json:"LinesAfter"` // that a pilot which returned sent in its first 10 s, mean
	PilotMs    float64            `json:"PilotMs"`    // real time of pilots' turns a virtual second
	Events     float64            `json:"Events"`
	TookMs     float64            `json:"TookMs"`
	Text       string             `json:"Text"`      // of what broke
	Quantiles  []float64          `json:"Quantiles"` // ms at each of the quantiles
	Loads      []float64          `json:"Loads"`     // busy parts of endpoints at each twentieth, least first
	Zones      map[string]float64 `json:"Zones"`     // mean busy part of each zone's endpoints
}

// quantiles are those of the curve of latency.
var quantiles = []float64{0.05, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999}

func resultOf(o *emulator.Outcome, seconds, backlog float64) *Result {
	s := &o.Report.Service
	n := math.Max(1, float64(s.Done+s.Denied+s.Errored))
	r := &Result{Service: s.All.Share(), Worst: 1, Errored: float64(s.Errored) / n, Denied: float64(s.Denied) / n,
		TriesEach: float64(o.Attempts) / n, P50: float64(o.Latency.ValueAtQuantile(50)) / 1000, P99: float64(o.Latency.ValueAtQuantile(99)) / 1000,
		LinesPerS: float64(o.LinesSent) / seconds, MostLines: float64(o.MaxQueueLines) / backlog, PilotMs: o.PilotMs / seconds,
		Events: float64(o.ClockEvents), TookMs: o.ElapsedMs}
	for _, w := range s.Windows {
		r.Windows = append(r.Windows, w.Share())
		r.Worst = min(r.Worst, w.Share())
	}
	sum, most := 0.0, 0.0
	for _, l := range o.Load {
		sum, most = sum+l, max(most, l)
	}
	if sum > 0 {
		r.Spread = most / (sum / float64(len(o.Load)))
	}
	for i := range o.Report.Verdicts {
		v := &o.Report.Verdicts[i]
		r.Nearest = max(r.Nearest, v.LimitFraction)
		if !v.Kept() {
			r.Broken++
			r.Text += fmt.Sprintf("%s: %.2f s %s %s; ", v.Rule, v.Violations[0].At/1000, v.Violations[0].Who, v.Violations[0].Text)
		}
	}
	for _, q := range quantiles {
		r.Quantiles = append(r.Quantiles, float64(o.Latency.ValueAtQuantile(100*q))/1000)
	}
	r.setLoads(o.Load, o.ZoneOf)
	returned := 0.0
	for _, starts := range o.Starts {
		for _, b := range starts[min(1, len(starts)):] {
			r.RebuiltMs = max(r.RebuiltMs, b.TookMs)
			r.LinesAfter += float64(b.LinesSent)
			returned++
		}
	}
	r.LinesAfter /= math.Max(1, returned)
	return r
}

// setLoads takes in what endpoints carried.
func (r *Result) setLoads(load map[string]float64, zone map[string]string) {
	if len(load) == 0 {
		return
	}
	var all []float64
	count := map[string]float64{}
	r.Zones = map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(load)) {
		all = append(all, load[name])
		r.Zones[zone[name]] += load[name]
		count[zone[name]]++
	}
	for z := range r.Zones {
		r.Zones[z] /= count[z]
	}
	slices.Sort(all)
	for i := range 21 {
		r.Loads = append(r.Loads, stat.Quantile(float64(i)/20, stat.Empirical, all, nil))
	}
}
