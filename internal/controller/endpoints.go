package controller

import (
	"fmt"
	"maps"
	"slices"

	"indigousher/internal/settings"
	"indigousher/internal/wire"
	"indigousher/planner"
)

const (
	// indexReuseDelayMs is how long the index of an endpoint stays reserved after the endpoint has left the list. It
	// exceeds the time for which proxies or the decider may still refer to the endpoint.
	indexReuseDelayMs = 60000
	// minStartMs replaces a start time of exactly 0 ms, because 0 means that the endpoint started long ago.
	minStartMs = 1e-3
)

// endpointRegistry maps endpoint names to indices. It also holds the endpoint list, the endpoints' start times and the
// indices that may be reused.
type endpointRegistry struct {
	names settings.Names

	// The current endpoint list: its entries by name, its version, and the time on the list source's clock
	// (listClockMs) when it was received (clockReadMs, on the pilot's clock).
	listed      map[string]wire.Entry
	version     int
	listClockMs uint64
	clockReadMs float64

	// starts holds the start times of endpoints by index.
	starts map[int]startTime
	// retiredAtMs holds, by index, the time at which an endpoint was found to have left the list. It is only maintained
	// with a relay, because only then are indices reused.
	retiredAtMs map[int]float64
	// reused is true once an index has been reused, so that a name without an index may have had one before.
	reused bool
}

// startTime is the start of an endpoint on two clocks, in ms: listStamp is its timestamp in the list, on the list
// source's clock, and startedMs is the time passed to the decider, on the pilot's clock. 0 means that it started long
// ago.
type startTime struct {
	listStamp uint64
	startedMs float64
}

// newEndpointRegistry returns an empty registry.
func newEndpointRegistry() endpointRegistry {
	return endpointRegistry{
		listed:      map[string]wire.Entry{},
		starts:      map[int]startTime{},
		retiredAtMs: map[int]float64{},
	}
}

// find returns the index of an endpoint. known is false if it has none.
func (r *endpointRegistry) find(name string) (i int, known bool) { return r.names.Find(name) }

// name returns the name of the endpoint with index i, or "" if there is none.
func (r *endpointRegistry) name(i int) string { return r.names.Name(i) }

// len returns the number of indices, including those of endpoints that have left the list.
func (r *endpointRegistry) len() int { return r.names.Len() }

// beginUpdate stores the version and the clock of a received list and returns the entries held before. If the list is
// whole (a snapshot), the current entries are cleared.
func (r *endpointRegistry) beginUpdate(list *wire.List, nowMs float64) (previous map[string]wire.Entry) {
	r.version = list.Version
	r.listClockMs = list.Now
	r.clockReadMs = nowMs
	previous = r.listed
	if list.Whole {
		r.listed = map[string]wire.Entry{}
	}
	return previous
}

// put stores an entry of the list, or removes it if its phase is gone.
func (r *endpointRegistry) put(e wire.Entry) {
	if e.Phase == wire.PhaseGone {
		delete(r.listed, e.Endpoint)
		return
	}
	r.listed[e.Endpoint] = e
}

// index returns the index of an endpoint and assigns one if it has none. With a relay, a pilot runs for a long time
// while endpoints keep appearing under new names, so a new endpoint reuses the index of one that left the list more
// than indexReuseDelayMs ago. reassigned is true if the index was assigned now and it, or the endpoint, may have been in
// use before; the decider then discards its state for the index.
func (r *endpointRegistry) index(e wire.Entry, nowMs float64) (i int, reassigned bool) {
	if i, known := r.names.Find(e.Endpoint); known {
		delete(r.retiredAtMs, i)
		return i, false
	}
	for _, i := range slices.Sorted(maps.Keys(r.retiredAtMs)) {
		if nowMs-r.retiredAtMs[i] > indexReuseDelayMs {
			delete(r.retiredAtMs, i)
			delete(r.starts, i)
			r.names.Rename(i, e.Endpoint)
			r.reused = true
			return i, true
		}
	}
	return r.names.Intern(e.Endpoint), r.reused
}

// startedMs returns the start time of an endpoint in ms on the pilot's clock; 0 means that it started long ago. The
// time is computed from the entry's age when its timestamp is first seen, and cached: the decider would interpret a
// different value as a restart.
func (r *endpointRegistry) startedMs(i int, e wire.Entry, nowMs float64) float64 {
	if known, seen := r.starts[i]; seen && known.listStamp == e.Started {
		return known.startedMs
	}
	startedMs := 0.0
	if e.Started != 0 {
		startedMs = nowMs - float64(max(0, int64(r.listClockMs-e.Started)))
		if startedMs == 0 {
			startedMs = minStartMs
		}
	}
	r.starts[i] = startTime{listStamp: e.Started, startedMs: startedMs}
	return startedMs
}

// retireUnlisted records which endpoints have left the list, so that their indices can be reused later.
func (r *endpointRegistry) retireUnlisted(nowMs float64) {
	for i, name := range r.names.All() {
		_, listed := r.listed[name]
		_, retired := r.retiredAtMs[i]
		if !listed && !retired {
			r.retiredAtMs[i] = nowMs
		}
	}
}

// snapshot returns the current list, sorted by name, with its clock advanced to nowMs.
func (r *endpointRegistry) snapshot(nowMs float64) *wire.List {
	clockMs := r.listClockMs + uint64(max(0, nowMs-r.clockReadMs))
	list := &wire.List{Version: r.version, Now: clockMs, Whole: true}
	for _, name := range slices.Sorted(maps.Keys(r.listed)) {
		list.Entries = append(list.Entries, r.listed[name])
	}
	return list
}

// applyList applies a snapshot or delta of the endpoint list and returns the event for the decider.
func (c *Core) applyList(in EndpointsListed) planner.Event {
	previous := c.endpoints.beginUpdate(in.List, c.nowMs)
	update := planner.EndpointUpdate{Mode: listMode(in), Version: in.List.Version}
	listed := map[int]bool{}
	for _, e := range in.List.Entries {
		entry, valid := c.applyEntry(e, previous)
		if !valid {
			continue
		}
		listed[entry.Endpoint] = true
		if c.options.Relay == nil {
			c.reports.updateEndpoint(c.nowMs, e.Endpoint, entry)
		}
		update.Entries = append(update.Entries, entry)
	}
	if c.options.Relay != nil {
		c.ReportStats.Listed = len(c.endpoints.listed)
		c.endpoints.retireUnlisted(c.nowMs)
	} else if in.List.Whole {
		c.reports.removeUnlisted(c.nowMs, listed)
	}
	return update
}

// listMode returns whether an input is a delta, a cached snapshot or a current snapshot.
func listMode(in EndpointsListed) planner.UpdateMode {
	switch {
	case !in.List.Whole:
		return planner.Delta
	case in.Cached:
		return planner.Cached
	default:
		return planner.Snapshot
	}
}

// applyEntry stores one entry of the list and converts it for the decider. An entry with an unknown zone is not valid.
// An entry with an invalid weight keeps its previous weight, but its phase is applied: a drain must not be lost because
// of a wrong weight.
func (c *Core) applyEntry(e wire.Entry, previous map[string]wire.Entry) (entry planner.Entry, valid bool) {
	zone, known := c.zones.Find(e.Zone)
	if !known {
		c.reportMalformed(malformedEndpointZone, e.Endpoint, e.Zone)
		return planner.Entry{}, false
	}
	if !planner.ValidWeight(e.Weight) {
		c.reportMalformed(malformedEndpointWeight, e.Endpoint, fmt.Sprint(e.Weight))
		e.Weight = previous[e.Endpoint].Weight
	}
	c.endpoints.put(e)
	i, reassigned := c.endpoints.index(e, c.nowMs)
	return planner.Entry{
		Endpoint:   i,
		Zone:       zone,
		Machine:    c.machines.Intern(e.Machine),
		Cell:       e.Cell,
		Phase:      planner.Phase(e.Phase),
		Weight:     e.Weight,
		Started:    c.endpoints.startedMs(i, e, c.nowMs),
		Reassigned: reassigned,
	}, true
}
