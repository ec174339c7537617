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

// Result holds the metrics of one run. It is stored as JSON, so names and order of the fields must not change.
type Result struct {
	Service    float64            `json:"Service"`    // priority weight earned, as a fraction of that of all requests
	Worst      float64            `json:"Worst"`      // lowest service of any time window
	Windows    []float64          `json:"Windows"`    // service by time window of audit.WindowMs
	Errored    float64            `json:"Errored"`    // fraction of the requests that failed
	Denied     float64            `json:"Denied"`     // fraction of the requests that were rejected
	TriesEach  float64            `json:"TriesEach"`  // mean number of attempts per request
	P50        float64            `json:"P50"`        // median latency of succeeded requests, ms
	P99        float64            `json:"P99"`        // 99th percentile of the latency of succeeded requests, ms
	Spread     float64            `json:"Spread"`     // load of the busiest endpoint divided by the mean load
	LinesPerS  float64            `json:"LinesPerS"`  // lines that all pilots sent per virtual second
	MostLines  float64            `json:"MostLines"`  // longest queue of a channel, as a fraction of the queue limit
	Broken     float64            `json:"Broken"`     // number of rules that were violated
	Nearest    float64            `json:"Nearest"`    // highest value of any rule, as a fraction of its limit
	RebuiltMs  float64            `json:"RebuiltMs"`  // longest recovery of a restarted pilot, ms of real time
	LinesAfter float64            `json:"LinesAfter"` // mean number of lines in the first 10 s of a restarted pilot
	PilotMs    float64            `json:"PilotMs"`    // ms of real time that the pilots used per virtual second
	Events     float64            `json:"Events"`     // number of events that the emulator's clock processed
	TookMs     float64            `json:"TookMs"`     // ms of real time that the run took
	Text       string             `json:"Text"`       // first violation of each violated rule
	Quantiles  []float64          `json:"Quantiles"`  // latency in ms at each entry of quantiles
	Loads      []float64          `json:"Loads"`      // busy fractions of the endpoints at loadSteps+1 even quantiles
	Zones      map[string]float64 `json:"Zones"`      // mean busy fraction of each zone's endpoints
}

// quantiles lists the quantiles at which the latency curve is stored.
var quantiles = []float64{0.05, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999}

// loadSteps is the number of steps into which the curve of the endpoints' loads is divided.
const loadSteps = 20

// newResult computes the metrics of a run from its outcome, its length in virtual seconds and the channels' queue limit
// in lines.
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
	requests := math.Max(1, float64(s.Succeeded+s.Rejected+s.Failed))
	r.Service = s.All.Share()
	r.Errored = float64(s.Failed) / requests
	r.Denied = float64(s.Rejected) / requests
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

// setSpread sets Spread from the loads of the endpoints, by name. It stays 0 if no endpoint had any load.
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

// setLoads sets the curve of the endpoints' loads and the mean load of each zone. Loads and zones are by endpoint name.
func (r *Result) setLoads(load map[string]float64, zoneOf map[string]string) {
	if len(load) == 0 {
		return
	}
	var all []float64
	endpoints := map[string]float64{} // number of endpoints by zone
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

// setRecovery sets the metrics of recovery from the pilots' starts, by pilot. The first start of each pilot is ignored.
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
