package planner

// This file says who may write to the channel, and what renews its window. All lines go by fits or by a budget of the
// window (sendwindow.go). It is renewed by acknowledgements, which proxies send on request behind a batch. While urgent
// lines have no room and nothing is received, one proxy is assigned its tables anew: a probe, as TCP sends at a
// shut window.

import (
	"maps"
	"math"
	"slices"
)

const (
	// probeTimer names the timer of the next probe.
	probeTimer = "probe"

	// probeWays is how many of the longest ways of a message a first probe waits for: there and back.
	probeWays = 2.0

	// earliestMs stands for the time 0 where 0 says that something has not happened.
	earliestMs = 1e-3
)

// blockage is what waits although it is urgent, while the channel has no room for it.
type blockage struct {
	exclusions int     // due in this flush and not ordered
	since      float64 // ms, when the first was held back; 0: nothing is
	probeAt    float64 // ms, when the next probe is due, as the timer is set
}

// fits returns whether lines stay below the backlog with those that may still wait in the channel.
func (pb *publisher) fits(lines float64) bool {
	return pb.window.inFlight()+lines < pb.planner.settings.BacklogLines
}

// stalled keeps the account true while commands can't cross, and requests a new acknowledgement of what goes out again.
func (pb *publisher) stalled(stall ChannelStalled) {
	now := pb.planner.now
	pb.window.stall(now, stall.ForMs)
	pb.window.join(stall.Merged)
	if number, resent := pb.window.resend(now, stall.Repeated); resent {
		pb.planner.command(AckRequest{Number: number})
	}
}

// acknowledged renews the window.
func (pb *publisher) acknowledged(ack Ack) {
	wasProbing := pb.window.probes > 0
	orderedAt, known := pb.window.acknowledge(pb.planner.now, ack.Number, ack.Proxy)
	proxy := pb.proxies[ack.Proxy]
	if !known || proxy == nil {
		return
	}
	if wasProbing {
		pb.reopened = true
	}
	pb.confirm(proxy, orderedAt)
}

// watchBlockage probes the window while urgent lines wait for room, unless this flush requests an acknowledgement
// anyway, and writes to the log when that begins and ends.
func (pb *publisher) watchBlockage(acksRequested bool) {
	p := pb.planner
	blocked := &pb.blocked
	pending := blocked.exclusions
	for _, t := range pb.tables {
		pending += t.pending
	}
	blocked.exclusions = 0
	if pending == 0 {
		if blocked.since > 0 {
			p.logf("channel has room again: %.0f ms, %.0f lines in flight", p.now-blocked.since, pb.window.inFlight())
		}
		*blocked = blockage{}
		return
	}
	if blocked.since == 0 {
		blocked.since = math.Max(p.now, earliestMs)
		p.logf("channel full: %d drains wait, %.0f lines in flight of %.0f, %d marks kept, last answer %.0f ms ago",
			pending, pb.window.inFlight(), p.settings.BacklogLines, len(pb.window.batches), p.now-pb.window.ackedAt)
	}
	if pb.window.stalledMs == 0 && !acksRequested {
		pb.probe()
	}
}

// probe assigns one proxy the tables it is on anew, once a probe is due: the smallest batch whose acknowledgement
// proves that all before it has left.
func (pb *publisher) probe() {
	p := pb.planner
	due := pb.window.nextProbeAt(probeWays * p.settings.DeliveryMs)
	if due > p.now {
		if pb.blocked.probeAt != due {
			pb.blocked.probeAt = due
			p.command(SetTimer{due, probeTimer})
		}
		return
	}
	proxy := pb.probeTarget()
	if proxy == nil {
		return
	}
	p.logf("channel probed with proxy %d: %.0f lines in flight, last answer %.0f ms ago", proxy.Proxy,
		pb.window.inFlight(), p.now-pb.window.ackedAt)
	proxy.probedAt = p.now
	pb.window.probed()
	pb.assign(proxy)
}

// probeTarget returns the proxy that was probed least lately, of those the one that acknowledged last; nil: none has
// tables.
func (pb *publisher) probeTarget() *proxyState {
	var target *proxyState
	for _, name := range slices.Sorted(maps.Keys(pb.proxies)) {
		proxy := pb.proxies[name]
		if weights, _ := pb.assignmentCost(proxy); weights == 0 {
			continue
		}
		if target == nil || proxy.probedAt < target.probedAt ||
			proxy.probedAt == target.probedAt && proxy.ackedAt > target.ackedAt {
			target = proxy
		}
	}
	return target
}
