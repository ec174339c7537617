package brain

// This file says who may write to the channel, and what renews its window. All lines go by fits or by a budget of the
// window (sendwindow.go). It is renewed by acknowledgements, which proxies send on request behind a batch. While urgent
// lines have no room and nothing is received, one proxy is assigned its tables anew: a probe, as TCP sends at a
// shut window.

import (
	"maps"
	"math"
	"slices"
)

// blockage is what is owed while the channel has no room for it.
type blockage struct {
	exclusions int     // due in this flush and not ordered
	since      float64 // when the first thing owed was held back; 0: nothing is
	probeAt    float64 // when the next probe is due, as asked of the clock
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
