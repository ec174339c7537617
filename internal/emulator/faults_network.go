package emulator

import (
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
)

// linksName is who logs cuts.
const linksName = "links"

// missedHeartbeats is after how many heartbeats that did not come a stream is taken for broken.
const missedHeartbeats = 3

// cutEvent returns what is logged where a cut begins or ends.
func cutEvent(cut bool) eventlog.What {
	if cut {
		return eventlog.Cut
	}
	return eventlog.Mended
}

// setBlackhole begins or ends the cut of everything to and from one name.
func (w *World) setBlackhole(name string, cut bool) {
	w.network.blackholed[name] = cut
	w.logEvent(linksName, eventlog.Event{What: cutEvent(cut), Peer: name})
	w.linkStateChanged(cut)
}

// setZoneCut begins or ends the cut between a zone and all others.
func (w *World) setZoneCut(zone string, cut bool) {
	w.network.zone(zone).cut = cut
	w.logEvent(linksName, eventlog.Event{What: cutEvent(cut), Text: zone})
	w.linkStateChanged(cut)
}

func (w *World) linkStateChanged(cut bool) {
	if !cut {
		w.network.releaseHeld()
	}
	w.endSilentStreams()
}

// endSilentStreams ends the streams over links that stay cut until the heartbeats have been missed.
func (w *World) endSilentStreams() {
	w.After(missedHeartbeats*milliseconds(w.Scenario.Beat), func() {
		for _, proxy := range w.proxies {
			if s := proxy.stream(); s != nil && !w.network.reachable(proxy.location, s.pilot.location) {
				s.end(true)
			}
		}
	})
}

func (w *World) cutZone(fault scenario.Fault) {
	w.setZoneCut(fault.Zone, true)
	w.After(milliseconds(fault.For), func() { w.setZoneCut(fault.Zone, false) })
}

func (w *World) slowZone(fault scenario.Fault) {
	link := w.network.zone(fault.Zone)
	link.extraDelayMs = milliseconds(fault.Extra)
	link.loss = fault.Loss
	w.After(milliseconds(fault.For), func() {
		link.extraDelayMs = 0
		link.loss = 0
	})
}

func (w *World) stopRegistry(fault scenario.Fault) {
	w.registry.stop()
	w.After(milliseconds(fault.For), w.registry.resume)
}
