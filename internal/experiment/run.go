package experiment

import (
	"context"
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
	"indigousher/internal/scenario"
)

// errBudget ends runs once the budget is spent. What they would have given is left out.
var errBudget = fmt.Errorf("the experiment's budget is spent: %w", context.DeadlineExceeded)

// seedStep keeps the seeds of runs of scenarios with neighbouring seeds apart.
const seedStep = 100_003

// Runner plays a plan.
type Runner struct {
	Plan     *Plan
	Store    string              // file; results in it are not played again
	Program  string              // results of another one are not taken
	Progress func(done, all int) // called after each run, one at a time; may be nil
	Workers  int                 // runs at the same time; 0: one for each core
}

// Run plays what the store does not have. Runs of one seed share their random numbers over all cells.
func (r *Runner) Run(ctx context.Context) (*Table, error) {
	db, err := record.OpenFile(r.Store, false)
	if err != nil {
		return nil, fmt.Errorf("open results: %w", err)
	}
	defer func() { _ = db.Close() }() // each result was committed on its own
	table := newTable(r.Plan)
	ctx, cancel := context.WithTimeoutCause(ctx, r.Plan.Budget, errBudget)
	defer cancel()
	runs, ctx := errgroup.WithContext(ctx)
	runs.SetLimit(r.workers())
	var mu sync.Mutex // guards the table and calls of Progress
	done := 0
	all := len(table.Cells) * r.Plan.Repeats
	for repeat := range r.Plan.Repeats { // all cells of one seed before the next: an early end leaves pairs
		for cell := range table.Cells {
			runs.Go(func() error { // ends with its run or with ctx
				result, reused, err := r.runCell(ctx, db, table.Cells[cell], repeat+1)
				if errors.Is(err, context.DeadlineExceeded) {
					err = nil
				}
				mu.Lock()
				defer mu.Unlock()
				table.add(cell, repeat, result, reused)
				done++
				if r.Progress != nil {
					r.Progress(done, all)
				}
				return err
			})
		}
	}
	return table, runs.Wait()
}

func (r *Runner) workers() int {
	if r.Workers == 0 {
		return runtime.GOMAXPROCS(0)
	}
	return r.Workers
}

// runCell returns the result of a cell with a seed, and whether it was in the store.
func (r *Runner) runCell(
	ctx context.Context, db *bbolt.DB, cell Cell, seed int,
) (result *Result, reused bool, err error) {
	s, err := r.cellScenario(cell, seed)
	if err != nil {
		return nil, false, err
	}
	key, err := newResultKey(r.Program, cell.Policy, s)
	if err != nil {
		return nil, false, err
	}
	found, err := storedResult(db, key)
	if err != nil || found != nil {
		return found, true, err
	}
	if ctx.Err() != nil {
		return nil, false, context.Cause(ctx)
	}
	play, err := newPlay(s, cell.Policy)
	if err != nil {
		return nil, false, err
	}
	outcome, err := play.Run(ctx)
	if err != nil {
		return nil, false, err
	}
	result = newResult(outcome, s.Length.Seconds(), s.Backlog)
	return result, false, storeResult(db, key, result)
}

// cellScenario returns the scenario of a cell with a seed.
func (r *Runner) cellScenario(cell Cell, seed int) (*scenario.Scenario, error) {
	s, err := r.Plan.loadScenario()
	if err != nil {
		return nil, err
	}
	for i, factor := range r.Plan.Factors {
		factorEffects[factor.Name](s, cell.Levels[i])
	}
	s.Seed = s.Seed*seedStep + seed
	return s, nil
}

// newPlay sets up a run of a scenario under a policy.
func newPlay(s *scenario.Scenario, policy string) (*emulator.Play, error) {
	play := &emulator.Play{Scenario: s, Audited: true}
	switch policy {
	case Planner:
		return play, nil
	case Standing:
		play.WithoutPilots = true
		return play, nil
	case TwoChoices:
		s.Pick = "two"
		policy = "even"
	}
	factory, err := baseline.Lookup(policy)
	if err != nil {
		return nil, err
	}
	play.Decide = func(seed int64, settings map[string]any) controller.Decider { return factory(seed, settings) }
	return play, nil
}
