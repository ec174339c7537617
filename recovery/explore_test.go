package recovery_test

import (
	"maps"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// rebuild repeats steps from the start.
func rebuild(plant faults, path []string) *world {
	w := newWorld(plant)
	for _, name := range path {
		w.steps()[name]()
	}
	return w
}

// expansion is what one state leads to.
type expansion struct {
	violation string
	children  map[string]string // prints by step
}

func expand(plant faults, path []string) (f expansion) {
	w := rebuild(plant, path)
	steps := w.steps()
	settled := true
	for name := range steps {
		settled = settled && strings.HasPrefix(name, "!")
	}
	if f.violation = w.violationIn(settled); f.violation != "" {
		return f
	}
	f.children = map[string]string{}
	for name := range steps {
		child := rebuild(plant, path)
		child.steps()[name]()
		f.children[name] = child.signature()
	}
	return f
}

// explore visits every state that can be reached, widest first, and returns the shortest way to one that is wrong.
func explore(plant faults, most int) (states int, path []string, wrong string) {
	seen := map[string]bool{}
	level := [][]string{nil}
	for len(level) > 0 && states < most {
		all := make([]expansion, len(level))
		var g errgroup.Group
		g.SetLimit(runtime.GOMAXPROCS(0))
		for i, path := range level {
			g.Go(func() error { all[i] = expand(plant, path); return nil })
		}
		_ = g.Wait() // none fails
		var next [][]string
		for i, f := range all {
			if f.violation != "" {
				return states, level[i], f.violation
			}
			for _, name := range slices.Sorted(maps.Keys(f.children)) {
				if p := f.children[name]; !seen[p] {
					seen[p] = true
					states++
					next = append(next, append(slices.Clone(level[i]), name))
				}
			}
		}
		level = next
	}
	return states, nil, ""
}

// TestExplored visits all orders of steps of recovery and handover, and shows that faults which are planted are found.
func TestExplored(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant faults
		most  int // states; docs/records.md has what all of them came to
		wrong string
	}{
		{"as it ships, with a drain", faults{}, 12_000, ""},
		{"as it ships, with a note", faults{withGossip: true}, 100_000, ""},
		{"the old one goes on without the claim", faults{resumesUnlocked: true}, 100_000, "two processes run the pilot"},
		{"the new one begins without the claim", faults{startsUnlocked: true}, 100_000, "two processes run the pilot"},
		{"what is replayed goes out again", faults{withGossip: true, replaySends: true}, 100_000, "an effect was ordered twice"},
	} {
		t.Run(c.name, func(t *testing.T) {
			states, path, wrong := explore(c.plant, c.most)
			require.Equal(t, c.wrong, wrong, "%v", path)
			if c.wrong == "" {
				assert.Greater(t, states, 10_000)
			}
			t.Logf("%d states, %v", states, path)
		})
	}
}
