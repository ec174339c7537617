package emulator

import (
	"indigousher/internal/scenario"
	"indigousher/internal/wire"
)

// wholeZoneThreshold is the fault Size above which a zone loss also stops the zone's proxies and pilots.
const wholeZoneThreshold = 0.5

// loseZone kills a zone's endpoints, and above wholeZoneThreshold also its proxies and pilots. All of them restart
// at the end of the fault.
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
	w.After(milliseconds(fault.Duration), func() {
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

// killProxiesOf kills the proxies of a zone and returns them.
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

// killPilotsOf kills the pilots of a zone, without a last commit, and returns them.
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
