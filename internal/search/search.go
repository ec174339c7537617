// Package search draws scenarios with overlapping faults, looks for those that come near to a limit or break a rule,
// and shrinks what it finds to what matters. It plays them in the emulator and judges by the audit; it changes nothing.
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

// climbStream tells the random sequence of a climb apart from others of the same seed.
const climbStream = 43

// Finding is what one drawn scenario came to.
type Finding struct {
	Draft          *Draft
	Service        float64
	LimitFractions [audit.RuleCount]float64 // how near to each rule's limit it came; 1 is the limit
	Broken         []string                 // rules, each with its first violation
	Events         uint64                   // of the emulator's clock
}

// Search plays drawn scenarios.
type Search struct {
	// Decide makes what decides in a pilot; nil: the planner.
	Decide func(seed int64, settings map[string]any) controller.Decider
	// Progress is called with each finding of Random, one at a time; may be nil.
	Progress func(f *Finding)
}

// Play plays one draft.
func (s *Search) Play(ctx context.Context, d *Draft) (*Finding, error) {
	drawn, err := d.Scenario()
	if err != nil {
		return nil, fmt.Errorf("drawn day %d: %w", d.Seed, err)
	}
	outcome, err := emulator.Play{Scenario: drawn, Audited: true, Decide: s.Decide}.Run(ctx)
	if err != nil {
		return nil, fmt.Errorf("drawn day %d: %w", d.Seed, err)
	}
	f := &Finding{Draft: d, Service: outcome.Report.Service.All.Share(), Events: outcome.ClockEvents}
	for i := range outcome.Report.Verdicts {
		v := &outcome.Report.Verdicts[i]
		f.LimitFractions[i] = v.LimitFraction
		if !v.Kept() {
			first := v.Violations[0]
			f.Broken = append(f.Broken, fmt.Sprintf("%s: %.2f s %s %s", v.Rule, first.At/1000, first.Who, first.Text))
		}
	}
	return f, nil
}

// Random plays scenarios of consecutive seeds on all cores and returns the findings by seed.
func (s *Search) Random(ctx context.Context, firstSeed, count, endpoints int) ([]*Finding, error) {
	findings := make([]*Finding, count)
	var mu sync.Mutex
	runs, ctx := errgroup.WithContext(ctx)
	runs.SetLimit(runtime.GOMAXPROCS(0))
	for i := range count {
		runs.Go(func() error { // ends with its run or with ctx
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

// Climb changes a draft step by step and keeps what comes nearer to a rule's limit, until a rule breaks.
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
		if len(best.Broken) > 0 {
			break
		}
	}
	return best, nil
}

// Shrink takes away all that the violation of the first broken rule does not need, step by step: of the smaller drafts,
// the first that still breaks the rule is taken, until none does.
func (s *Search) Shrink(ctx context.Context, f *Finding) (*Finding, error) {
	rule, _, _ := strings.Cut(f.Broken[0], ":")
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

// firstBreaking plays drafts until one breaks a rule, and returns that finding; nil if none does.
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

// breaks returns whether a rule is among the broken ones.
func (f *Finding) breaks(rule string) bool {
	for _, broken := range f.Broken {
		if strings.HasPrefix(broken, rule+":") {
			return true
		}
	}
	return false
}
