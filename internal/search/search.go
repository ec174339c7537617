// Package search looks for scenarios in which a pilot violates a rule of the audit or comes close to its limit. It
// generates random scenarios with overlapping faults, runs them in the emulator, and reduces those that violate a
// rule to the parts that are necessary for it.
package search

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"indigousher/internal/audit"
	"indigousher/internal/controller"
	"indigousher/internal/emulator"
)

// climbStream selects the random sequence of Climb among those of the same seed.
const climbStream = 43

// Finding is the result of the run of one draft.
type Finding struct {
	Draft          *Draft
	Service        float64                  // share of the service that the clients got, as the audit computes it; 1: all
	LimitFractions [audit.RuleCount]float64 // worst value for each rule as a fraction of its limit; above 1: violated
	ViolatedRules  []string                 // violated rules, each with its first violation, as "RULE: VIOLATION"
	Events         uint64                   // number of timers that fired on the emulator's clock
}

// Search holds the options for running drafts.
type Search struct {
	// Decide creates the decider of a pilot; nil means the planner.
	Decide func(seed int64, settings map[string]any) controller.Decider
	// Progress is called with each finding of Random, never concurrently; it may be nil.
	Progress func(f *Finding)
}

// Play runs one draft and returns the result.
func (s *Search) Play(ctx context.Context, d *Draft) (*Finding, error) {
	drawn, err := d.Scenario()
	if err != nil {
		return nil, fmt.Errorf("read generated scenario %d: %w", d.Seed, err)
	}
	outcome, err := emulator.Play{Scenario: drawn, Audited: true, Decide: s.Decide}.Run(ctx)
	if err != nil {
		return nil, fmt.Errorf("run generated scenario %d: %w", d.Seed, err)
	}
	f := &Finding{Draft: d, Service: outcome.Report.Service.All.Share(), Events: outcome.ClockEvents}
	for i := range outcome.Report.Verdicts {
		v := &outcome.Report.Verdicts[i]
		f.LimitFractions[i] = v.LimitFraction
		if !v.Kept() {
			first := v.Violations[0]
			f.ViolatedRules = append(f.ViolatedRules, fmt.Sprintf("%s: %.2f s %s %s", v.Rule, first.At/1000, first.Who, first.Text))
		}
	}
	return f, nil
}

// Random generates scenarios from count consecutive seeds, runs them in parallel on all cores and returns the
// findings in order of the seeds. It stops at the first error.
func (s *Search) Random(ctx context.Context, firstSeed, count, endpoints int) ([]*Finding, error) {
	findings := make([]*Finding, count)
	var mu sync.Mutex
	runs, ctx := errgroup.WithContext(ctx)
	runs.SetLimit(runtime.GOMAXPROCS(0))
	for i := range count {
		runs.Go(func() error { // the goroutine ends with its run or when ctx is cancelled
			f, err := s.Play(ctx, Draw(firstSeed+i, endpoints))
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			findings[i] = f
			if s.Progress != nil {
				s.Progress(f)
			}
			return nil
		})
	}
	return findings, runs.Wait()
}

// Climb is a hill climbing search for a violation of a rule. In each step it runs a random mutation of the best
// draft so far, and keeps the mutation if it comes closer to the limit of the rule. It ends after the given number
// of steps, or earlier when any rule is violated, and returns the best finding.
func (s *Search) Climb(ctx context.Context, f *Finding, rule audit.Rule, steps int, seed uint64) (*Finding, error) {
	random := rand.New(rand.NewPCG(seed, climbStream))
	best := f
	for range steps {
		next, err := s.Play(ctx, mutate(random, best.Draft))
		if err != nil {
			return best, err
		}
		if next.LimitFractions[rule] > best.LimitFractions[rule] {
			best = next
		}
		if len(best.ViolatedRules) > 0 {
			break
		}
	}
	return best, nil
}

// Shrink reduces a draft that violates a rule, as long as the first violated rule stays violated. In each step it
// continues with the first reduction that still violates the rule, and it ends when there is none. The finding must
// have a violated rule.
func (s *Search) Shrink(ctx context.Context, f *Finding) (*Finding, error) {
	rule, _, _ := strings.Cut(f.ViolatedRules[0], ":")
	best := f
	for {
		next, err := s.firstBreaking(ctx, reductions(best.Draft), rule)
		if err != nil {
			return best, err
		}
		if next == nil {
			return best, nil
		}
		best = next
	}
}

// firstBreaking runs drafts until one violates the rule with the given name, and returns its finding, or nil if none
// does.
func (s *Search) firstBreaking(ctx context.Context, drafts []*Draft, rule string) (*Finding, error) {
	for _, d := range drafts {
		f, err := s.Play(ctx, d)
		if err != nil {
			return nil, err
		}
		if f.breaks(rule) {
			return f, nil
		}
	}
	return nil, nil
}

// breaks returns whether the finding violates the rule with the given name.
func (f *Finding) breaks(rule string) bool {
	for _, broken := range f.ViolatedRules {
		if strings.HasPrefix(broken, rule+":") {
			return true
		}
	}
	return false
}
