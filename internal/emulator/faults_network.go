package emulator

import (
	"indigousher/internal/testbed/eventlog"
)

func (w *World) setBlackhole(name string, dumb bool) {
	w.network.blackholed[name] = dumb
	w.logEvent("links", eventlog.Event{What: map[bool]eventlog.What{true: eventlog.Cut, false: eventlog.Mended}[dumb], Peer: name})
	if !dumb {
		w.network.releaseHeld()
	}
	w.endSilentStreams()
}

func (w *World) setZoneCut(zone string, cut bool) {
	w.network.zone(zone).cut = cut
	w.logEvent("links", eventlog.Event{What: map[bool]eventlog.What{true: eventlog.Cut, false: eventlog.Mended}[cut], Text: zone})
	if !cut {
		w.network.releaseHeld()
	}
	w.endSilentStreams()
}

// endSilentStreams ends streams over ways that stay cut until nobody has heard a beat for long enough.
func (w *World) endSilentStreams() {
	w.After(3*milliseconds(w.Scenario.Beat), func() {
		for _, p := range w.proxies {
			if p.process != nil && p.process.stream != nil && !w.network.open(p.place, p.process.stream.pilot.place) {
				p.process.stream.end(true)
			}
		}
	})
}
