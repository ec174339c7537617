package planner

// This file implements flow control for the channel to the proxies. Lines may be sent while the lines in flight, as
// tracked by the send window (sendwindow.go), stay below the configured backlog. Each batch of lines ends with a
// request for an acknowledgement, and acknowledgements open the window again. If urgent lines do not fit and no
// acknowledgement arrives, one proxy is assigned its tables again as a probe, similar to TCP's zero window probe.

import (
	"maps"
	"math"
	"slices"
)

const (
	// probeTimer is the name of the timer of the next probe.
	probeTimer = "probe"

	// probeWaitDeliveries is the wait before the first probe, as a multiple of the longest delivery time of a message:
	// once for the lines and once for the acknowledgement.
	probeWaitDeliveries = 2.0

	// minTimestampMs replaces the time 0 in fields where 0 means that something has not happened.
	minTimestampMs = 1e-3
)

// blockage describes urgent lines and exclusions that wait for room in the channel.
type blockage struct {
	exclusions int     // exclusions that are due in the current flush but do not fit
	since      float64 // ms, when something first lacked room; 0 if nothing waits for room
	probeAt    float64 // ms, time for which the probe timer is set
}

// fits returns whether the lines can be sent: together with the lines in flight they must stay below the backlog.
func (pb *publisher) fits(lines float64) bool {
	return pb.window.inFlight()+lines < pb.planner.settings.BacklogLines
}

// handleStall updates the send window while the channel accepts no commands, or accepts them again. For a call that is
// sent again, it requests a new acknowledgement.
func (pb *publisher) handleStall(stall ChannelStalled) {
	now := pb.planner.now
	pb.window.stall(now, stall.ForMs)
	pb.window.mergeBatches(stall.Merged)
	if number, resent := pb.window.resend(now, stall.Repeated); resent {
		pb.planner.command(AckRequest{Number: number})
	}
}

// handleAck applies an acknowledgement to the send window and to the state of the proxy that sent it.
func (pb *publisher) handleAck(ack Ack) {
	wasProbing := pb.window.probes > 0
	commandedAt, known := pb.window.acknowledge(pb.planner.now, ack.Number, ack.Proxy)
	proxy := pb.proxies[ack.Proxy]
	if !known || proxy == nil {
		return
	}
	if wasProbing {
		pb.windowReopened = true
	}
	pb.confirm(proxy, commandedAt)
}

// updateBlockage checks whether urgent lines or exclusions wait for room in the channel and logs when this starts and
// ends. While it lasts, it sends probes, except in a flush that requests an acknowledgement anyway or while the channel
// accepts no commands.
func (pb *publisher) updateBlockage(acksRequested bool) {
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
		blocked.since = math.Max(p.now, minTimestampMs)
		p.logf("channel full: %d drains wait, %.0f lines in flight of %.0f, %d marks kept, last answer %.0f ms ago",
			pending, pb.window.inFlight(), p.settings.BacklogLines, len(pb.window.batches), p.now-pb.window.ackedAt)
	}
	if pb.window.stalledMs == 0 && !acksRequested {
		pb.probe()
	}
}

// probe assigns one proxy its tables again if a probe is due, and otherwise sets the probe timer. The assignment is the
// smallest batch whose acknowledgement proves that all earlier lines have left the channel.
func (pb *publisher) probe() {
	p := pb.planner
	due := pb.window.nextProbeAt(probeWaitDeliveries * p.settings.MaxDeliveryMs)
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
	pb.window.countProbe()
	pb.assign(proxy)
}

// probeTarget returns the proxy that was probed least recently and, among equals, acknowledged most recently. It
// returns nil if the tables of all proxies are empty.
func (pb *publisher) probeTarget() *proxyState {
	var target *proxyState
	for _, index := range slices.Sorted(maps.Keys(pb.proxies)) {
		proxy := pb.proxies[index]
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
