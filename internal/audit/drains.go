package audit

import (
	"math"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// checkDrain checks the rule DrainDeadline: a proxy sends nothing to an endpoint once the drain deadline has passed,
// counted from when its pilot was notified or, if that was later, from when the proxy joined.
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
