package emulator

import (
	"math"
	"time"

	"indigousher/internal/wire"
)

// scheduleLoadReport refreshes the load report now and then; what is shown is as old as the lag.
func (m *emulatedEndpoint) scheduleLoadReport(r *endpointProcess) {
	every := float64(m.ReportEvery) / float64(time.Millisecond)
	m.w.After(every, func() {
		if m.process != r {
			return
		}
		noise := func() float64 { return math.Max(0, 1+m.Noise*m.random.NormFloat64()) }
		if m.sharesCores {
			m.countSharedWork(r)
		}
		util := math.Min(1, (r.busyMs-r.reportedBusyMs)/every/float64(m.Cores)) * noise()
		fresh := []wire.Figure{{Name: "util", Value: util}, {Name: "rate", Value: (r.served - r.reportedServed) / every * 1000 * noise()},
			{Name: "waiting", Value: float64(max(0, r.inFlight-m.Cores))}, {Name: "in_hand", Value: float64(r.inFlight)}}
		r.reportedBusyMs, r.reportedServed = r.busyMs, r.served
		if m.ReportLag > 0 {
			r.load, r.nextLoad = r.nextLoad, fresh
		} else {
			r.load = fresh
		}
		m.scheduleLoadReport(r)
	})
}
