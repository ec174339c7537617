package brain

// This file decides which differences of the tables go out to the proxies, and when. The publisher keeps what each
// table was last sent, and sends what differs by enough, as far as the channel has room: see flowcontrol.go. It sends
// first what drains or has started anew, then the largest differences; the rest waits for the next round.

import (
	"maps"
	"math"
	"slices"
	"sort"
)

// publisher keeps what proxies have been sent and orders what they get next.
type publisher struct {
	mailbox             mailbox[publisherMessage]
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

type table struct {
	sent, wanted                   map[int]float64
	admissionSent, admissionWanted map[int]Admit
	planned                        bool // since the last push
	pending                        int  // lines that a rule wants changed and that did not fit in the last push
	pushedAt                       float64
	number                         int
}

func (c *publisher) receive(note publisherMessage) {
	switch n := note.(type) {
	case wantedWeight:
		c.tables[n.table].wanted[n.endpoint], c.tables[n.table].planned = n.weight, true
	case wantedAdmission:
		c.tables[n.command.Table].admissionWanted[n.command.Kinds] = n.command
	case availability:
		if c.unavailable[n.endpoint] = c.planner.now; n.ready {
			delete(c.unavailable, n.endpoint)
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

// messageInterval is how far apart messages to a proxy are, so that half as many again stay within their limit.
func (c *publisher) messageInterval() float64 {
	return 1.5 * c.planner.settings.MessageSpanMs / c.planner.settings.MessageLimit
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
			rash := c.planner.isWarmingUp(k) && want < sent/2 // one that has started again with its old weight falls over meanwhile
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
