package planner

// This file controls the flow of lines to the channel. Lines may be written as long as they fit below the backlog
// (fits), by the account of the window (sendwindow.go). Acknowledgements renew the window (acknowledged); proxies
// send them on request behind each batch. While urgent lines do not fit and nothing is received, one proxy is
// assigned its tables again as a probe, like TCP's zero window probe.

import (
	"maps"
	"math"
	"slices"
)

const (
	// probeTimer names the timer of the next probe.
	probeTimer = "probe"

	// probeWays is the wait before the first probe, in longest delivery times: there and back.
	probeWays = 2.0

	// earliestMs stands in for the time 0 where 0 means that something has not happened.
	earliestMs = 1e-3
)

// blockage describes urgent lines that wait for room in the channel.
type blockage struct {
	exclusions int     // exclusions that are due in this flush but do not fit
	since      float64 // ms, when the first was held back; 0: nothing is
	probeAt    float64 // ms, when the next probe is due, as the timer is set
}

// fits returns whether some lines, with those that may still wait in the channel, stay below its backlog.
func (pb *publisher) fits(lines float64) bool {
	return pb.window.inFlight()+lines < pb.planner.settings.BacklogLines
}

// stalled corrects the account while commands cannot be sent, and requests a new acknowledgement of repeated calls.
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

// probe assigns one proxy its tables again, once a probe is due: the smallest batch whose acknowledgement proves that
// all earlier lines have left.
func (pb *publisher) probe() {
	p := pb.planner
	due := pb.window.nextProbeAt(probeWays * p.settings.MaxDeliveryMs)
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

// probeTarget returns the proxy that was probed least recently and, among those, acknowledged most recently; nil if
// there is none with tables.
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
