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

// The tests in this file check the handover and the recovery by exploring a model of the system: two processes of one
// controller, three proxies, one change of the endpoint list or one gossip message, at most one crash and at most one
// lost connection. They execute every possible order of steps and skip states that were visited before. The state
// machines, the controller, the recorder and the routing tables are the production code; only sockets, disk and lock
// are simulated.

// rebuild returns the state that a path of steps leads to from the initial state.
func rebuild(injected faults, path []string) *system {
	w := newSystem(injected)
	for _, name := range path {
		w.steps()[name]()
	}
	return w
}

// expansion is the result of checking one state and executing each of its possible steps.
type expansion struct {
	violation string            // "" if the state is valid
	children  map[string]string // signatures of the following states, by step name
}

// expand checks the state that a path leads to and executes each step that is possible in it.
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

// expandAll expands the states that paths lead to, with one goroutine per processor.
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
	_ = g.Wait() // the goroutines return no errors
	return all
}

// explore visits the reachable states breadth first until it finds a violation or has visited about maxStates. It
// returns the number of visited states, and the shortest path to a violation and its description, if there is one.
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

// TestNoViolationInReachableStates checks that no order of steps of a recovery or handover violates the invariants, and
// that the explorer finds the violations that injected faults cause.
func TestNoViolationInReachableStates(t *testing.T) {
	for _, c := range []struct {
		name      string
		injected  faults
		maxStates int // docs/records.md reports the results without this limit
		want      string
	}{
		{"no fault, with a drain", faults{}, 12_000, ""},
		{"no fault, with gossip", faults{withGossip: true}, 100_000, ""},
		{
			"predecessor resumes without the lock",
			faults{resumesUnlocked: true},
			100_000,
			"two processes run the controller",
		},
		{
			"successor starts without the lock",
			faults{startsUnlocked: true},
			100_000,
			"two processes run the controller",
		},
		{
			"replayed commands are sent again",
			faults{withGossip: true, replaySends: true},
			100_000,
			"gossip was sent twice",
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
