package experiment

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"

	"indigousher/internal/audit"
	"indigousher/internal/emulator"
)

// Result is what one run gave. It is stored as JSON: names and order of the fields stay.
type Result struct {
	Service    float64            `json:"Service"`    // priority weight earned over that asked for
	Worst      float64            `json:"Worst"`      // service of the worst window
	Windows    []float64          `json:"Windows"`    // service by window of audit.WindowMs
	Errored    float64            `json:"Errored"`    // fraction of the requests
	Denied     float64            `json:"Denied"`     // fraction of the requests that was rejected
	TriesEach  float64            `json:"TriesEach"`  // attempts for each request
	P50        float64            `json:"P50"`        // ms, of requests that succeeded
	P99        float64            `json:"P99"`        // ms, of requests that succeeded
	Spread     float64            `json:"Spread"`     // load of the busiest endpoint over the mean
	LinesPerS  float64            `json:"LinesPerS"`  // of all pilots
	MostLines  float64            `json:"MostLines"`  // in one channel, as a fraction of the queue limit
	Broken     float64            `json:"Broken"`     // rules
	Nearest    float64            `json:"Nearest"`    // to any rule's limit: 1 is the limit
	RebuiltMs  float64            `json:"RebuiltMs"`  // longest replay of a pilot that returned, in real time
	LinesAfter float64            `json:"LinesAfter"` // that a pilot which returned sent in its first 10 s, mean
	PilotMs    float64            `json:"PilotMs"`    // real time of the pilots' turns for a virtual second
	Events     float64            `json:"Events"`     // of the emulator's clock
	TookMs     float64            `json:"TookMs"`     // real time
	Text       string             `json:"Text"`       // first violation of each broken rule
	Quantiles  []float64          `json:"Quantiles"`  // of latency in ms, at each of quantiles
	Loads      []float64          `json:"Loads"`      // busy fractions of endpoints, at loadSteps+1 quantiles
	Zones      map[string]float64 `json:"Zones"`      // mean busy fraction of each zone's endpoints
}

// quantiles are those of the latency curve.
var quantiles = []float64{0.05, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999}

// loadSteps is into how many steps the curve of endpoints' loads is divided.
const loadSteps = 20

// newResult returns the figures of a run of so many virtual seconds, with a queue limit in lines.
func newResult(o *emulator.Outcome, seconds, queueLimit float64) *Result {
	r := &Result{
		LinesPerS: float64(o.LinesSent) / seconds,
		MostLines: float64(o.MaxQueueLines) / queueLimit,
		PilotMs:   o.PilotMs / seconds,
		Events:    float64(o.ClockEvents),
		TookMs:    o.ElapsedMs,
	}
	r.setService(&o.Report.Service, o.Attempts)
	r.setLatency(o.Latency)
	r.setVerdicts(o.Report)
	r.setSpread(o.Load)
	r.setLoads(o.Load, o.ZoneOf)
	r.setRecovery(o.Starts)
	return r
}

func (r *Result) setService(s *audit.Service, attempts uint64) {
	requests := math.Max(1, float64(s.Done+s.Denied+s.Errored))
	r.Service = s.All.Share()
	r.Errored = float64(s.Errored) / requests
	r.Denied = float64(s.Denied) / requests
	r.TriesEach = float64(attempts) / requests
	r.Worst = 1
	for _, window := range s.Windows {
		r.Windows = append(r.Windows, window.Share())
		r.Worst = min(r.Worst, window.Share())
	}
}

func (r *Result) setLatency(latency *hdrhistogram.Histogram) {
	milliseconds := func(percentile float64) float64 { return float64(latency.ValueAtQuantile(percentile)) / 1000 }
	r.P50 = milliseconds(50)
	r.P99 = milliseconds(99)
	for _, quantile := range quantiles {
		r.Quantiles = append(r.Quantiles, milliseconds(100*quantile))
	}
}

func (r *Result) setVerdicts(report *audit.Report) {
	for i := range report.Verdicts {
		v := &report.Verdicts[i]
		r.Nearest = max(r.Nearest, v.LimitFraction)
		if v.Kept() {
			continue
		}
		r.Broken++
		first := v.Violations[0]
		r.Text += fmt.Sprintf("%s: %.2f s %s %s; ", v.Rule, first.At/1000, first.Who, first.Text)
	}
}

// setSpread compares the busiest endpoint with the mean.
func (r *Result) setSpread(load map[string]float64) {
	var sum, most float64
	for _, busy := range load {
		sum += busy
		most = max(most, busy)
	}
	if sum > 0 {
		r.Spread = most / (sum / float64(len(load)))
	}
}

// setLoads sets the curve of the endpoints' loads and the mean load of each zone.
func (r *Result) setLoads(load map[string]float64, zoneOf map[string]string) {
	if len(load) == 0 {
		return
	}
	var all []float64
	endpoints := map[string]float64{} // by zone
	r.Zones = map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(load)) {
		zone := zoneOf[name]
		all = append(all, load[name])
		r.Zones[zone] += load[name]
		endpoints[zone]++
	}
	for zone := range r.Zones {
		r.Zones[zone] /= endpoints[zone]
	}
	slices.Sort(all)
	for i := range loadSteps + 1 {
		quantile := float64(i) / loadSteps
		r.Loads = append(r.Loads, stat.Quantile(quantile, stat.Empirical, all, nil))
	}
}

// setRecovery looks at the pilots' starts but each one's first.
func (r *Result) setRecovery(starts map[string][]emulator.PilotStart) {
	returned := 0.0
	for _, all := range starts {
		for _, start := range all[min(1, len(all)):] {
			r.RebuiltMs = max(r.RebuiltMs, start.TookMs)
			r.LinesAfter += float64(start.LinesSent)
			returned++
		}
	}
	r.LinesAfter /= math.Max(1, returned)
}
