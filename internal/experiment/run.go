package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"runtime"
	"slices"
	"sync"

	"go.etcd.io/bbolt"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"indigousher/internal/baseline"
	"indigousher/internal/controller"
	"indigousher/internal/emulator"
	"indigousher/internal/record"
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

// Metric is one figure of a result.
type Metric struct {
	Name string
	Of   func(*Result) float64
}

// broken counts rules.
var broken = Metric{"rules broken", func(r *Result) float64 { return r.Broken }}

// Metrics are those shown, in this order.
var Metrics = []Metric{
	{"service", func(r *Result) float64 { return r.Service }}, {"worst 5 s", func(r *Result) float64 { return r.Worst }},
	{"errored", func(r *Result) float64 { return r.Errored }}, {"denied", func(r *Result) float64 { return r.Denied }},
	{"tries each", func(r *Result) float64 { return r.TriesEach }},
	{"p50 ms", func(r *Result) float64 { return r.P50 }}, {"p99 ms", func(r *Result) float64 { return r.P99 }},
	{"busiest / mean", func(r *Result) float64 { return r.Spread }}, {"lines / s", func(r *Result) float64 { return r.LinesPerS }},
	{"queue / backlog", func(r *Result) float64 { return r.MostLines }}, broken,
	{"nearest limit", func(r *Result) float64 { return r.Nearest }}, {"rebuilt ms", func(r *Result) float64 { return r.RebuiltMs }},
	{"lines after", func(r *Result) float64 { return r.LinesAfter }}, {"pilot ms / s", func(r *Result) float64 { return r.PilotMs }},
}

// Program returns what tells programs apart: the digest of this one's file.
func Program() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("find this program: %w", err)
	}
	f, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("read this program: %w", err)
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", fmt.Errorf("read this program: %w", err)
	}
	return hex.EncodeToString(h.Sum(nil)[:16]), nil
}

var bucket = []byte("runs")

// Runner plays a plan.
type Runner struct {
	Plan     *Plan
	Store    string              // file; results in it are not played again
	Program  string              // of another one nothing is taken
	Progress func(done, all int) // progress
	Workers  int                 // 0: one a core
}

// Table holds results by cell and seed; nil where a run was left out.
type Table struct {
	Plan    *Plan
	Cells   []Cell
	Results [][]*Result
	LeftOut int // runs that the budget left out
	Reused  int // from the store
}

// Run plays what the store does not have. Runs of one seed share their random numbers over all cells.
func (r *Runner) Run(ctx context.Context) (*Table, error) {
	db, err := record.OpenFile(r.Store, false)
	if err != nil {
		return nil, fmt.Errorf("open results: %w", err)
	}
	defer db.Close()
	t := &Table{Plan: r.Plan, Cells: r.Plan.Cells()}
	t.Results = make([][]*Result, len(t.Cells))
	for i := range t.Results {
		t.Results[i] = make([]*Result, r.Plan.Repeats)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, r.Plan.Budget, errBudget)
	defer cancel()
	var mu sync.Mutex
	done, all := 0, len(t.Cells)*r.Plan.Repeats
	g, gctx := errgroup.WithContext(ctx)
	workers := r.Workers
	if workers == 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	g.SetLimit(workers)
	for seed := range r.Plan.Repeats { // all cells of one seed before the next: an early end leaves pairs
		for i, c := range t.Cells {
			g.Go(func() error {
				res, taken, err := r.runCell(gctx, db, c, seed+1)
				if errors.Is(err, context.DeadlineExceeded) {
					err = nil
				}
				mu.Lock()
				defer mu.Unlock()
				t.Results[i][seed] = res
				done++
				if res == nil {
					t.LeftOut++
				} else if taken {
					t.Reused++
				}
				if r.Progress != nil {
					r.Progress(done, all)
				}
				return err
			})
		}
	}
	return t, g.Wait()
}

var errBudget = fmt.Errorf("the experiment's budget is spent: %w", context.DeadlineExceeded)

// runCell returns a run's result, from the store or played.
func (r *Runner) runCell(ctx context.Context, db *bbolt.DB, c Cell, seed int) (*Result, bool, error) {
	d, err := r.Plan.load()
	if err != nil {
		return nil, false, err
	}
	for i, f := range r.Plan.Factors {
		factors[f.Name](d, c.Levels[i])
	}
	d.Seed = d.Seed*100_003 + seed
	text, err := json.Marshal(d)
	if err != nil {
		return nil, false, fmt.Errorf("lay out day: %w", err)
	}
	sum := sha256.Sum256(append([]byte(r.Program+" "+c.Policy+" "), text...))
	var found *Result
	err = db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucket)
		if b == nil || b.Get(sum[:]) == nil {
			return nil
		}
		found = &Result{}
		return json.Unmarshal(b.Get(sum[:]), found)
	})
	if err != nil || found != nil {
		return found, true, err
	}
	if ctx.Err() != nil {
		return nil, false, context.Cause(ctx)
	}
	play := emulator.Play{Scenario: d, Audited: true}
	switch c.Policy {
	case Planner:
	case Standing:
		play.WithoutPilots = true
	case TwoChoices:
		d.Pick = "two"
		fallthrough
	default:
		name := c.Policy
		if name == TwoChoices {
			name = "even"
		}
		make, err := baseline.Named(name)
		if err != nil {
			return nil, false, err
		}
		play.Decide = func(seed int64, t map[string]any) controller.Decider { return make(seed, t) }
	}
	o, err := play.Run(ctx)
	if err != nil {
		return nil, false, err
	}
	res := resultOf(o, d.Length.Seconds(), d.Backlog)
	out, err := json.Marshal(res)
	if err != nil {
		return nil, false, fmt.Errorf("lay out result: %w", err)
	}
	return res, false, db.Batch(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucket)
		if err != nil {
			return err
		}
		return b.Put(sum[:], out)
	})
}

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

// quantiles are those of the curve of latency.
var quantiles = []float64{0.05, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999}

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

// values returns a metric's values of a cell, by seed, and whether each is there.
func (t *Table) values(cell int, m Metric) (v []float64, seeds []int) {
	for seed, r := range t.Results[cell] {
		if r != nil {
			v, seeds = append(v, m.Of(r)), append(seeds, seed)
		}
	}
	return v, seeds
}

// base returns the cell of the first policy with the same levels.
func (t *Table) base(cell int) int {
	return slices.IndexFunc(t.Cells, func(c Cell) bool {
		return c.Policy == t.Plan.Policies[0] && slices.Equal(c.Levels, t.Cells[cell].Levels)
	})
}
