package emulator

import "indigousher/internal/scenario"

const (
	// handoverMs is the time in ms between the stop of a pilot's old process and the start of the new one in a handover.
	handoverMs = 1
	// minHandoverEveryMs is the minimum time in ms between two handovers of a pilot.
	minHandoverEveryMs = 1
)

// faultPilots selects the pilots that a fault affects.
func (w *World) faultPilots(fault scenario.Fault) []*emulatedPilot {
	var names []string
	byName := map[string]*emulatedPilot{}
	for _, pilot := range w.pilots {
		names = append(names, pilot.location.name)
		byName[pilot.location.name] = pilot
	}
	var affected []*emulatedPilot
	for _, name := range fault.Targets(names, w.random) {
		affected = append(affected, byName[name])
	}
	return affected
}

// killPilots kills pilots without a last commit and restarts them at the end of the fault.
func (w *World) killPilots(fault scenario.Fault) {
	for _, pilot := range w.faultPilots(fault) {
		pilot.stop(true)
		w.After(milliseconds(fault.Duration), pilot.startUnlessRunning)
	}
}

// rollPilots restarts pilots one after another. Each is down for the fault's ExtraDelay.
func (w *World) rollPilots(fault scenario.Fault) {
	downMs := milliseconds(fault.ExtraDelay)
	for i, pilot := range w.faultPilots(fault) {
		w.After(float64(i)*(downMs+milliseconds(fault.Interval)), func() {
			pilot.stop(false)
			w.After(downMs, pilot.startUnlessRunning)
		})
	}
}

// pausePilots suspends pilots until the fault ends. Meanwhile no message to or from them is delivered.
func (w *World) pausePilots(fault scenario.Fault) {
	for _, pilot := range w.faultPilots(fault) {
		pilot.pausedUntil = w.now + milliseconds(fault.Duration)
		w.setBlackhole(pilot.location.name, true)
		w.After(milliseconds(fault.Duration), func() { w.setBlackhole(pilot.location.name, false) })
	}
}

// reloadPilots makes running pilots reload their settings with the channel rate multiplied by the fault's Size.
func (w *World) reloadPilots(fault scenario.Fault) {
	for _, pilot := range w.faultPilots(fault) {
		if pilot.running() {
			pilot.reload(fault.Size)
		}
	}
}

// handOverPilots makes pilots hand over to a new process periodically until the fault ends.
func (w *World) handOverPilots(fault scenario.Fault) {
	until := w.now + milliseconds(fault.Duration)
	everyMs := max(milliseconds(fault.Interval), minHandoverEveryMs)
	for _, pilot := range w.faultPilots(fault) {
		w.handOver(pilot, until, everyMs)
	}
}

// handOver replaces a pilot's process every everyMs: it stops the old process gracefully and starts a new one. No
// handover begins after the time until, in ms.
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
