package planner

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSendWindowInAllOrders visits all orders of calls, losses, repetitions, merged calls and late or lost
// acknowledgements in small. The account is never under what waits in the channel, and from everywhere one
// acknowledged probe empties it. The limits are those of seconds; {2, 2, 2, 1} has 3,718,914 states and takes five
// minutes (played on 2026-12-02).
func TestSendWindowInAllOrders(t *testing.T) {
	for _, c := range []struct {
		budget    stepBudget
		minStates int // states
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

// exploreWindow checks all states that can be reached and returns how many there are.
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

// TestProbeBackoff guards the wait before a probe: it runs from the last sign of life and doubles while none comes,
// to a limit.
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
	assert.Equal(t, 1000+8000.0, w.nextProbeAt(500), "a stall is no sign of life")
	_, known := w.acknowledge(4000, number, 3)
	assert.True(t, known)
	assert.Equal(t, 4500.0, w.nextProbeAt(500))
	assert.Zero(t, w.inFlight())
}

// TestAckNumbersDiffer guards requests for an acknowledgement in one millisecond: were their numbers one, an
// acknowledgement of the older would count for the newer.
func TestAckNumbersDiffer(t *testing.T) {
	w := sendWindow{}
	numbers := map[int]bool{}
	for range 5 {
		w.add(1)
		numbers[w.seal(math.Trunc(7.9), map[int]float64{1: 1})] = true
	}
	assert.Len(t, numbers, 5)
}
