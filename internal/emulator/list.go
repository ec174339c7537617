package emulator

import (
	"maps"
	"slices"

	"indigousher/internal/controller"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// source is the endpoint list: it tells those who follow it of changes, late.
type source struct {
	w        *World
	place    place
	entries  map[string]wire.Entry
	slices   map[int]wire.Slices
	version  int
	down     bool
	follows  map[*seat]*pilotRun
	silentMs float64 // after which a pilot takes a silent list for lost
}

// epochMs is the list's clock at the emulator's start.
const epochMs = 1e12

func (l *source) clock() uint64 { return uint64(epochMs + l.w.now) }

// put changes entries after a while.
func (l *source) put(after float64, entries ...wire.Entry) {
	l.w.After(after, func() {
		l.version++
		for _, e := range entries {
			if e.Phase == wire.PhaseGone {
				delete(l.entries, e.Endpoint)
			} else {
				l.entries[e.Endpoint] = e
			}
		}
		if l.down {
			return
		}
		for _, s := range l.w.seats {
			if r := l.follows[s]; r != nil && s.run == r {
				l.tell(s, r, &wire.List{Version: l.version, Now: l.clock(), Entries: entries})
			}
		}
	})
}

// tell brings a message to a pilot, and leaves in the trail what it is told.
func (l *source) tell(s *seat, r *pilotRun, m *wire.List) {
	l.w.ways.carry(l.place, s.place, func() {
		if s.run != r || l.down {
			return
		}
		if m.Whole {
			l.w.note("list", eventlog.Event{What: eventlog.Told, Peer: s.place.name, N: -1})
		}
		for _, e := range m.Entries {
			age := -1.0
			if e.Started != 0 {
				age = float64(m.Now - e.Started)
			}
			l.w.note("list", eventlog.Event{What: eventlog.Told, Peer: s.place.name, Text: e.Endpoint, Kind: e.Zone + "/" + e.Machine,
				N: e.Phase, Value: age})
		}
		s.post(controller.EndpointsListed{List: m})
	})
}

// follow has a pilot told of changes from now on.
func (l *source) follow(s *seat, r *pilotRun) {
	l.w.ways.carry(s.place, l.place, func() {
		if !l.down {
			l.follows[s] = r
		}
	})
}

// whole sends everything once.
func (l *source) whole(s *seat, r *pilotRun) {
	l.w.ways.carry(s.place, l.place, func() {
		l.follows[s] = r
		if l.down {
			l.w.After(l.silentMs, func() {
				if s.run == r {
					s.post(controller.EndpointListLost{})
				}
			})
			return
		}
		m := &wire.List{Version: l.version, Now: l.clock(), Whole: true}
		for _, name := range slices.Sorted(maps.Keys(l.entries)) {
			m.Entries = append(m.Entries, l.entries[name])
		}
		l.tell(s, r, m)
		for _, i := range slices.Sorted(maps.Keys(l.slices)) {
			l.giveTo(s, r, l.slices[i])
		}
	})
}

func (l *source) giveTo(s *seat, r *pilotRun, x wire.Slices) {
	l.w.ways.carry(l.place, s.place, func() {
		if s.run == r && !l.down {
			s.post(controller.SliceAssigned{Slices: &x})
		}
	})
}

// give gives a slice into the charge of all that follow or will.
func (l *source) give(x wire.Slices) {
	l.slices[x.Slice] = x
	for _, s := range l.w.seats {
		if r := l.follows[s]; r != nil && s.run == r {
			l.giveTo(s, r, x)
		}
	}
}

// stop takes the list away; pilots notice after a silence.
func (l *source) stop() {
	l.down = true
	for _, s := range l.w.seats {
		if r := l.follows[s]; r != nil && s.run == r {
			l.w.After(l.silentMs, func() {
				if s.run == r && l.down {
					s.post(controller.EndpointListLost{})
				}
			})
		}
	}
}

// again brings it back: those who followed dial again and are told everything.
func (l *source) again() {
	l.down = false
	for _, s := range l.w.seats {
		if r := s.run; r != nil {
			l.follows[s] = r
			l.whole(s, r)
		}
	}
}
