package registry

import (
	"time"

	"indigousher/internal/wire"
)

// clockLag is how far the registry's clock is behind the system clock. The difference exposes a pilot that mistakes
// the registry's clock for its own.
const clockLag = time.Second

// Stamp converts a time to the registry's clock, in ms since the Unix epoch.
func Stamp(t time.Time) uint64 { return uint64(t.Add(-clockLag).UnixMilli()) }

func now() uint64 { return Stamp(time.Now()) }

// Put adds or replaces entries after a delay; a delay of 0 or less means immediately. Entries with the phase
// wire.PhaseGone are removed from the list.
func (r *Registry) Put(after time.Duration, entries ...wire.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after <= 0 {
		r.put(entries)
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(after, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.timers, timer)
		r.put(entries)
	})
	r.timers[timer] = true
}

// put applies a change immediately and sends it to all subscribers that watch the list. The caller must hold mu.
func (r *Registry) put(entries []wire.Entry) {
	r.version++
	for _, entry := range entries {
		if entry.Phase == wire.PhaseGone {
			delete(r.entries, entry.Endpoint)
		} else {
			r.entries[entry.Endpoint] = entry
		}
	}
	for s := range r.subscribers {
		if s.watches {
			s.push(&wire.List{Version: r.version, Now: now(), Entries: entries})
		}
	}
}

// AssignSlice stores the assignment of a slice, or its removal, and sends it to all connected pilots. Pilots that
// connect later receive the assigned slices with the complete list. In a deployment with slices, a store sends these
// messages.
func (r *Registry) AssignSlice(slice wire.Slices) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slices[slice.Slice] = slice
	for s := range r.subscribers {
		s.push(&slice)
	}
}
