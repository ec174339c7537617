package audit

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// baseEvents is a pilot, a proxy that follows it and a warm endpoint x at x:1; y at y:1 is there as well.
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

// TestLimits holds each rule's verdict against its limit, from both sides, on event logs made by hand: within it is
// kept, a little beyond it is broken. A fault in the audit would pass for the program's merit.
func TestLimits(t *testing.T) {
	c := config.CommonDefaults()
	c.Zones, c.Machines, c.Kinds = []string{"a"}, []string{"std"}, []config.RequestClass{
		{Name: "read", Repeats: "replayable", Payoff: 1},
		{Name: "book", Repeats: "non-replayable", Payoff: 5},
	}
	told := func(at float64, endpoint string, phase int, age float64) eventlog.Event {
		return eventlog.Event{
			At: at, Who: "list", What: eventlog.Told, Peer: "pilot-0",
			Text: endpoint, Kind: "a/std", N: phase, Value: age,
		}
	}
	sent := func(at float64) eventlog.Event {
		return eventlog.Event{At: at, Who: "p", What: eventlog.Send, Peer: "x:1", Kind: "read"}
	}
	got := func(at, since, waited float64, lines int) eventlog.Event {
		return eventlog.Event{At: at, Who: "p", What: eventlog.Got, Peer: "pilot-0", N: lines, Since: since, Value: waited}
	}
	bare := func(from, to float64) []eventlog.Event {
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
	cold := func(began, first, work float64, n int, knows bool) (list []eventlog.Event) {
		list = append(list, eventlog.Event{At: began, Who: "y", What: eventlog.Start, Kind: "cold", Value: 1})
		if knows {
			list = append(list, told(began+10, "y:1", wire.PhaseReady, 10))
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
			list = append(list, got(at, at-1, 1, 5))
		}
		return list
	}
	// at 12 s of 15 a cold endpoint does 0.2+0.8*12/15 of its 1 ms a ms: 3 times that for 1.5 s are 3,780 ms, and 4
	// requests of slack
	const bearable = 94 // of 40 ms each
	for _, x := range []struct {
		name   string
		rule   Rule
		broken bool
		events []eventlog.Event
	}{
		{"bare for less than it may be", EndpointCoverage, false, bare(1000, 3900)},
		{"bare for longer", EndpointCoverage, true, bare(1000, 4200)},
		{"bare twice, each for less", EndpointCoverage, false, append(bare(1000, 3500), bare(3600, 6000)...)},
		{
			"bare while no warm one is listed", EndpointCoverage, false,
			append([]eventlog.Event{told(500, "x:1", wire.PhaseDraining, -1)}, bare(1000, 9000)...),
		},
		{
			"bare while only a cold one is listed", EndpointCoverage, false,
			append([]eventlog.Event{told(500, "x:1", wire.PhaseReady, 10)}, bare(1000, 9000)...),
		},
		{
			"bare once the cold one is warm", EndpointCoverage, true,
			append([]eventlog.Event{told(500, "x:1", wire.PhaseReady, 10)}, bare(1000, 19000)...),
		},
		{
			"bare while it has no pilot", EndpointCoverage, false,
			append([]eventlog.Event{{At: 900, Who: "p", What: eventlog.Leave, Peer: "pilot-0"}}, bare(1000, 9000)...),
		},
		{"one effect", SingleEffect, false, effects("book", 1)},
		{"two effects", SingleEffect, true, effects("book", 2)},
		{"two of a replayable kind", SingleEffect, false, effects("read", 2)},
		{"a drain kept", DrainDeadline, false, []eventlog.Event{told(1000, "x:1", wire.PhaseDraining, -1), sent(2990)}},
		{
			"a drain broken", DrainDeadline, true,
			[]eventlog.Event{told(1000, "x:1", wire.PhaseDraining, -1), sent(3010)},
		},
		{"gone, broken", DrainDeadline, true, []eventlog.Event{told(1000, "x:1", wire.PhaseGone, -1), sent(3010)}},
		{
			"back again", DrainDeadline, false,
			[]eventlog.Event{told(1000, "x:1", wire.PhaseDraining, -1), told(2000, "x:1", wire.PhaseReady, -1), sent(3500)},
		},
		{"named by the whole list", DrainDeadline, false, []eventlog.Event{
			{At: 1000, Who: "list", What: eventlog.Told, Peer: "pilot-0", N: -1},
			told(1000, "x:1", wire.PhaseReady, -1), sent(3500),
		}},
		{
			"not named by the whole list", DrainDeadline, true,
			[]eventlog.Event{{At: 1000, Who: "list", What: eventlog.Told, Peer: "pilot-0", N: -1}, sent(3500)},
		},
		{"joined since", DrainDeadline, false, []eventlog.Event{
			told(1000, "x:1", wire.PhaseDraining, -1),
			{At: 2500, Who: "p", What: eventlog.Join, Peer: "pilot-0", Kind: "a"},
			sent(4400),
		}},
		{
			"while it is cut off", DrainDeadline, false,
			[]eventlog.Event{
				told(1000, "x:1", wire.PhaseDraining, -1),
				{At: 1500, Who: "links", What: eventlog.Cut, Peer: "p"},
				sent(4400),
			},
		},
		{"a cold one bears it", SlowStartBudget, false, cold(1000, 12000, 40, bearable, true)},
		{"a cold one pushed over", SlowStartBudget, true, cold(1000, 12000, 40, bearable+14, true)},
		{"by proxies whose pilot can't know", SlowStartBudget, false, cold(1000, 12000, 40, bearable+14, false)},
		{"just before it is warm", SlowStartBudget, true, cold(1000, 13500, 40, 140, true)},
		{"once it is warm", SlowStartBudget, false, cold(1000, 15001, 40, 400, true)},
		{
			"spread over more than the span", SlowStartBudget, false,
			append(cold(1000, 11000, 40, 60, true), cold(1000, 13000, 40, 60, true)[2:]...),
		},
		{
			"as many lines as may wait", ChannelQueue, false,
			[]eventlog.Event{got(200, 100, 100, 3000), got(250, 100, 150, 3000)},
		},
		{"more lines", ChannelQueue, true, []eventlog.Event{got(200, 100, 100, 3000), got(250, 100, 150, 3001)}},
		{
			"more, one after the other", ChannelQueue, false,
			[]eventlog.Event{got(200, 100, 100, 3000), got(300, 200, 100, 3001)},
		},
		{"as many messages as may be", ChannelQueue, false, messages(30, 100)},
		{"more messages", ChannelQueue, true, messages(31, 300)},
		{"more, over a longer time", ChannelQueue, false, messages(60, 350)},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := Check(append(baseEvents(), x.events...), &c, map[string]string{"x:1": "x", "y:1": "y"})
			for i := range r.Verdicts {
				v := &r.Verdicts[i]
				assert.Equal(t, x.broken && v.Rule == x.rule, !v.Kept(), "%s: %v", v.Rule, v.Violations)
			}

			if x.broken {
				assert.Contains(t, fmt.Sprint(r.Verdicts[x.rule].Worst), "s ", "says when")
			}
		})
	}
}
