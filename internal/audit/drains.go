package audit

import (
	"math"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// checkDrain checks the rule DrainDeadline when a proxy sends an attempt: a proxy sends nothing to a draining or
// removed endpoint after the drain deadline. The deadline is DrainGrace after the pilot was notified of the drain or,
// if that was later, after the proxy joined the pilot.
func (a *Auditor) checkDrain(e eventlog.Event) {
	verdict := a.verdict(DrainDeadline)
	verdict.Checked++
	proxy := a.proxy(e.Who)
	pilot := a.connectedPilot(proxy)
	if pilot == nil {
		return
	}
	listed := pilot.listed[e.Peer]
	if listed == nil || listed.phase == wire.PhaseReady {
		return
	}
	since := math.Max(listed.phaseSince, proxy.joinedAt)
	late := e.At - since
	limit := float64(a.settings.DrainGrace.Milliseconds())
	verdict.observe(late/limit, e.At, e.Who, "sent to %s %.0f ms after %s was told, %.0f allowed",
		a.nameByAddress[e.Peer], late, proxy.pilot, limit)
}
