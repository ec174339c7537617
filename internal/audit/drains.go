package audit

import (
	"math"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// checkDrain checks rule 3.
func (a *Auditor) checkDrain(e eventlog.Event) {
	v, p := &a.report.Verdicts[DrainDeadline], a.proxy(e.Who)
	v.Checked++
	pilot := a.connectedPilot(e.Who, p)
	if pilot == nil {
		return
	}
	t := pilot.listed[e.Peer]
	if t == nil || t.phase == wire.PhaseReady {
		return
	}
	late, grace := e.At-math.Max(t.phaseSince, p.joinedAt), float64(a.settings.DrainGrace.Milliseconds())
	v.observe(late/grace, e.At, e.Who, "sent to %s %.0f ms after %s was told, %.0f allowed", a.nameByAddress[e.Peer], late, p.pilot,
		grace)
}
