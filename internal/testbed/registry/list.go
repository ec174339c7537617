package registry

import (
	"time"

	"indigousher/internal/wire"
)

// clockLag is how far the list's clock is behind, so that pilots can't take it for their own.
const clockLag = time.Second

// Stamp returns a time on the list's clock, in ms.
func Stamp(t time.Time) uint64 { return uint64(t.Add(-clockLag).UnixMilli()) }

func now() uint64 { return Stamp(time.Now()) }

// Put changes entries, after a while. Entries in wire.PhaseGone are removed.
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

// put changes entries now and sends the change to all subscribers that watch. The caller holds mu.
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

// AssignSlice assigns a slice to all pilots that are connected or will be, or takes it from them, as the store of a
// deployment with slices would.
func (r *Registry) AssignSlice(slice wire.Slices) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slices[slice.Slice] = slice
	for s := range r.subscribers {
		s.push(&slice)
	}
}
