package emulator

import "indigousher/internal/scenario"

const (
	// handoverMs is how long nobody serves while one process takes over from another.
	handoverMs = 1
	// minHandoverEveryMs is the least time between two handovers.
	minHandoverEveryMs = 1
)

// faultPilots draws the pilots that a fault strikes.
func (w *World) faultPilots(fault scenario.Fault) []*emulatedPilot {
	var names []string
	byName := map[string]*emulatedPilot{}
	for _, pilot := range w.pilots {
		names = append(names, pilot.location.name)
		byName[pilot.location.name] = pilot
	}
	var struck []*emulatedPilot
	for _, name := range fault.Targets(names, w.random) {
		struck = append(struck, byName[name])
	}
	return struck
}

func (w *World) killPilots(fault scenario.Fault) {
	for _, pilot := range w.faultPilots(fault) {
		pilot.stop(true)
		w.After(milliseconds(fault.For), pilot.startUnlessRunning)
	}
}

// rollPilots restarts pilots one after another.
func (w *World) rollPilots(fault scenario.Fault) {
	downMs := milliseconds(fault.Extra)
	for i, pilot := range w.faultPilots(fault) {
		w.After(float64(i)*(downMs+milliseconds(fault.Every)), func() {
			pilot.stop(false)
			w.After(downMs, pilot.startUnlessRunning)
		})
	}
}

// pausePilots has pilots stand still. Nothing reaches them meanwhile, and nobody hears of them.
func (w *World) pausePilots(fault scenario.Fault) {
	for _, pilot := range w.faultPilots(fault) {
		pilot.pausedUntil = w.now + milliseconds(fault.For)
		w.setBlackhole(pilot.location.name, true)
		w.After(milliseconds(fault.For), func() { w.setBlackhole(pilot.location.name, false) })
	}
}

func (w *World) reloadPilots(fault scenario.Fault) {
	for _, pilot := range w.faultPilots(fault) {
		if pilot.running() {
			pilot.reload(fault.Size)
		}
	}
}

func (w *World) handOverPilots(fault scenario.Fault) {
	until := w.now + milliseconds(fault.For)
	everyMs := max(milliseconds(fault.Every), minHandoverEveryMs)
	for _, pilot := range w.faultPilots(fault) {
		w.handOver(pilot, until, everyMs)
	}
}

// handOver has one process of a pilot after another take over, until a time in ms: the old one ends in order and the
// new one begins.
func (w *World) handOver(pilot *emulatedPilot, until, everyMs float64) {
	if w.now >= until {
		return
	}
	pilot.stop(false)
	w.After(handoverMs, func() {
		pilot.startUnlessRunning()
		w.After(everyMs, func() { w.handOver(pilot, until, everyMs) })
	})
}
