package emulator

import (
	"maps"
	"slices"

	"indigousher/internal/controller"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// registryName is the registry's name in the network, and the value of Event.Who in events about notifications to
// pilots.
const registryName = "list"

// epochMs is the registry's wall-clock time at the start of the run, in Unix ms.
const epochMs = 1e12

// listTimeoutMs is the time in ms without an answer from the registry after which a pilot considers the endpoint
// list lost.
const listTimeoutMs = 2000

// unknownAge is the age that is logged for a list entry whose endpoint has no known start time.
const unknownAge = -1.0

// snapshotMarker is the value of Event.N in the event that marks the beginning of a snapshot of the list.
const snapshotMarker = -1

// registry is the source of the endpoint list. It notifies the subscribed pilots of changes.
type registry struct {
	w        *World
	location location
	entries  map[string]wire.Entry            // the list, by endpoint
	slices   map[int]wire.Slices              // slice assignments, by slice
	version  int                              // number of updates so far
	stopped  bool                             // a fault makes the registry unavailable
	watchers map[*emulatedPilot]*pilotProcess // subscribed process of each pilot
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

// listAll adds all endpoints to the list without the usual list delay.
func (w *World) listAll() {
	var all []wire.Entry
	for _, endpoint := range w.endpoints {
		all = append(all, w.entries[endpoint.Name])
	}
	w.registry.update(0, all...)
}

// updateEntry changes an endpoint's true entry now, and the list after a delay in ms.
func (w *World) updateEntry(name string, delayMs float64, change func(*wire.Entry)) {
	entry := w.entries[name]
	change(&entry)
	w.entries[name] = entry
	w.registry.update(delayMs, entry)
}

// setPhase changes the true phase of an endpoint now, and the list after a delay in ms.
func (w *World) setPhase(name string, delayMs float64, phase int) {
	w.updateEntry(name, delayMs, func(entry *wire.Entry) { entry.Phase = phase })
}

// clock returns the registry's wall-clock time in Unix ms.
func (r *registry) clock() uint64 { return uint64(epochMs + r.w.now) }

// update changes list entries after a delay in ms and notifies the subscribed pilots. A stopped registry changes its
// list without notifying anyone.
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

// eachWatcher calls visit for each subscribed process that is still running, in the order of the pilots.
func (r *registry) eachWatcher(visit func(*emulatedPilot, *pilotProcess)) {
	for _, pilot := range r.w.pilots {
		if process := r.watchers[pilot]; process != nil && pilot.process == process {
			visit(pilot, process)
		}
	}
}

// notify sends a list message to a pilot's process and logs its content on arrival. The message is lost if the
// registry is stopped by then.
func (r *registry) notify(pilot *emulatedPilot, process *pilotProcess, list *wire.List) {
	r.w.network.transmit(r.location, pilot.location, func() {
		if pilot.process != process || r.stopped {
			return
		}
		r.logNotified(pilot, list)
		pilot.post(controller.EndpointsListed{List: list})
	})
}

// logNotified logs the entries of a list message that a pilot has received.
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

// watch subscribes a pilot's process to changes of the list. It has no effect while the registry is stopped.
func (r *registry) watch(pilot *emulatedPilot, process *pilotProcess) {
	r.w.network.transmit(pilot.location, r.location, func() {
		if !r.stopped {
			r.watchers[pilot] = process
		}
	})
}

// sendSnapshot handles a pilot's request for the complete list and subscribes the pilot. If the registry is stopped,
// the pilot considers the list lost after listTimeoutMs.
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

// assignSlice stores a slice assignment and notifies the subscribed pilots.
func (r *registry) assignSlice(assignment wire.Slices) {
	r.slices[assignment.Slice] = assignment
	r.eachWatcher(func(pilot *emulatedPilot, process *pilotProcess) { r.sendSlice(pilot, process, assignment) })
}

// sendSlice sends a slice assignment to a pilot's process. The message is lost if the registry is stopped on its
// arrival.
func (r *registry) sendSlice(pilot *emulatedPilot, process *pilotProcess, assignment wire.Slices) {
	r.w.network.transmit(r.location, pilot.location, func() {
		if pilot.process == process && !r.stopped {
			pilot.post(controller.SliceAssigned{Slices: &assignment})
		}
	})
}

// stop makes the registry unavailable. Subscribed pilots consider the list lost after listTimeoutMs if the registry
// is still stopped then.
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

// resume makes the registry available again. All running pilots reconnect and get a snapshot.
func (r *registry) resume() {
	r.stopped = false
	for _, pilot := range r.w.pilots {
		if process := pilot.process; process != nil {
			r.watchers[pilot] = process
			r.sendSnapshot(pilot, process)
		}
	}
}
