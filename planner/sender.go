package planner

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
	bindMs = 100.0 // between two tries to bind proxies that wait for room
	lateMs = 500.0 // longest way of a message, where the settings tell of none
)

// sender keeps what proxies have been sent and orders what they get next.
type sender struct {
	inbox
	b              *Planner
	window         window
	tables         []*table // by number: the slot's times the groups, and the group's
	proxies        map[int]*proxy
	out            map[int]float64 // endpoints that drain or are gone, and since when
	lastWithdrawal float64         // when any endpoint was withdrawn or let in again
	bindWake       float64         // when binding goes on
	withdrawnAt    map[int]float64 // when each was that has not been let in again
	each           map[int]float64 // lines written to each proxy in this flush
	blocked        blockage

	reopened bool // a probe was answered: what is owed need not wait for the next gather
}

// blockage is what is owed while the channel has no room for it.
type blockage struct {
	withdrawals int     // due in this flush and not ordered
	since       float64 // when the first thing owed was held back; 0: nothing is
	wake        float64 // when the next probe is due, as asked of the clock
}

type table struct {
	sent, want   map[int]float64
	told, levels map[int]SetAdmission
	solved       bool // since the last push
	owed         int  // lines that a rule wants changed and that did not fit in the last push
	pushed       float64
	number       int
}

type proxy struct {
	ProxyJoined
	bound, served bool    // may be on its tables, so that their lines cost; surely is
	at            float64 // when it joined
	answered      float64 // when it last answered a mark
	probed        float64 // when the window was last probed with it
}

func (c *sender) read(note any) {
	switch n := note.(type) {
	case SetWeight:
		c.tables[n.Table].want[n.Endpoint], c.tables[n.Table].solved = n.Weight, true
	case SetAdmission:
		c.tables[n.Table].levels[n.Classes] = n
	case SetExcluded:
		if c.out[n.Endpoint] = c.b.now; !n.Excluded {
			delete(c.out, n.Endpoint)
		}
	case ProxyJoined:
		old := c.proxies[n.Proxy]
		c.proxies[n.Proxy] = &proxy{ProxyJoined: n, bound: n.Resumed && old != nil && old.bound, at: c.b.now}
	case ProxyLeft:
		delete(c.proxies, n.Proxy)
	case ChannelStalled:
		c.stalled(n)
	case Ack:
		c.answered(n)
	}
}

// stalled keeps the account true while orders can't cross, and marks anew what goes out again.
func (c *sender) stalled(n ChannelStalled) {
	c.window.stall(c.b.now, n.ForMs)
	c.window.join(n.Merged)
	if mark, again := c.window.repeat(c.b.now, n.Repeated); again {
		c.b.order(AckRequest{Number: mark})
	}
}

func (c *sender) answered(n Ack) {
	probing := c.window.probes > 0
	ordered, known := c.window.answer(c.b.now, n.Number, n.Proxy)
	p := c.proxies[n.Proxy]
	if !known || p == nil {
		return
	}
	p.answered, c.reopened = c.b.now, c.reopened || probing
	if ordered > math.Max(p.at, c.lastWithdrawal) {
		p.served = p.bound // nothing but its tables' lines can have brought that mark
	}
}

func (c *sender) gone(endpoint int) bool { _, out := c.out[endpoint]; return out }

func (c *sender) head() float64 { return c.b.brief.num("head_lines", 4) + 1 } // of a message, with its mark

func (c *sender) flush() {
	before := c.window.written
	c.window.pass(c.b.now, c.b.brief.num("lines_per_s", 1000)/1000)
	turns := slices.DeleteFunc(slices.Clone(c.tables), func(t *table) bool {
		return !t.solved && !(c.reopened && t.owed > 0)
	})
	c.reopened = false
	sort.SliceStable(turns, func(i, j int) bool { return turns[i].pushed < turns[j].pushed }) // oldest first
	for _, t := range turns {
		c.push(t)
	}
	c.bindAll()
	c.shut()
	c.unblock(c.window.written > before)
	if c.window.written > before {
		c.b.order(AckRequest{Number: c.window.seal(c.b.now, c.each)})
		c.each = map[int]float64{}
	}
}

// unblock probes the window while what is owed to a rule waits for room, unless this flush brings a mark anyway, and
// writes down when that begins and ends.
func (c *sender) unblock(marked bool) {
	k, owed := &c.blocked, c.blocked.withdrawals
	for _, t := range c.tables {
		owed += t.owed
	}
	k.withdrawals = 0
	if owed == 0 {
		if k.since > 0 {
			c.b.say("channel has room again: %.0f ms, %.0f lines in flight", c.b.now-k.since, c.window.inFlight())
		}
		*k = blockage{}
		return
	}
	if k.since == 0 {
		k.since = math.Max(c.b.now, 1e-3)
		c.b.say("channel full: %d drains wait, %.0f lines in flight of %.0f, %d marks kept, last answer %.0f ms ago",
			owed, c.window.inFlight(), c.b.brief.num("backlog", 1000), len(c.window.batches), c.b.now-c.window.heardAt)
	}
	if c.window.stalled == 0 && !marked {
		c.probe()
	}
}

// probe binds one proxy anew to the tables it is on, once a probe is due: the smallest batch whose answer tells all.
func (c *sender) probe() {
	due := c.window.probeAt(2 * c.b.brief.num("late_most", lateMs))
	if due > c.b.now {
		if c.blocked.wake != due {
			c.blocked.wake = due
			c.b.order(SetTimer{due, "probe"})
		}
		return
	}
	if p := c.probeTarget(); p != nil {
		c.b.say("channel probed with proxy %d: %.0f lines in flight, last answer %.0f ms ago", p.Proxy,
			c.window.inFlight(), c.b.now-c.window.heardAt)
		p.probed = c.b.now
		c.window.probed()
		c.bind(p)
	}
}

// probeTarget returns the proxy that was probed least lately, of those the one that answered last; nil: there is none.
func (c *sender) probeTarget() (target *proxy) {
	for _, i := range slices.Sorted(maps.Keys(c.proxies)) {
		p := c.proxies[i]
		if lines, _ := c.cost(p); lines == 0 {
			continue
		}
		if target == nil || p.probed < target.probed || p.probed == target.probed && p.answered > target.answered {
			target = p
		}
	}
	return target
}

// cost returns how many lines the tables of a proxy have, and what it costs to bind it to them.
func (c *sender) cost(p *proxy) (lines int, cost float64) {
	cost = c.head()
	for _, t := range c.tablesOf(p) {
		lines, cost = lines+len(t.sent), cost+float64(len(t.sent)+len(t.told)+1)
	}
	return lines, cost
}

func (c *sender) tablesOf(p *proxy) []*table {
	first := c.b.table(c.b.slot(p.ProxyJoined), 0)
	return c.tables[first : first+len(c.b.groups)]
}

// bind puts a proxy on its tables.
func (c *sender) bind(p *proxy) {
	_, cost := c.cost(p)
	for g, t := range c.tablesOf(p) {
		c.b.order(AssignTable{Table: t.number, Proxy: p.Proxy, Classes: c.b.groups[g].mask})
	}
	c.window.spend(cost)
	c.each[p.Proxy] += cost
	p.bound, p.served = true, true
}

func (c *sender) bindAll() {
	waits, lit, heads := maps.Clone(c.proxies), map[int]bool{}, c.head()/c.b.brief.num("lines_per_s", 1000)
	heads *= c.b.brief.num("proxy_count", 1) / c.b.brief.num("instances", 1) / float64(len(c.b.regions))
	maps.DeleteFunc(waits, func(_ int, p *proxy) bool { return p.served })
	names := slices.Sorted(maps.Keys(waits))
	for _, e := range c.b.bes {
		lit[e.Zone] = lit[e.Zone] || e.listed && e.Phase == Ready
	}
	sort.SliceStable(names, func(i, j int) bool { // first those whose own zone has nothing left
		return !lit[c.proxies[names[i]].Zone] && lit[c.proxies[names[j]].Zone]
	})
	for _, name := range names {
		p := c.proxies[name]
		lines, cost := c.cost(p)
		if lines == 0 || c.b.regions[p.Zone].amiss < heavy*math.Min(1, heads) { // heads: s of the channel
			continue // what it stands with is better than nothing, or as good
		}
		if waiting := c.window.estimate; waiting > 0 && waiting+cost > 0.3*c.b.brief.num("backlog", 1000) {
			if c.bindWake <= c.b.now {
				c.bindWake = c.b.now + bindMs
				c.b.order(SetTimer{c.bindWake, "bind"})
			}
			return
		}
		c.bind(p)
	}
}

// shut tells proxies that wait for their tables, halfway through their grace, what is out: most have them by
// then. What doesn't fit, or still has a line, is said as soon as it can be, in few messages.
func (c *sender) shut() {
	unbound, bound, last, head, waits := map[int]float64{}, map[int]float64{}, c.lastWithdrawal, c.head(), []*proxy{}
	for _, p := range c.proxies {
		bound[c.b.slot(p.ProxyJoined)] += pick(p.bound, 1, 0)
		if !p.served {
			unbound[p.Zone], waits = unbound[p.Zone]+1, append(waits, p)
		}
	}
	for _, i := range slices.Sorted(maps.Keys(c.withdrawnAt)) { // standing lines would fell a cold one
		if !c.gone(i) && (len(waits) == 0 || !c.cold(i)) {
			c.b.order(SetExcluded{i, false})
			c.lastWithdrawal = c.b.now
			delete(c.withdrawnAt, i)
		}
	}
	half, answered, written := c.b.brief.num("drain_grace", 2000)/2, len(c.each) > 0, c.window.written
	for _, i := range slices.Sorted(maps.Keys(c.out)) {
		zone, cost, due := c.b.bes[i].Zone, 0.0, len(waits) == 0 && c.withdrawnAt[i] == 0
		lines := func(p *proxy) float64 { // what it costs at one that may hold it: of its zone, or spilt to it
			return pick(p.Zone == zone || unbound[zone] == 0, 1+pick(c.each[p.Proxy] == 0, head, 0), 0)
		}
		for _, p := range waits {
			from := math.Max(p.at, c.out[i])
			cost += lines(p)
			due = due || lines(p) > 0 && from > c.withdrawnAt[i] && from < c.out[i]+lastingMs && c.b.now >= from+half
		}
		held := func(t *table) bool { return t.sent[i] > 0 && bound[t.number/len(c.b.groups)] > 0 }
		if !due || slices.ContainsFunc(c.tables, held) {
			continue // its line goes first, at the same price
		}
		if cost > 0 && last+c.pace() > c.b.now {
			continue
		}
		if cost > 0 && c.window.inFlight()+cost >= c.b.brief.num("backlog", 1000) {
			c.blocked.withdrawals++
			continue
		}
		c.b.order(SetExcluded{i, true})
		c.window.spend(cost)
		for _, p := range waits {
			c.each[p.Proxy] += lines(p)
		}
		c.lastWithdrawal, c.withdrawnAt[i] = c.b.now, math.Max(c.b.now, 1e-3)
	}
	if c.window.written > written && !answered {
		c.bindOne()
	}
}

// bindOne binds one proxy beside withdrawals that go out alone. They count at all who may hold the endpoint; if none does,
// nobody is sent the mark, and what was counted would stand until a probe.
func (c *sender) bindOne() {
	p := c.probeTarget()
	if p == nil {
		return
	}
	if _, cost := c.cost(p); c.window.inFlight()+cost < c.b.brief.num("backlog", 1000) {
		p.probed = c.b.now
		c.bind(p)
	}
}

// pace is how far apart messages to a proxy are, so that half as many again stay within their limit.
func (c *sender) pace() float64 {
	return 1.5 * c.b.brief.num("messages_over", 10000) / c.b.brief.num("messages_most", math.MaxFloat64)
}

func (c *sender) cold(endpoint int) bool {
	return c.b.bes[endpoint].Started != 0 && c.b.now-c.b.bes[endpoint].Started < c.b.brief.num("cold", 10000)
}

// push writes a used table's differences, the largest first, while there is room or less than half stands.
func (c *sender) push(t *table) {
	slot := t.number / len(c.b.groups)
	users, joined := 0.0, false
	for _, p := range c.proxies {
		ours := c.b.slot(p.ProxyJoined) == slot
		joined, users = joined || ours, users+pick(ours && p.bound, 1, 0)
	}
	if t.owed = 0; !joined {
		return
	}
	t.solved = false
	head, written := c.head(), 0.0
	lines := (c.b.brief.num("backlog", 1000)/3-c.window.estimate)/math.Max(users, 1e-9) - head
	lines = pick(users > 0 && t.pushed+c.pace() > c.b.now, 0, lines)
	for _, k := range slices.Sorted(maps.Keys(t.levels)) {
		if lines >= 1 && t.told[k] != t.levels[k] {
			t.told[k], lines, written = t.levels[k], lines-1, written+1
			c.b.order(t.levels[k])
		}
	}
	whole := users * float64(c.b.parts*len(t.want)) / c.b.brief.num("lines_per_s", 1000) // the zone's tables
	off := tolerance + thrift*math.Min(1, whole)
	gaps, kept, full, apart := map[int]float64{}, 0.0, 0.0, 0.0
	for _, k := range slices.Sorted(maps.Keys(t.want)) {
		want, sent := t.want[k], t.sent[k]
		kept, full = kept+pick(c.gone(k), 0, sent), full+want
		if gap := math.Abs(sent - want); gap > off*math.Max(sent, want) {
			rash := c.cold(k) && want < sent/2 // one that has started again with its old weight falls over meanwhile
			gaps[k] = pick(c.gone(k), math.MaxFloat64, pick(rash, math.MaxFloat64/2, gap))
			apart += gaps[k]
		}
	}
	if at := users * float64(c.b.parts) * head / c.b.brief.num("lines_per_s", 1000); written == 0 &&
		apart < heavy*math.Min(1, at)*full {
		clear(gaps) // their heads would cost more than they bring
	}
	order := slices.Sorted(maps.Keys(gaps))
	sort.SliceStable(order, func(i, j int) bool { return gaps[order[i]] > gaps[order[j]] })
	for _, k := range order {
		fits := users == 0 || c.window.inFlight()+users*(written+head+1) < c.b.brief.num("backlog", 1000)
		if !fits && gaps[k] >= math.MaxFloat64/2 {
			t.owed++ // a drain, or one that has started again: goes out as soon as there is room
			continue
		}
		if lines--; !fits || lines < 0 && gaps[k] < math.MaxFloat64/2 && kept > full/2 { // not gone, nor rash
			break
		}
		kept += pick(c.gone(k), 0, t.want[k]-t.sent[k])
		t.sent[k], written = t.want[k], written+1
		c.b.order(SetWeight{Table: t.number, Endpoint: k, Weight: t.sent[k]})
	}
	maps.DeleteFunc(t.sent, func(_ int, weight float64) bool { return weight == 0 })
	t.pushed = pick(written > 0, c.b.now, t.pushed)
	for _, p := range c.proxies {
		c.each[p.Proxy] += pick(written > 0 && c.b.slot(p.ProxyJoined) == slot && p.bound, written+head, 0)
	}
	c.window.spend(pick(written > 0, users*(written+head), 0))
}
