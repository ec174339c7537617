package emulator

import (
	"maps"
	"slices"

	"indigousher/internal/controller"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// registry is the endpoint list: it tells those who follow it of changes, late.
type registry struct {
	w        *World
	place    place
	entries  map[string]wire.Entry
	slices   map[int]wire.Slices
	version  int
	stopped  bool
	watchers map[*emulatedPilot]*pilotProcess
	silentMs float64 // after which a pilot takes a silent list for lost
}

// epochMs is the list's clock at the emulator's start.
const epochMs = 1e12

func (l *registry) clock() uint64 { return uint64(epochMs + l.w.now) }

// update changes entries after a while.
func (l *registry) update(after float64, entries ...wire.Entry) {
	l.w.After(after, func() {
		l.version++
		for _, e := range entries {
			if e.Phase == wire.PhaseGone {
				delete(l.entries, e.Endpoint)
			} else {
				l.entries[e.Endpoint] = e
			}
		}
		if l.stopped {
			return
		}
		for _, s := range l.w.pilots {
			if r := l.watchers[s]; r != nil && s.process == r {
				l.notify(s, r, &wire.List{Version: l.version, Now: l.clock(), Entries: entries})
			}
		}
	})
}

// notify brings a message to a pilot, and leaves in the trail what it is told.
func (l *registry) notify(s *emulatedPilot, r *pilotProcess, m *wire.List) {
	l.w.network.carry(l.place, s.place, func() {
		if s.process != r || l.stopped {
			return
		}
		if m.Whole {
			l.w.logEvent("list", eventlog.Event{What: eventlog.Told, Peer: s.place.name, N: -1})
		}
		for _, e := range m.Entries {
			age := -1.0
			if e.Started != 0 {
				age = float64(m.Now - e.Started)
			}
			l.w.logEvent("list", eventlog.Event{What: eventlog.Told, Peer: s.place.name, Text: e.Endpoint, Kind: e.Zone + "/" + e.Machine,
				N: e.Phase, Value: age})
		}
		s.post(controller.EndpointsListed{List: m})
	})
}

// watch has a pilot told of changes from now on.
func (l *registry) watch(s *emulatedPilot, r *pilotProcess) {
	l.w.network.carry(s.place, l.place, func() {
		if !l.stopped {
			l.watchers[s] = r
		}
	})
}

// sendSnapshot sends everything once.
func (l *registry) sendSnapshot(s *emulatedPilot, r *pilotProcess) {
	l.w.network.carry(s.place, l.place, func() {
		l.watchers[s] = r
		if l.stopped {
			l.w.After(l.silentMs, func() {
				if s.process == r {
					s.post(controller.EndpointListLost{})
				}
			})
			return
		}
		m := &wire.List{Version: l.version, Now: l.clock(), Whole: true}
		for _, name := range slices.Sorted(maps.Keys(l.entries)) {
			m.Entries = append(m.Entries, l.entries[name])
		}
		l.notify(s, r, m)
		for _, i := range slices.Sorted(maps.Keys(l.slices)) {
			l.sendSlice(s, r, l.slices[i])
		}
	})
}

func (l *registry) sendSlice(s *emulatedPilot, r *pilotProcess, x wire.Slices) {
	l.w.network.carry(l.place, s.place, func() {
		if s.process == r && !l.stopped {
			s.post(controller.SliceAssigned{Slices: &x})
		}
	})
}

// assignSlice gives a slice into the charge of all that follow or will.
func (l *registry) assignSlice(x wire.Slices) {
	l.slices[x.Slice] = x
	for _, s := range l.w.pilots {
		if r := l.watchers[s]; r != nil && s.process == r {
			l.sendSlice(s, r, x)
		}
	}
}

// stop takes the list away; pilots notice after a silence.
func (l *registry) stop() {
	l.stopped = true
	for _, s := range l.w.pilots {
		if r := l.watchers[s]; r != nil && s.process == r {
			l.w.After(l.silentMs, func() {
				if s.process == r && l.stopped {
					s.post(controller.EndpointListLost{})
				}
			})
		}
	}
}

// resume brings it back: those who followed dial again and are told everything.
func (l *registry) resume() {
	l.stopped = false
	for _, s := range l.w.pilots {
		if r := s.process; r != nil {
			l.watchers[s] = r
			l.sendSnapshot(s, r)
		}
	}
}

func (w *World) listAll() {
	var all []wire.Entry
	for _, m := range w.endpoints {
		all = append(all, w.entries[m.Name])
	}
	w.registry.update(0, all...)
}

// updateEntry changes an endpoint's entry and has the list say so after a while.
func (w *World) updateEntry(name string, after float64, change func(*wire.Entry)) {
	e := w.entries[name]
	change(&e)
	w.entries[name] = e
	w.registry.update(after, e)
}
