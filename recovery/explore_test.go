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

// The explorer takes two processes of one controller, three proxies, one change of the endpoint list or one gossip
// between controllers, one crash and one lost connection through every order in which their steps can fall, up to
// states that were met before. The state machines, the controller, the record's turns and the proxies' tables are those
// that ship; only sockets, disk and lock are the explorer's.

// rebuild repeats steps from the start.
func rebuild(injected faults, path []string) *system {
	w := newSystem(injected)
	for _, name := range path {
		w.steps()[name]()
	}
	return w
}

// expansion is what one state leads to.
type expansion struct {
	violation string
	children  map[string]string // signatures by step
}

func expand(injected faults, path []string) expansion {
	w := rebuild(injected, path)
	steps := w.steps()
	settled := true
	for name := range steps {
		settled = settled && strings.HasPrefix(name, "!")
	}
	if violation := w.violationIn(settled); violation != "" {
		return expansion{violation: violation}
	}
	children := map[string]string{}
	for name := range steps {
		child := rebuild(injected, path)
		child.steps()[name]()
		children[name] = child.signature()
	}
	return expansion{children: children}
}

// expandAll expands the states that paths lead to, as many at once as there are processors.
func expandAll(injected faults, paths [][]string) []expansion {
	all := make([]expansion, len(paths))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, path := range paths {
		g.Go(func() error {
			all[i] = expand(injected, path)
			return nil
		})
	}
	_ = g.Wait() // none fails
	return all
}

// explore visits every state that can be reached, breadth first, up to about maxStates, and returns how many there
// were, and the shortest path to a state with a violation.
func explore(injected faults, maxStates int) (states int, path []string, violation string) {
	seen := map[string]bool{}
	level := [][]string{nil}
	for len(level) > 0 && states < maxStates {
		var next [][]string
		for i, e := range expandAll(injected, level) {
			if e.violation != "" {
				return states, level[i], e.violation
			}
			for _, name := range slices.Sorted(maps.Keys(e.children)) {
				signature := e.children[name]
				if seen[signature] {
					continue
				}
				seen[signature] = true
				states++
				next = append(next, append(slices.Clone(level[i]), name))
			}
		}
		level = next
	}
	return states, nil, ""
}

// TestExplored visits all orders of steps of recovery and handover, and shows that faults which are injected are found.
func TestNoViolationInReachableStates(t *testing.T) {
	for _, c := range []struct {
		name      string
		injected   faults
		maxStates int // docs/records.md has what all of them came to
		want      string
	}{
		{"as it ships, with a drain", faults{}, 12_000, ""},
		{"as it ships, with a note", faults{withGossip: true}, 100_000, ""},
		{
			"the old one goes on without the claim",
			faults{resumesUnlocked: true},
			100_000,
			"two processes run the pilot",
		},
		{"the new one begins without the claim", faults{startsUnlocked: true}, 100_000, "two processes run the pilot"},
		{
			"what is replayed goes out again",
			faults{withGossip: true, replaySends: true},
			100_000,
			"an effect was ordered twice",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			states, path, violation := explore(c.injected, c.maxStates)
			require.Equal(t, c.want, violation, "%v", path)
			if c.want == "" {
				assert.Greater(t, states, 10_000)
			}
			t.Logf("%d states, %v", states, path)
		})
	}
}
