package audit

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// baseEvents returns the events that all cases begin with: a pilot, a proxy p that has joined it, and a warm endpoint x
// at address x:1, which the pilot knows and the proxy has in its tables.
func baseEvents() []eventlog.Event {
	return []eventlog.Event{
		{At: 0, Who: "pilot-0", What: eventlog.Start, Kind: "pilot", Text: "a"},
		{At: 1, Who: "x", What: eventlog.Start, Kind: "warm", Value: 1},
		{At: 1, Who: "list", What: eventlog.Told, Peer: "pilot-0", Text: "x:1", Kind: "a/std", Value: -1},
		{At: 2, Who: "p", What: eventlog.Join, Peer: "pilot-0", Kind: "a"},
		{At: 3, Who: "p", What: eventlog.Lines, Kind: "read", N: 2},
		{At: 3, Who: "p", What: eventlog.Lines, Kind: "book", N: 2},
	}
}

// TestLimits checks each rule on handwritten event logs just within and just beyond its limit: the first must be kept,
// the second violated. An audit that misses violations would make a faulty pilot pass.
func TestLimits(t *testing.T) {
	c := config.CommonDefaults()
	c.Zones, c.Machines, c.Kinds = []string{"a"}, []string{"std"}, []config.RequestClass{
		{Name: "read", Repeats: "replayable", Payoff: 1},
		{Name: "book", Repeats: "non-replayable", Payoff: 5},
	}
	listed := func(at float64, endpoint string, phase int, age float64) eventlog.Event {
		return eventlog.Event{
			At: at, Who: "list", What: eventlog.Told, Peer: "pilot-0",
			Text: endpoint, Kind: "a/std", N: phase, Value: age,
		}
	}
	sent := func(at float64) eventlog.Event {
		return eventlog.Event{At: at, Who: "p", What: eventlog.Send, Peer: "x:1", Kind: "read"}
	}
	received := func(at, since, waited float64, lines int) eventlog.Event {
		return eventlog.Event{At: at, Who: "p", What: eventlog.Got, Peer: "pilot-0", N: lines, Since: since, Value: waited}
	}
	withoutEndpoints := func(from, to float64) []eventlog.Event {
		return []eventlog.Event{
			{At: from, Who: "p", What: eventlog.Lines, Kind: "book", N: 0},
			{At: to, Who: "p", What: eventlog.Lines, Kind: "book", N: 1},
		}
	}
	effects := func(kind string, n int) (list []eventlog.Event) {
		for i := range n {
			list = append(list, eventlog.Event{At: 100 + float64(i), Who: "x", What: eventlog.Effect, Kind: kind, Req: 7})
		}
		return list
	}
	warmUp := func(began, first, work float64, n int, informed bool) (list []eventlog.Event) {
		list = append(list, eventlog.Event{At: began, Who: "y", What: eventlog.Start, Kind: "cold", Value: 1})
		if informed {
			list = append(list, listed(began+10, "y:1", wire.PhaseReady, 10))
		}
		for i := range n {
			at := began + first + float64(i)*10
			list = append(list, eventlog.Event{At: at, Who: "y", What: eventlog.Arrive, Peer: "p", Kind: "read", Value: work})
		}
		return list
	}
	messages := func(n int, apart float64) (list []eventlog.Event) {
		for i := range n {
			at := 100 + float64(i)*apart
			list = append(list, received(at, at-1, 1, 5))
		}
		return list
	}
	// At 12 s of its 15 s warm-up an endpoint has 0.2+0.8*12/15 of its capacity of 1 ms of work per ms. The budget is 3
	// times that over 1.5 s, which is 3,780 ms, and 4 requests of slack.
	const maxRequestsInBudget = 94 // largest number of requests of 40 ms within the budget
	for _, x := range []struct {
		name   string
		rule   Rule
		broken bool
		events []eventlog.Event
	}{
		{"no endpoint, within the limit", EndpointCoverage, false, withoutEndpoints(1000, 3900)},
		{"no endpoint, beyond the limit", EndpointCoverage, true, withoutEndpoints(1000, 4200)},
		{
			"no endpoint twice, each within the limit", EndpointCoverage, false,
			append(withoutEndpoints(1000, 3500), withoutEndpoints(3600, 6000)...),
		},
		{
			"no endpoint while none is ready", EndpointCoverage, false,
			append([]eventlog.Event{listed(500, "x:1", wire.PhaseDraining, -1)}, withoutEndpoints(1000, 9000)...),
		},
		{
			"no endpoint while the only one warms up", EndpointCoverage, false,
			append([]eventlog.Event{listed(500, "x:1", wire.PhaseReady, 10)}, withoutEndpoints(1000, 9000)...),
		},
		{
			"no endpoint after the only one warmed up", EndpointCoverage, true,
			append([]eventlog.Event{listed(500, "x:1", wire.PhaseReady, 10)}, withoutEndpoints(1000, 19000)...),
		},
		{
			"no endpoint while the proxy has no pilot", EndpointCoverage, false,
			append(
				[]eventlog.Event{{At: 900, Who: "p", What: eventlog.Leave, Peer: "pilot-0"}},
				withoutEndpoints(1000, 9000)...,
			),
		},
		{"one effect", SingleEffect, false, effects("book", 1)},
		{"two effects", SingleEffect, true, effects("book", 2)},
		{"two effects of a replayable class", SingleEffect, false, effects("read", 2)},
		{
			"sent before the drain deadline", DrainDeadline, false,
			[]eventlog.Event{listed(1000, "x:1", wire.PhaseDraining, -1), sent(2990)},
		},
		{
			"sent after the drain deadline", DrainDeadline, true,
			[]eventlog.Event{listed(1000, "x:1", wire.PhaseDraining, -1), sent(3010)},
		},
		{
			"sent to a removed endpoint", DrainDeadline, true,
			[]eventlog.Event{listed(1000, "x:1", wire.PhaseGone, -1), sent(3010)},
		},
		{
			"sent to an endpoint that is ready again", DrainDeadline, false,
			[]eventlog.Event{listed(1000, "x:1", wire.PhaseDraining, -1), listed(2000, "x:1", wire.PhaseReady, -1), sent(3500)},
		},
		{"sent to an endpoint in the snapshot", DrainDeadline, false, []eventlog.Event{
			{At: 1000, Who: "list", What: eventlog.Told, Peer: "pilot-0", N: -1},
			listed(1000, "x:1", wire.PhaseReady, -1), sent(3500),
		}},
		{
			"sent to an endpoint missing from the snapshot", DrainDeadline, true,
			[]eventlog.Event{{At: 1000, Who: "list", What: eventlog.Told, Peer: "pilot-0", N: -1}, sent(3500)},
		},
		{"sent by a proxy that joined during the drain", DrainDeadline, false, []eventlog.Event{
			listed(1000, "x:1", wire.PhaseDraining, -1),
			{At: 2500, Who: "p", What: eventlog.Join, Peer: "pilot-0", Kind: "a"},
			sent(4400),
		}},
		{
			"sent while the proxy is cut off", DrainDeadline, false,
			[]eventlog.Event{
				listed(1000, "x:1", wire.PhaseDraining, -1),
				{At: 1500, Who: "links", What: eventlog.Cut, Peer: "p"},
				sent(4400),
			},
		},
		{"work within the warm-up budget", SlowStartBudget, false, warmUp(1000, 12000, 40, maxRequestsInBudget, true)},
		{"work beyond the warm-up budget", SlowStartBudget, true, warmUp(1000, 12000, 40, maxRequestsInBudget+14, true)},
		{"start unknown to the pilot", SlowStartBudget, false, warmUp(1000, 12000, 40, maxRequestsInBudget+14, false)},
		{"overload at the end of the warm-up", SlowStartBudget, true, warmUp(1000, 13500, 40, 140, true)},
		{"overload after the warm-up", SlowStartBudget, false, warmUp(1000, 15001, 40, 400, true)},
		{
			"work spread over more than the span", SlowStartBudget, false,
			append(warmUp(1000, 11000, 40, 60, true), warmUp(1000, 13000, 40, 60, true)[2:]...),
		},
		{
			"as many lines as the queue limit", ChannelQueue, false,
			[]eventlog.Event{received(200, 100, 100, 3000), received(250, 100, 150, 3000)},
		},
		{
			"more lines than the queue limit", ChannelQueue, true,
			[]eventlog.Event{received(200, 100, 100, 3000), received(250, 100, 150, 3001)},
		},
		{
			"more lines, but not queued together", ChannelQueue, false,
			[]eventlog.Event{received(200, 100, 100, 3000), received(300, 200, 100, 3001)},
		},
		{"as many messages as the limit", ChannelQueue, false, messages(30, 100)},
		{"more messages than the limit", ChannelQueue, true, messages(31, 300)},
		{"more messages over a longer time", ChannelQueue, false, messages(60, 350)},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := Check(append(baseEvents(), x.events...), &c, map[string]string{"x:1": "x", "y:1": "y"})
			for i := range r.Verdicts {
				v := &r.Verdicts[i]
				assert.Equal(t, x.broken && v.Rule == x.rule, !v.Kept(), "%s: %v", v.Rule, v.Violations)
			}

			if x.broken {
				assert.Contains(t, fmt.Sprint(r.Verdicts[x.rule].Worst), "s ", "the description contains the time")
			}
		})
	}
}
