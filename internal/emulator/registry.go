package emulator

import (
	"maps"
	"slices"

	"indigousher/internal/controller"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// registryName is the registry's name, and who logs what it tells pilots.
const registryName = "list"

// epochMs is the registry's clock at the start of the run, in Unix ms.
const epochMs = 1e12

// listSilenceMs is after how long a pilot takes a silent endpoint list for lost.
const listTimeoutMs = 2000

// longAgo is the age in a logged list entry of an endpoint whose start is not known.
const unknownAge = -1.0

// snapshotMarker is Event.N where a snapshot of the list begins.
const snapshotMarker = -1

// registry is the source of the endpoint list. It notifies the pilots that watch it of changes, with a delay.
type registry struct {
	w        *World
	location location
	entries  map[string]wire.Entry
	slices   map[int]wire.Slices
	version  int
	stopped  bool
	watchers map[*emulatedPilot]*pilotProcess
}

func newRegistry(w *World) *registry {
	return &registry{
		w:        w,
		location: location{name: registryName},
		entries:  map[string]wire.Entry{},
		slices:   map[int]wire.Slices{},
		watchers: map[*emulatedPilot]*pilotProcess{},
	}
}

// listAll puts all endpoints on the list at once.
func (w *World) listAll() {
	var all []wire.Entry
	for _, endpoint := range w.endpoints {
		all = append(all, w.entries[endpoint.Name])
	}
	w.registry.update(0, all...)
}

// updateEntry changes an endpoint's entry, and the list after a delay in ms.
func (w *World) updateEntry(name string, delayMs float64, change func(*wire.Entry)) {
	entry := w.entries[name]
	change(&entry)
	w.entries[name] = entry
	w.registry.update(delayMs, entry)
}

// setPhase changes the phase of an endpoint, and the list after a delay in ms.
func (w *World) setPhase(name string, delayMs float64, phase int) {
	w.updateEntry(name, delayMs, func(entry *wire.Entry) { entry.Phase = phase })
}

// clock returns the registry's time in Unix ms.
func (r *registry) clock() uint64 { return uint64(epochMs + r.w.now) }

// update changes entries after a delay in ms and notifies the watchers.
func (r *registry) update(delayMs float64, entries ...wire.Entry) {
	r.w.After(delayMs, func() {
		r.version++
		for _, entry := range entries {
			if entry.Phase == wire.PhaseGone {
				delete(r.entries, entry.Endpoint)
			} else {
				r.entries[entry.Endpoint] = entry
			}
		}
		if r.stopped {
			return
		}
		r.eachWatcher(func(pilot *emulatedPilot, process *pilotProcess) {
			r.notify(pilot, process, &wire.List{Version: r.version, Now: r.clock(), Entries: entries})
		})
	})
}

// eachWatcher visits the watching processes that still run, in the order of the pilots.
func (r *registry) eachWatcher(visit func(*emulatedPilot, *pilotProcess)) {
	for _, pilot := range r.w.pilots {
		if process := r.watchers[pilot]; process != nil && pilot.process == process {
			visit(pilot, process)
		}
	}
}

// notify brings a message to a pilot's process and logs what the pilot learns.
func (r *registry) notify(pilot *emulatedPilot, process *pilotProcess, list *wire.List) {
	r.w.network.transmit(r.location, pilot.location, func() {
		if pilot.process != process || r.stopped {
			return
		}
		r.logNotified(pilot, list)
		pilot.post(controller.EndpointsListed{List: list})
	})
}

func (r *registry) logNotified(pilot *emulatedPilot, list *wire.List) {
	if list.Whole {
		r.w.logEvent(registryName, eventlog.Event{What: eventlog.Told, Peer: pilot.location.name, N: snapshotMarker})
	}
	for _, entry := range list.Entries {
		age := unknownAge
		if entry.Started != 0 {
			age = float64(list.Now - entry.Started)
		}
		r.w.logEvent(registryName, eventlog.Event{
			What:  eventlog.Told,
			Peer:  pilot.location.name,
			Text:  entry.Endpoint,
			Kind:  entry.Zone + "/" + entry.Machine,
			N:     entry.Phase,
			Value: age,
		})
	}
}

// watch has a pilot's process notified of changes from now on.
func (r *registry) watch(pilot *emulatedPilot, process *pilotProcess) {
	r.w.network.transmit(pilot.location, r.location, func() {
		if !r.stopped {
			r.watchers[pilot] = process
		}
	})
}

// sendSnapshot answers a pilot's request for the complete list. While the registry is stopped the pilot takes the list
// for lost after a while.
func (r *registry) sendSnapshot(pilot *emulatedPilot, process *pilotProcess) {
	r.w.network.transmit(pilot.location, r.location, func() {
		r.watchers[pilot] = process
		if r.stopped {
			r.w.After(listTimeoutMs, func() {
				if pilot.process == process {
					pilot.post(controller.EndpointListLost{})
				}
			})
			return
		}
		snapshot := &wire.List{Version: r.version, Now: r.clock(), Whole: true}
		for _, name := range slices.Sorted(maps.Keys(r.entries)) {
			snapshot.Entries = append(snapshot.Entries, r.entries[name])
		}
		r.notify(pilot, process, snapshot)
		for _, slice := range slices.Sorted(maps.Keys(r.slices)) {
			r.sendSlice(pilot, process, r.slices[slice])
		}
	})
}

// assignSlice keeps a slice's owner and notifies the watchers.
func (r *registry) assignSlice(assignment wire.Slices) {
	r.slices[assignment.Slice] = assignment
	r.eachWatcher(func(pilot *emulatedPilot, process *pilotProcess) { r.sendSlice(pilot, process, assignment) })
}

func (r *registry) sendSlice(pilot *emulatedPilot, process *pilotProcess, assignment wire.Slices) {
	r.w.network.transmit(r.location, pilot.location, func() {
		if pilot.process == process && !r.stopped {
			pilot.post(controller.SliceAssigned{Slices: &assignment})
		}
	})
}

// stop takes the registry away. The pilots notice by its silence, unless it is back by then.
func (r *registry) stop() {
	r.stopped = true
	r.eachWatcher(func(pilot *emulatedPilot, process *pilotProcess) {
		r.w.After(listTimeoutMs, func() {
			if pilot.process == process && r.stopped {
				pilot.post(controller.EndpointListLost{})
			}
		})
	})
}

// resume brings the registry back: all running pilots connect again and get a snapshot.
func (r *registry) resume() {
	r.stopped = false
	for _, pilot := range r.w.pilots {
		if process := pilot.process; process != nil {
			r.watchers[pilot] = process
			r.sendSnapshot(pilot, process)
		}
	}
}
