package emulator

import (
	"indigousher/internal/scenario"
	"indigousher/internal/wire"
)

// wholeZoneSize is the size of a zone loss above which the zone's proxies and pilots are lost as well.
const wholeZoneThreshold = 0.5

// loseZone ends a zone's endpoints, and its proxies and pilots where the loss is large. All come back at the end.
func (w *World) loseZone(fault scenario.Fault) {
	endpoints := w.faultEndpoints(fault)
	for _, e := range endpoints {
		e.kill()
		w.setPhase(e.Name, lostEndpointDelayFactor*w.listDelayMs(), wire.PhaseGone)
	}
	var proxies []*emulatedProxy
	var pilots []*emulatedPilot
	if fault.Size > wholeZoneThreshold {
		proxies = w.killProxiesOf(fault.Zone)
		pilots = w.killPilotsOf(fault.Zone)
	}
	w.After(milliseconds(fault.For), func() {
		for _, e := range endpoints {
			w.restartCold(e)
		}
		for _, pilot := range pilots {
			pilot.startUnlessRunning()
		}
		for _, proxy := range proxies {
			proxy.startUnlessRunning()
		}
	})
}

// killProxiesOf ends the proxies of a zone and returns them.
func (w *World) killProxiesOf(zone string) []*emulatedProxy {
	var killed []*emulatedProxy
	for _, proxy := range w.proxies {
		if proxy.location.zone == zone {
			proxy.kill()
			killed = append(killed, proxy)
		}
	}
	return killed
}

// killPilotsOf ends the pilots of a zone and returns them.
func (w *World) killPilotsOf(zone string) []*emulatedPilot {
	var killed []*emulatedPilot
	for _, pilot := range w.pilots {
		if pilot.location.zone == zone {
			pilot.stop(true)
			killed = append(killed, pilot)
		}
	}
	return killed
}
