package planner

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSendWindowInAllOrders explores all orders of calls, losses, repetitions, merged calls and late or lost
// acknowledgements in a small model of the channel. In every state, the lines in flight must not be fewer than the
// lines in the channel, and one acknowledged probe must bring them to 0. The budgets are chosen so that the test takes
// seconds; a budget of {2, 2, 2, 1} has 3,718,914 states and takes five minutes (run on 2026-12-02).
func TestSendWindowInAllOrders(t *testing.T) {
	for _, c := range []struct {
		budget    stepBudget
		minStates int // the model must have more states than this
	}{
		{stepBudget{writes: 2, unansweredCalls: 2}, 1000},
		{stepBudget{writes: 2, unansweredCalls: 1, lostAcks: 1}, 1000},
		{stepBudget{writes: 1, unansweredCalls: 1, lostAcks: 2, probes: 1}, 1000},
	} {
		t.Run(fmt.Sprintf("%+v", c.budget), func(t *testing.T) {
			t.Parallel()
			assert.Greater(t, exploreWindow(t, &channelModel{acked: map[[2]int]bool{}, remaining: c.budget}), c.minStates)
		})
	}
}

// exploreWindow checks all states reachable from start and returns their number.
func exploreWindow(t *testing.T, start *channelModel) int {
	visited := map[string]bool{start.key(): true}
	unexplored := []*channelModel{start}
	for len(unexplored) > 0 {
		m := unexplored[len(unexplored)-1]
		unexplored = unexplored[:len(unexplored)-1]
		if !m.resendPending() {
			require.LessOrEqual(t, m.inChannel(), m.window.inFlight(), "%s", m.key())
		}
		settled := m.clone()
		settled.settle()
		settled.write(map[int]int{0: 1})
		settled.settle()
		require.Zero(t, settled.window.inFlight(), "after a probe, from %s", m.key())
		for _, next := range m.steps() {
			if key := next.key(); !visited[key] {
				visited[key] = true
				unexplored = append(unexplored, next)
			}
		}
	}
	t.Log(len(visited), "states")
	return len(visited)
}

// TestProbeBackoff checks the wait before a probe: it starts at the latest acknowledgement or batch and doubles with
// each unacknowledged probe, up to a limit.
func TestProbeBackoff(t *testing.T) {
	w := sendWindow{}
	w.add(9)
	number := w.seal(1000, map[int]float64{3: 9})
	assert.Equal(t, 1500.0, w.nextProbeAt(500))
	for _, wait := range []float64{1000, 2000, 4000, 8000, 8000} {
		w.countProbe()
		assert.Equal(t, 1000+wait, w.nextProbeAt(500))
	}
	w.stall(2000, 700)
	w.stall(3000, 0)
	assert.Equal(t, 1000+8000.0, w.nextProbeAt(500), "a stall does not reset the wait")
	_, known := w.acknowledge(4000, number, 3)
	assert.True(t, known)
	assert.Equal(t, 4500.0, w.nextProbeAt(500))
	assert.Zero(t, w.inFlight())
}

// TestAckNumbersDiffer checks that batches sealed within one millisecond get different numbers. With equal numbers, an
// acknowledgement of the older batch would count for the newer one.
func TestAckNumbersDiffer(t *testing.T) {
	w := sendWindow{}
	numbers := map[int]bool{}
	for range 5 {
		w.add(1)
		numbers[w.seal(math.Trunc(7.9), map[int]float64{1: 1})] = true
	}
	assert.Len(t, numbers, 5)
}
