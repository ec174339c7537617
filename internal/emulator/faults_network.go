package emulator

import (
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
)

// linksName is the value of Event.Who in events about network cuts.
const linksName = "links"

// missedHeartbeats is the number of consecutive missing heartbeats after which a stream is considered broken.
const missedHeartbeats = 3

// cutEvent returns the type of the event that is logged when a cut begins (true) or ends (false).
func cutEvent(cut bool) eventlog.What {
	if cut {
		return eventlog.Cut
	}
	return eventlog.Mended
}

// setBlackhole begins or ends the isolation of one endpoint, proxy or pilot: no message to or from it is delivered.
func (w *World) setBlackhole(name string, cut bool) {
	w.network.blackholed[name] = cut
	w.logEvent(linksName, eventlog.Event{What: cutEvent(cut), Peer: name})
	w.linkStateChanged(cut)
}

// setZoneCut begins or ends a network partition between a zone and all other zones.
func (w *World) setZoneCut(zone string, cut bool) {
	w.network.zone(zone).cut = cut
	w.logEvent(linksName, eventlog.Event{What: cutEvent(cut), Text: zone})
	w.linkStateChanged(cut)
}

// linkStateChanged delivers held messages after the end of a cut, and schedules the check for streams that have
// missed their heartbeats.
func (w *World) linkStateChanged(cut bool) {
	if !cut {
		w.network.releaseHeld()
	}
	w.endSilentStreams()
}

// endSilentStreams ends the streams whose link is still cut once missedHeartbeats heartbeat intervals have passed.
func (w *World) endSilentStreams() {
	w.After(missedHeartbeats*milliseconds(w.Scenario.HeartbeatInterval), func() {
		for _, proxy := range w.proxies {
			if s := proxy.stream(); s != nil && !w.network.reachable(proxy.location, s.pilot.location) {
				s.end(true)
			}
		}
	})
}

// cutZone partitions a zone from all others until the fault ends.
func (w *World) cutZone(fault scenario.Fault) {
	w.setZoneCut(fault.Zone, true)
	w.After(milliseconds(fault.Duration), func() { w.setZoneCut(fault.Zone, false) })
}

// slowZone adds delay and loss to all messages between a zone and the others until the fault ends.
func (w *World) slowZone(fault scenario.Fault) {
	link := w.network.zone(fault.Zone)
	link.extraDelayMs = milliseconds(fault.ExtraDelay)
	link.loss = fault.Loss
	w.After(milliseconds(fault.Duration), func() {
		link.extraDelayMs = 0
		link.loss = 0
	})
}

// stopRegistry makes the registry unavailable until the fault ends.
func (w *World) stopRegistry(fault scenario.Fault) {
	w.registry.stop()
	w.After(milliseconds(fault.Duration), w.registry.resume)
}
