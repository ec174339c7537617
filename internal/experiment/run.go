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

// errBudget is the cause with which runs are cancelled when the experiment's budget is spent. Their results are left
// out.
var errBudget = fmt.Errorf("the experiment's budget is spent: %w", context.DeadlineExceeded)

// seedStep is multiplied by the scenario's seed before the number of the repeat is added, so that scenarios with
// consecutive seeds do not share seeds.
const seedStep = 100_003

// Runner runs an experiment.
type Runner struct {
	Plan     *Plan
	Store    string              // file with results; runs whose results are in it are skipped
	Program  string              // identifies the program's build; only its results are reused
	Progress func(done, all int) // called after each run, never concurrently; may be nil
	Workers  int                 // number of concurrent runs; 0 means GOMAXPROCS
}

// Run runs all cells whose results are not in the store, and returns a table of all results. All cells use the same
// random numbers for the same repeat, so that they can be compared in pairs.
func (r *Runner) Run(ctx context.Context) (*Table, error) {
	db, err := record.OpenFile(r.Store, false)
	if err != nil {
		return nil, fmt.Errorf("open results: %w", err)
	}
	defer func() { _ = db.Close() }() // nothing is lost if this fails, as each result was committed
	table := newTable(r.Plan)
	ctx, cancel := context.WithTimeoutCause(ctx, r.Plan.Budget, errBudget)
	defer cancel()
	runs, ctx := errgroup.WithContext(ctx)
	runs.SetLimit(r.workers())
	var mu sync.Mutex // guards table and done, and serializes calls of Progress
	done := 0
	all := len(table.Cells) * r.Plan.Repeats
	for repeat := range r.Plan.Repeats { // the outer loop, so that an early end leaves complete sets of cells to compare
		for cell := range table.Cells {
			runs.Go(func() error { // returns when its run ends or ctx is cancelled
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

// runCell returns the result of a cell with a seed, from the store or from a new run, which it then stores. It also
// returns whether the result was reused from the store.
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

// cellScenario returns a new copy of the scenario with the cell's levels and a seed applied.
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

// newPlay returns a run of a scenario under a policy. It can modify the scenario.
func newPlay(s *scenario.Scenario, policy string) (*emulator.Play, error) {
	play := &emulator.Play{Scenario: s, Audited: true}
	switch policy {
	case Planner:
		return play, nil
	case StaticTables:
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
