package brain

// This file decides what goes out to the proxies and when: which tables' differences, which binds, which withdrawals, as
// the window of the channel (window.go) has room. What a rule wants goes before what can wait.

import (
	"maps"
	"math"
	"slices"
	"sort"
)

// Figures of what is sent.
const (
	assignmentWaitMs = 100.0 // between two tries to bind proxies that wait for room
)

// publisher keeps what proxies have been sent and orders what they get next.
type publisher struct {
	mailbox
	planner             *Brain
	window              sendWindow
	tables              []*table // by number: the slot's times the groups, and the group's
	proxies             map[int]*proxyState
	unavailable         map[int]float64 // endpoints that drain or are gone, and since when
	lastExclusionChange float64         // when any endpoint was withdrawn or let in again
	assignmentAt        float64         // when binding goes on
	excludedAt          map[int]float64 // when each was that has not been let in again
	linesSinceAck       map[int]float64 // lines written to each proxy in this flush
	blocked             blockage

	reopened bool // a probe was answered: what is owed need not wait for the next gather
}

// blockage is what is owed while the channel has no room for it.
type blockage struct {
	exclusions int     // due in this flush and not ordered
	since      float64 // when the first thing owed was held back; 0: nothing is
	probeAt    float64 // when the next probe is due, as asked of the clock
}

type table struct {
	sent, wanted                   map[int]float64
	admissionSent, admissionWanted map[int]Admit
	planned                        bool // since the last push
	pending                        int  // lines that a rule wants changed and that did not fit in the last push
	pushedAt                       float64
	number                         int
}

type proxyState struct {
	Joined
	assigned, confirmed bool    // may be on its tables, so that their lines cost; surely is
	joinedAt            float64 // when it joined
	ackedAt             float64 // when it last answered a mark
	probedAt            float64 // when the window was last probed with it
}

func (c *publisher) receive(note any) {
	switch n := note.(type) {
	case SetLine:
		c.tables[n.Table].wanted[n.Endpoint], c.tables[n.Table].planned = n.Weight, true
	case Admit:
		c.tables[n.Table].admissionWanted[n.Kinds] = n
	case Withdraw:
		if c.unavailable[n.Endpoint] = c.planner.now; !n.Out {
			delete(c.unavailable, n.Endpoint)
		}
	case Joined:
		old := c.proxies[n.Proxy]
		c.proxies[n.Proxy] = &proxyState{Joined: n, assigned: n.Stood && old != nil && old.assigned, joinedAt: c.planner.now}
	case Left:
		delete(c.proxies, n.Proxy)
	case Stalled:
		c.stalled(n)
	case Applied:
		c.acknowledged(n)
	}
}

// stalled keeps the account true while orders can't cross, and marks anew what goes out again.
func (c *publisher) stalled(n Stalled) {
	c.window.stall(c.planner.now, n.ForMs)
	c.window.join(n.Joined)
	if mark, again := c.window.resend(c.planner.now, n.Again); again {
		c.planner.command(Mark{Number: mark})
	}
}

func (c *publisher) acknowledged(n Applied) {
	probing := c.window.probes > 0
	ordered, known := c.window.acknowledge(c.planner.now, n.Number, n.Proxy)
	p := c.proxies[n.Proxy]
	if !known || p == nil {
		return
	}
	p.ackedAt, c.reopened = c.planner.now, c.reopened || probing
	if ordered > math.Max(p.joinedAt, c.lastExclusionChange) {
		p.confirmed = p.assigned // nothing but its tables' lines can have brought that mark
	}
}

func (c *publisher) isUnavailable(endpoint int) bool { _, out := c.unavailable[endpoint]; return out }

func (c *publisher) headerLines() float64 { return c.planner.settings.HeaderLines + 1 } // of a message, with its mark

func (c *publisher) flush() {
	before := c.window.written
	c.window.advance(c.planner.now, c.planner.settings.LinesPerSecond.Or(1000)/1000)
	turns := slices.DeleteFunc(slices.Clone(c.tables), func(t *table) bool {
		return !t.planned && !(c.reopened && t.pending > 0)
	})
	c.reopened = false
	sort.SliceStable(turns, func(i, j int) bool { return turns[i].pushedAt < turns[j].pushedAt }) // oldest first
	for _, t := range turns {
		c.push(t)
	}
	c.assignWaiting()
	c.excludeUnavailable()
	c.watchBlockage(c.window.written > before)
	if c.window.written > before {
		c.planner.command(Mark{Number: c.window.seal(c.planner.now, c.linesSinceAck)})
		c.linesSinceAck = map[int]float64{}
	}
}

// watchBlockage probes the window while what is owed to a rule waits for room, unless this flush brings a mark anyway, and
// writes down when that begins and ends.
func (c *publisher) watchBlockage(marked bool) {
	k, owed := &c.blocked, c.blocked.exclusions
	for _, t := range c.tables {
		owed += t.pending
	}
	k.exclusions = 0
	if owed == 0 {
		if k.since > 0 {
			c.planner.logf("channel has room again: %.0f ms, %.0f lines in flight", c.planner.now-k.since, c.window.inFlight())
		}
		*k = blockage{}
		return
	}
	if k.since == 0 {
		k.since = math.Max(c.planner.now, 1e-3)
		c.planner.logf("channel full: %d drains wait, %.0f lines in flight of %.0f, %d marks kept, last answer %.0f ms ago",
			owed, c.window.inFlight(), c.planner.settings.BacklogLines, len(c.window.batches), c.planner.now-c.window.ackedAt)
	}
	if c.window.stalledMs == 0 && !marked {
		c.probe()
	}
}

// probe binds one proxy anew to the tables it is on, once a probe is due: the smallest batch whose answer tells all.
func (c *publisher) probe() {
	due := c.window.nextProbeAt(2 * c.planner.settings.DeliveryMs)
	if due > c.planner.now {
		if c.blocked.probeAt != due {
			c.blocked.probeAt = due
			c.planner.command(WakeAt{due, "probe"})
		}
		return
	}
	if p := c.probeTarget(); p != nil {
		c.planner.logf("channel probed with proxy %d: %.0f lines in flight, last answer %.0f ms ago", p.Proxy,
			c.window.inFlight(), c.planner.now-c.window.ackedAt)
		p.probedAt = c.planner.now
		c.window.probed()
		c.assign(p)
	}
}

// probeTarget returns the proxy that was probed least lately, of those the one that answered last; nil: there is none.
func (c *publisher) probeTarget() (target *proxyState) {
	for _, i := range slices.Sorted(maps.Keys(c.proxies)) {
		p := c.proxies[i]
		if lines, _ := c.assignmentCost(p); lines == 0 {
			continue
		}
		if target == nil || p.probedAt < target.probedAt || p.probedAt == target.probedAt && p.ackedAt > target.ackedAt {
			target = p
		}
	}
	return target
}

// assignmentCost returns how many lines the tables of a proxy have, and what it costs to bind it to them.
func (c *publisher) assignmentCost(p *proxyState) (lines int, cost float64) {
	cost = c.headerLines()
	for _, t := range c.tablesOf(p) {
		lines, cost = lines+len(t.sent), cost+float64(len(t.sent)+len(t.admissionSent)+1)
	}
	return lines, cost
}

func (c *publisher) tablesOf(p *proxyState) []*table {
	first := c.planner.tableNumber(c.planner.subset(p.Joined), 0)
	return c.tables[first : first+len(c.planner.groups)]
}

// assign puts a proxy on its tables.
func (c *publisher) assign(p *proxyState) {
	_, cost := c.assignmentCost(p)
	for g, t := range c.tablesOf(p) {
		c.planner.command(Bind{Table: t.number, Proxy: p.Proxy, Kinds: c.planner.groups[g].mask})
	}
	c.window.add(cost)
	c.linesSinceAck[p.Proxy] += cost
	p.assigned, p.confirmed = true, true
}

func (c *publisher) assignWaiting() {
	waits, lit, heads := maps.Clone(c.proxies), map[int]bool{}, c.headerLines()/c.planner.settings.LinesPerSecond.Or(1000)
	heads *= c.planner.settings.ProxyCount.Or(1) / c.planner.settings.Instances / float64(len(c.planner.regions))
	maps.DeleteFunc(waits, func(_ int, p *proxyState) bool { return p.confirmed })
	names := slices.Sorted(maps.Keys(waits))
	for _, e := range c.planner.endpoints {
		lit[e.Zone] = lit[e.Zone] || e.listed && e.Phase == Ready
	}
	sort.SliceStable(names, func(i, j int) bool { // first those whose own zone has nothing left
		return !lit[c.proxies[names[i]].Zone] && lit[c.proxies[names[j]].Zone]
	})
	for _, name := range names {
		p := c.proxies[name]
		lines, cost := c.assignmentCost(p)
		if lines == 0 || c.planner.regions[p.Zone].divergence < worthwhileGap*math.Min(1, heads) { // heads: s of the channel
			continue // what it stands with is better than nothing, or as good
		}
		if waiting := c.window.queued; waiting > 0 && waiting+cost > 0.3*c.planner.settings.BacklogLines {
			if c.assignmentAt <= c.planner.now {
				c.assignmentAt = c.planner.now + assignmentWaitMs
				c.planner.command(WakeAt{c.assignmentAt, "bind"})
			}
			return
		}
		c.assign(p)
	}
}

// excludeUnavailable tells proxies that wait for their tables, halfway through their grace, what is out: most have them by
// then. What doesn't fit, or still has a line, is said as soon as it can be, in few messages.
func (c *publisher) excludeUnavailable() {
	unbound, bound, last, head, waits := map[int]float64{}, map[int]float64{}, c.lastExclusionChange, c.headerLines(), []*proxyState{}
	for _, p := range c.proxies {
		bound[c.planner.subset(p.Joined)] += pick(p.assigned, 1, 0)
		if !p.confirmed {
			unbound[p.Zone], waits = unbound[p.Zone]+1, append(waits, p)
		}
	}
	for _, i := range slices.Sorted(maps.Keys(c.excludedAt)) { // standing lines would fell a cold one
		if !c.isUnavailable(i) && (len(waits) == 0 || !c.isWarmingUp(i)) {
			c.planner.command(Withdraw{i, false})
			c.lastExclusionChange = c.planner.now
			delete(c.excludedAt, i)
		}
	}
	half, answered, written := c.planner.settings.DrainGraceMs/2, len(c.linesSinceAck) > 0, c.window.written
	for _, i := range slices.Sorted(maps.Keys(c.unavailable)) {
		zone, cost, due := c.planner.endpoints[i].Zone, 0.0, len(waits) == 0 && c.excludedAt[i] == 0
		lines := func(p *proxyState) float64 { // what it costs at one that may hold it: of its zone, or spilt to it
			return pick(p.Zone == zone || unbound[zone] == 0, 1+pick(c.linesSinceAck[p.Proxy] == 0, head, 0), 0)
		}
		for _, p := range waits {
			from := math.Max(p.joinedAt, c.unavailable[i])
			cost += lines(p)
			due = due || lines(p) > 0 && from > c.excludedAt[i] && from < c.unavailable[i]+lineLifetimeMs && c.planner.now >= from+half
		}
		held := func(t *table) bool { return t.sent[i] > 0 && bound[t.number/len(c.planner.groups)] > 0 }
		if !due || slices.ContainsFunc(c.tables, held) {
			continue // its line goes first, at the same price
		}
		if cost > 0 && last+c.messageInterval() > c.planner.now {
			continue
		}
		if cost > 0 && c.window.inFlight()+cost >= c.planner.settings.BacklogLines {
			c.blocked.exclusions++
			continue
		}
		c.planner.command(Withdraw{i, true})
		c.window.add(cost)
		for _, p := range waits {
			c.linesSinceAck[p.Proxy] += lines(p)
		}
		c.lastExclusionChange, c.excludedAt[i] = c.planner.now, math.Max(c.planner.now, 1e-3)
	}
	if c.window.written > written && !answered {
		c.assignForAck()
	}
}

// assignForAck binds one proxy beside withdrawals that go out alone. They count at all who may hold the endpoint; if none does,
// nobody is sent the mark, and what was counted would stand until a probe.
func (c *publisher) assignForAck() {
	p := c.probeTarget()
	if p == nil {
		return
	}
	if _, cost := c.assignmentCost(p); c.window.inFlight()+cost < c.planner.settings.BacklogLines {
		p.probedAt = c.planner.now
		c.assign(p)
	}
}

// messageInterval is how far apart messages to a proxy are, so that half as many again stay within their limit.
func (c *publisher) messageInterval() float64 {
	return 1.5 * c.planner.settings.MessageSpanMs / c.planner.settings.MessageLimit
}

func (c *publisher) isWarmingUp(endpoint int) bool {
	return c.planner.endpoints[endpoint].Started != 0 && c.planner.now-c.planner.endpoints[endpoint].Started < c.planner.settings.WarmUpMs
}

// push writes a used table's differences, the largest first, while there is room or less than half stands.
func (c *publisher) push(t *table) {
	slot := t.number / len(c.planner.groups)
	users, joined := 0.0, false
	for _, p := range c.proxies {
		ours := c.planner.subset(p.Joined) == slot
		joined, users = joined || ours, users+pick(ours && p.assigned, 1, 0)
	}
	if t.pending = 0; !joined {
		return
	}
	t.planned = false
	head, written := c.headerLines(), 0.0
	lines := (c.planner.settings.BacklogLines/3-c.window.queued)/math.Max(users, 1e-9) - head
	lines = pick(users > 0 && t.pushedAt+c.messageInterval() > c.planner.now, 0, lines)
	for _, k := range slices.Sorted(maps.Keys(t.admissionWanted)) {
		if lines >= 1 && t.admissionSent[k] != t.admissionWanted[k] {
			t.admissionSent[k], lines, written = t.admissionWanted[k], lines-1, written+1
			c.planner.command(t.admissionWanted[k])
		}
	}
	whole := users * float64(c.planner.subsetsOfZone*len(t.wanted)) / c.planner.settings.LinesPerSecond.Or(1000) // the zone's tables
	off := tolerance + channelTolerance*math.Min(1, whole)
	gaps, kept, full, apart := map[int]float64{}, 0.0, 0.0, 0.0
	for _, k := range slices.Sorted(maps.Keys(t.wanted)) {
		want, sent := t.wanted[k], t.sent[k]
		kept, full = kept+pick(c.isUnavailable(k), 0, sent), full+want
		if gap := math.Abs(sent - want); gap > off*math.Max(sent, want) {
			rash := c.isWarmingUp(k) && want < sent/2 // one that has started again with its old weight falls over meanwhile
			gaps[k] = pick(c.isUnavailable(k), math.MaxFloat64, pick(rash, math.MaxFloat64/2, gap))
			apart += gaps[k]
		}
	}
	if at := users * float64(c.planner.subsetsOfZone) * head / c.planner.settings.LinesPerSecond.Or(1000); written == 0 &&
		apart < worthwhileGap*math.Min(1, at)*full {
		clear(gaps) // their heads would cost more than they bring
	}
	order := slices.Sorted(maps.Keys(gaps))
	sort.SliceStable(order, func(i, j int) bool { return gaps[order[i]] > gaps[order[j]] })
	for _, k := range order {
		fits := users == 0 || c.window.inFlight()+users*(written+head+1) < c.planner.settings.BacklogLines
		if !fits && gaps[k] >= math.MaxFloat64/2 {
			t.pending++ // a drain, or one that has started again: goes out as soon as there is room
			continue
		}
		if lines--; !fits || lines < 0 && gaps[k] < math.MaxFloat64/2 && kept > full/2 { // not gone, nor rash
			break
		}
		kept += pick(c.isUnavailable(k), 0, t.wanted[k]-t.sent[k])
		t.sent[k], written = t.wanted[k], written+1
		c.planner.command(SetLine{Table: t.number, Endpoint: k, Weight: t.sent[k]})
	}
	maps.DeleteFunc(t.sent, func(_ int, weight float64) bool { return weight == 0 })
	t.pushedAt = pick(written > 0, c.planner.now, t.pushedAt)
	for _, p := range c.proxies {
		c.linesSinceAck[p.Proxy] += pick(written > 0 && c.planner.subset(p.Joined) == slot && p.assigned, written+head, 0)
	}
	c.window.add(pick(written > 0, users*(written+head), 0))
}
