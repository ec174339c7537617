package search

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"indigousher/internal/audit"
	"indigousher/internal/controller"
	"indigousher/internal/emulator"
	"indigousher/internal/scenario"
)

// Finding is what one drawn day came to.
type Finding struct {
	Draft          *Draft
	Service        float64
	LimitFractions [5]float64 // to each rule's limit
	Broken         []string   // rules, with the first breach
	Events         uint64
}

// Search plays drawn days.
type Search struct {
	Decide   func(seed int64, terms map[string]any) controller.Decider // nil: the module
	Progress func(f *Finding)
}

// Play plays one draft.
func (s *Search) Play(ctx context.Context, d *Draft) (*Finding, error) {
	x, err := d.Scenario()
	if err != nil {
		return nil, fmt.Errorf("drawn day %d: %w", d.Seed, err)
	}
	o, err := emulator.Play{Scenario: x, Audited: true, Decide: s.Decide}.Run(ctx)
	if err != nil {
		return nil, fmt.Errorf("drawn day %d: %w", d.Seed, err)
	}
	f := &Finding{Draft: d, Service: o.Report.Service.All.Share(), Events: o.ClockEvents}
	for i := range o.Report.Verdicts {
		v := &o.Report.Verdicts[i]
		f.LimitFractions[i] = v.LimitFraction
		if !v.Kept() {
			b := v.Violations[0]
			f.Broken = append(f.Broken, fmt.Sprintf("%s: %.2f s %s %s", v.Rule, b.At/1000, b.Who, b.Text))
		}
	}
	return f, nil
}

// Random plays days of many seeds over all cores and returns them by seed.
func (s *Search) Random(ctx context.Context, from, many, endpoints int) ([]*Finding, error) {
	finds := make([]*Finding, many)
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i := range many {
		g.Go(func() error {
			f, err := s.Play(ctx, Draw(from+i, endpoints))
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if finds[i] = f; s.Progress != nil {
				s.Progress(f)
			}
			return nil
		})
	}
	return finds, g.Wait()
}

// Climb changes a draft step by step and keeps what comes nearer to a rule's limit.
func (s *Search) Climb(ctx context.Context, f *Finding, rule audit.Rule, steps int, seed uint64) (*Finding, error) {
	rnd := rand.New(rand.NewPCG(seed, 43))
	best := f
	for range steps {
		next, err := s.Play(ctx, mutate(rnd, best.Draft))
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

// mutate returns a copy with one thing changed.
func mutate(rnd *rand.Rand, d *Draft) *Draft {
	c := *d
	c.Faults = slices.Clone(d.Faults)
	i := 0
	if len(c.Faults) > 0 {
		i = rnd.IntN(len(c.Faults))
	}
	switch k := rnd.IntN(7); {
	case k == 0 || len(c.Faults) == 0:
		c.Faults = append(c.Faults, drawFaults(rnd, &c)...)
	case k == 1 && len(c.Faults) > 1:
		c.Faults = slices.Delete(c.Faults, i, i+1)
	case k == 2:
		c.Faults[i].At = min(max(0, c.Faults[i].At+milliseconds(2000*rnd.NormFloat64())), c.Length-time.Second)
	case k == 3:
		c.Faults[i].For = max(milliseconds(100), time.Duration(float64(c.Faults[i].For)*(0.5+rnd.Float64())))
	case k == 4:
		c.Faults[i].Part = min(1, c.Faults[i].Part*(0.6+rnd.Float64()))
	case k == 5:
		c.Load = min(0.9, max(0.1, c.Load+0.08*rnd.NormFloat64()))
	default:
		c.ListLate = milliseconds(2000 * rnd.Float64())
	}
	c.sortFaults()
	return &c
}

// Shrink takes away all that the breach of a rule does not need: troubles, then their length, then the fleet's size.
func (s *Search) Shrink(ctx context.Context, f *Finding) (*Finding, error) {
	rule, _, _ := strings.Cut(f.Broken[0], ":")
	breaks := func(d *Draft) (*Finding, error) {
		n, err := s.Play(ctx, d)
		if err != nil {
			return nil, err
		}
		for _, b := range n.Broken {
			if strings.HasPrefix(b, rule+":") {
				return n, nil
			}
		}
		return nil, nil
	}
	best := f
	for changed := true; changed; {
		changed = false
		for _, c := range smaller(best.Draft) {
			n, err := breaks(c)
			if err != nil {
				return best, err
			}
			if n != nil {
				best, changed = n, true
				break
			}
		}
	}
	return best, nil
}

// smaller lists drafts with one thing less, the greatest steps first.
func smaller(d *Draft) (list []*Draft) {
	change := func(f func(c *Draft)) {
		c := *d
		c.Faults = slices.Clone(d.Faults)
		f(&c)
		list = append(list, &c)
	}
	for i := range d.Faults {
		change(func(c *Draft) { c.Faults = slices.Delete(c.Faults, i, i+1) })
	}
	if d.Endpoints > 2 {
		change(func(c *Draft) {
			c.Endpoints, c.Proxies = c.Endpoints/2, max(1, c.Proxies/2)
			c.LinesPerS = max(300, c.LinesPerS/2)
		})
	}
	if d.Pilots > 1 {
		change(func(c *Draft) { c.Pilots-- })
	}
	if last := slices.MaxFunc(append([]scenario.Fault{{}}, d.Faults...), func(a, b scenario.Fault) int { return int(a.At + a.For - b.At - b.For) }); last.At+last.For+8*time.Second < d.Length {
		change(func(c *Draft) { c.Length = (last.At + last.For + 6*time.Second).Round(time.Second) })
	}
	for i, t := range d.Faults {
		if t.For > 400*time.Millisecond {
			change(func(c *Draft) { c.Faults[i].For = t.For / 2 })
		}
	}
	return list
}
