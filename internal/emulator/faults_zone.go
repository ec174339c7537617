package emulator

import (
	"indigousher/internal/scenario"
	"indigousher/internal/wire"
)

// zoneLoss takes a zone's endpoints, and with a size over a half its proxies and pilots.
func (w *World) zoneLoss(t scenario.Fault) {
	struck := w.faultEndpoints(t)
	for _, m := range struck {
		m.kill()
		w.updateEntry(m.Name, 4*milliseconds(w.Scenario.ListLate), func(x *wire.Entry) { x.Phase = wire.PhaseGone })
	}
	var proxies []*emulatedProxy
	var seats []*emulatedPilot
	if t.Size > 0.5 {
		for _, p := range w.proxies {
			if p.place.zone == t.Zone {
				p.kill()
				proxies = append(proxies, p)
			}
		}
		for _, s := range w.pilots {
			if s.place.zone == t.Zone {
				s.stop(true)
				seats = append(seats, s)
			}
		}
	}
	w.After(milliseconds(t.For), func() {
		for _, m := range struck {
			w.restartCold(m)
		}
		for _, s := range seats {
			if s.process == nil {
				s.start()
			}
		}
		for _, p := range proxies {
			if p.process == nil {
				p.start()
			}
		}
	})
}
