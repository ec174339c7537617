package controller

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/internal/wire"
)

// TestMassDrain checks that 98 endpoints can be drained at once within the grace period and the backlog limit. One
// pilot serves all 397 proxies; in most cases half of them join late because their pilot died.
func TestMassDrain(t *testing.T) {
	for _, c := range []struct {
		name          string
		joinedMs      float64 // when the other pilot's proxies join
		drainedMs     float64 // when the drains start
		pace, backlog float64 // in lines per second and in lines
	}{
		{"all proxies have their tables", 0, 40000, 4300, 14000},
		{"half of the proxies have just joined", 30000, 31500, 4300, 14000},
		{"half of the new proxies have their tables", 30000, 37000, 4300, 14000},
		{"a slower channel", 30000, 36000, 3700, 14000},
	} {
		t.Run(c.name, func(t *testing.T) {
			const grace = 5000.0
			f, entries := newFleet(359, 397, c.pace, c.backlog, grace)
			f.join(f.proxies[:200], entries)
			f.advanceTo(c.joinedMs)
			f.join(f.proxies[200:], entries)
			f.advanceTo(c.drainedMs)
			var drained []wire.Entry
			for i := range 98 {
				e := entries[i*3+i%3]
				e.Phase = wire.PhaseDraining
				drained = append(drained, e)
			}
			before := f.core.Channel.MaxLines
			f.handle(listed(false, drained...))
			drainedAt := f.nowMs
			lastAt := map[string]float64{}
			for f.nowMs < drainedAt+3*grace {
				f.advanceTo(f.nowMs + 50)
				for _, p := range f.proxies {
					for _, e := range drained {
						if p.router.Eligible(0, e.Endpoint) {
							lastAt[p.name+" "+e.Endpoint] = f.nowMs
						}
					}
				}
			}
			worst := 0.0
			for _, at := range lastAt {
				worst = max(worst, at-drainedAt)
			}
			t.Logf("longest drain %.0f ms, max lines %d (before the drains %d), max messages to one proxy %d",
				worst, f.core.Channel.MaxLines, before, f.core.Channel.MaxMessages)
			assert.LessOrEqual(t, worst, grace)
			assert.LessOrEqual(t, float64(f.core.Channel.MaxLines), c.backlog)
			assert.LessOrEqual(t, f.core.Channel.MaxMessages, 30)
		})
	}
}

// TestDrainsHeldAcrossZones checks that exclusions reach proxies that join from another pilot and hold draining
// endpoints of a zone other than their own. They used to be repeated only while proxies of the endpoint's own zone
// waited for their tables (incident 020, scenario ha15185).
func TestDrainsHeldAcrossZones(t *testing.T) {
	const grace = 5000.0
	f, entries := newFleet(359, 397, 3000, 14000, grace)
	var joinedEarly, joinedLate []*fleetProxy
	for _, p := range f.proxies {
		if p.zone == "a" {
			joinedLate = append(joinedLate, p)
		} else {
			joinedEarly = append(joinedEarly, p)
		}
	}
	f.join(joinedEarly, entries)
	f.advanceTo(60000)
	var drained []wire.Entry
	var crossZone []wire.Entry
	for i, e := range entries {
		if e.Zone == "b" && i < 60 {
			e.Phase = wire.PhaseDraining
			drained = append(drained, e)
			e.Zone = "a" // the joining proxies of zone a hold it in addition to their own
			crossZone = append(crossZone, e)
		}
	}
	f.handle(listed(false, drained...))
	f.advanceTo(60300)
	f.join(joinedLate, append(crossZone, entries...))
	worst := 0.0
	for f.nowMs < 75000 {
		f.advanceTo(f.nowMs + 50)
		for _, p := range f.proxies {
			if slices.ContainsFunc(drained, func(e wire.Entry) bool { return p.router.Eligible(0, e.Endpoint) }) {
				worst = f.nowMs - 60300
			}
		}
	}
	t.Logf("longest drain %.0f ms, max lines %d", worst, f.core.Channel.MaxLines)
	assert.LessOrEqual(t, worst, grace)
	assert.LessOrEqual(t, f.core.Channel.MaxLines, 14000)
}

// TestWholeZoneDrained checks that proxies keep eligible endpoints when all endpoints of their zone drain at once. One
// pilot serves all 397 proxies, half of which may have just joined. Lines that replace drained ones must be sent before
// others, proxies without any line must get their tables first, and the queue must stay within the backlog. The planner
// used to count a message with a single exclusion without its overhead.
func TestWholeZoneDrained(t *testing.T) {
	for _, c := range []struct {
		name          string
		joinedMs      float64
		drainedMs     float64
		pace, backlog float64
		maxBareMs     float64 // longest time in ms for which a proxy may have no eligible endpoint
		// expectLate is true if the drains are expected to exceed the grace period: the channel cannot carry the
		// required lines twice within it (docs/review-of-parts.md).
		expectLate bool
	}{
		{"all proxies have their tables", 0, 40000, 4300, 14000, 500, false},
		{"half of the new proxies have their tables", 30000, 37000, 4300, 14000, 500, false},
		{"a slow channel", 0, 40000, 1500, 4000, 1500, true},
		{"half of the proxies have just joined", 30000, 31500, 4300, 14000, 4000, true},
		{"half of the proxies have joined, a slow channel", 30000, 36000, 2000, 14000, 4000, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, entries := newFleet(359, 397, c.pace, c.backlog, 5000)
			f.join(f.proxies[:200], entries)
			f.advanceTo(c.joinedMs)
			f.join(f.proxies[200:], entries)
			f.advanceTo(c.drainedMs)
			var drained []wire.Entry
			for _, e := range entries {
				if e.Zone == "a" {
					e.Phase = wire.PhaseDraining
					drained = append(drained, e)
				}
			}
			f.handle(listed(false, drained...))
			drainedAt, bareSince, worstBare, lastDrain := f.nowMs, map[string]float64{}, 0.0, 0.0
			for f.nowMs < drainedAt+15000 {
				f.advanceTo(f.nowMs + 50)
				for _, p := range f.proxies {
					if slices.ContainsFunc(drained, func(e wire.Entry) bool { return p.router.Eligible(0, e.Endpoint) }) {
						lastDrain = f.nowMs - drainedAt
					}
					if slices.ContainsFunc(entries, func(e wire.Entry) bool { return p.router.Eligible(0, e.Endpoint) }) {
						delete(bareSince, p.name)
					} else if _, was := bareSince[p.name]; !was {
						bareSince[p.name] = f.nowMs
					} else {
						worstBare = max(worstBare, f.nowMs-bareSince[p.name])
					}
				}
			}
			t.Logf("no eligible endpoint for %.0f ms, last drain after %.0f ms, max lines %d",
				worstBare, lastDrain, f.core.Channel.MaxLines)
			assert.LessOrEqual(t, worstBare, c.maxBareMs)
			assert.Equal(t, c.expectLate, lastDrain > 5000, "last drain after %.0f ms", lastDrain)
			assert.LessOrEqual(t, float64(f.core.Channel.MaxLines), c.backlog)
		})
	}
}

// TestDrainsAfterLostAcks checks that drains proceed after acks have been lost (incident 029). The planner still counts
// the lines as queued although the channel is empty and no more acks will come. It must send an ack request to one
// proxy to correct its count.
func TestDrainsAfterLostAcks(t *testing.T) {
	const grace, backlog = 3000.0, 1200.0
	f, entries := newFleet(30, 80, 800, backlog, grace)
	f.delayMs = 150
	f.join(f.proxies, entries)
	f.advanceTo(40000)
	drain := func(from int) (drained []wire.Entry) {
		for _, e := range entries[from : from+3] { // one of each zone
			e.Phase = wire.PhaseDraining
			drained = append(drained, e)
		}
		f.handle(listed(false, drained...))
		return drained
	}
	f.dropAcks = true
	for i := range 4 { // more lines than the backlog allows unless acks free space
		drain(3 * i)
		f.advanceTo(f.nowMs + 1500)
	}
	f.dropAcks = false
	drainedAt, drained, lastDrain := f.nowMs, drain(12), 0.0
	for f.nowMs < drainedAt+10000 {
		f.advanceTo(f.nowMs + 50)
		for _, p := range f.proxies {
			if slices.ContainsFunc(drained, func(e wire.Entry) bool { return p.router.Eligible(0, e.Endpoint) }) {
				lastDrain = f.nowMs - drainedAt
			}
		}
	}
	t.Logf("last drain after %.0f ms, max lines %d", lastDrain, f.core.Channel.MaxLines)
	assert.LessOrEqual(t, lastDrain, grace)
	assert.LessOrEqual(t, float64(f.core.Channel.MaxLines), backlog)
}

// TestDrainsWithLateJoiners checks drains when two groups of proxies join after the drains have started, with tables
// from a pilot that did not know of the drains. Each proxy must stop using draining endpoints within the grace period
// after it has joined.
func TestDrainsWithLateJoiners(t *testing.T) {
	const grace = 5000.0
	f, entries := newFleet(359, 397, 3000, 14000, grace)
	f.join(f.proxies[:200], entries)
	f.advanceTo(30000)
	var drained []wire.Entry
	for i := 0; i < len(entries); i += 12 {
		e := entries[i]
		e.Phase = wire.PhaseDraining
		drained = append(drained, e)
	}
	f.handle(listed(false, drained...))
	joinedAt := map[string]float64{}
	for _, group := range []struct {
		at   float64
		some []*fleetProxy
	}{{30200, f.proxies[200:300]}, {31500, f.proxies[300:]}} {
		f.advanceTo(group.at)
		f.join(group.some, entries)
		for _, p := range group.some {
			joinedAt[p.name] = f.nowMs
		}
	}
	worst := 0.0
	for f.nowMs < 50000 {
		f.advanceTo(f.nowMs + 50)
		for _, p := range f.proxies {
			if slices.ContainsFunc(drained, func(e wire.Entry) bool { return p.router.Eligible(0, e.Endpoint) }) {
				worst = max(worst, f.nowMs-max(30000, joinedAt[p.name]))
			}
		}
	}
	t.Logf("longest drain %.0f ms, max lines %d", worst, f.core.Channel.MaxLines)
	assert.LessOrEqual(t, worst, grace)
	assert.LessOrEqual(t, f.core.Channel.MaxLines, 14000)
}

// TestReleaseWithAllAtOnePilot checks drains when four of five pilots die during a release and all proxies join the
// fifth. Its channel carries only three lines per second for each proxy. Exclusions sent one by one to proxies that
// waited for their tables used to fill the channel: no tables were assigned for 15 s, and draining endpoints still got
// requests 7.5 s later (incident 025, scenario herd+mass with seed 1).
func TestReleaseWithAllAtOnePilot(t *testing.T) {
	const grace, backlog = 7200.0, 4800
	f, entries := newFleet(200, 240, 800, backlog, grace, func(settings map[string]any) {
		settings["conns_least"], settings["zones"] = 60.0, []any{"a", "b", "c"} // each zone has several tables
	})
	initialTable := func(i int) (held []wire.Entry) { // endpoints in a table from another pilot
		for k := range 60 {
			held = append(held, entries[(i*13+k)%len(entries)])
		}
		return held
	}
	f.join(f.proxies[:54], entries)
	f.advanceTo(30000)
	joinedAt, drainedAt, left := map[string]float64{}, map[string]float64{}, f.proxies[54:]
	worst := 0.0
	for step := 0; f.nowMs < 60000; step++ {
		f.advanceTo(f.nowMs + 50)
		if n := min(len(left), 4); n > 0 { // 80 proxies per second
			for i, p := range left[:n] {
				f.join([]*fleetProxy{p}, initialTable(len(left)+i))
				joinedAt[p.name] = f.nowMs
			}
			left = left[n:]
		}
		if wave := step / 40; step%40 == 30 && wave < 4 { // every two seconds, new endpoints replace running ones
			var changed []wire.Entry
			for i := wave; i < len(entries) && wave < 3; i += 7 {
				e := entries[i]
				e.Phase, drainedAt[e.Endpoint] = wire.PhaseDraining, f.nowMs
				successor := wire.Entry{
					Endpoint: fmt.Sprint("n", i), Zone: e.Zone, Machine: "std", Weight: 1,
					Started: uint64(f.nowMs) + 1,
				}
				changed = append(changed, e, successor)
			}
			f.handle(listed(false, changed...))
		}
		worst = max(worst, f.longestHeldMs(drainedAt, joinedAt))
	}
	t.Logf("longest drain %.0f ms, max lines %d", worst, f.core.Channel.MaxLines)
	assert.LessOrEqual(t, worst, grace)
	assert.LessOrEqual(t, f.core.Channel.MaxLines, backlog)
}

// TestDrainsWithInitialTables checks drains when the planner leaves all proxies on their static tables, because random
// load imbalance is small with so many proxies. Each proxy then gets each exclusion in a separate message, and the
// channel can carry only a few exclusions to all proxies within the grace period.
func TestDrainsWithInitialTables(t *testing.T) {
	const grace, backlog = 56300.0, 43700
	for name, c := range map[string]struct {
		drains, intervalMs int // number of drains, and the time between them in ms
	}{
		"one drain": {1, 0}, "ten drains, 1 s apart": {10, 1000}, "thirty drains, 300 ms apart": {30, 300},
	} {
		t.Run(name, func(t *testing.T) {
			f, entries := newFleet(240, 640, 800, backlog, grace, func(settings map[string]any) {
				settings["instances"], settings["proxy_count"], settings["standing"] = 5.0, 2400.0, 5.0
				settings["conns_least"], settings["zones"] = 60.0, []any{"a", "b", "c"}
			})
			for _, p := range f.proxies {
				p.zone = "a"
			}
			f.join(f.proxies, entries)
			f.advanceTo(10000)
			drainedAt := map[string]float64{}
			worst := 0.0
			for end := 15000 + float64(c.drains*c.intervalMs) + grace; f.nowMs < end; {
				f.advanceTo(f.nowMs + 1000)
				for n := len(drainedAt); n < c.drains && f.nowMs >= float64(10000+n*c.intervalMs); n++ {
					e := entries[3*n]
					e.Phase, drainedAt[e.Endpoint] = wire.PhaseDraining, f.nowMs
					f.handle(listed(false, e))
				}
				worst = max(worst, f.longestHeldMs(drainedAt, nil))
			}
			t.Logf("longest drain %.0f ms, max lines %d", worst, f.core.Channel.MaxLines)
			assert.Len(t, drainedAt, c.drains)
			assert.LessOrEqual(t, worst, grace)
			assert.LessOrEqual(t, f.core.Channel.MaxLines, backlog)
		})
	}
}
