package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"sync"

	"go.etcd.io/bbolt"
	"golang.org/x/sync/errgroup"

	"indigousher/internal/baseline"
	"indigousher/internal/controller"
	"indigousher/internal/emulator"
	"indigousher/internal/record"
)

// Runner plays a plan.
type Runner struct {
	Plan     *Plan
	Store    string              // file; results in it are not played again
	Program  string              // of another one nothing is taken
	Progress func(done, all int) // progress
	Workers  int                 // 0: one a core
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
