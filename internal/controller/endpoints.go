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
	// indexReuseDelayMs is how long an endpoint's index stays its own once it is off the list: longer than anything that may
	// still name it, at proxies or in the decider.
	indexReuseDelayMs = 60000
	// minStartMs stands for a start at 0 ms of our clock, as 0 means the distant past.
	minStartMs = 1e-3
)

// endpointRegistry knows endpoints by name and by index: which are listed, when each started, and which indices may be
// used again.
type endpointRegistry struct {
	names settings.Names

	// The list as held: its entries by name, its version, and its own clock, listClockMs at clockReadMs of ours.
	listed      map[string]wire.Entry
	version     int
	listClockMs uint64
	clockReadMs float64

	// starts holds when endpoints started, by index.
	starts map[int]startTime
	// retiredAtMs holds since when endpoints are off the list, by index; it is kept only where indices are used again.
	retiredAtMs map[int]float64
}

// startTime is an endpoint's start as the list stamped it, on the list's clock, and as the decider was told, on ours.
type startTime struct {
	listStamp uint64
	startedMs float64
}

// newEndpointRegistry returns a registry that knows no endpoint.
func newEndpointRegistry() endpointRegistry {
	return endpointRegistry{
		listed:      map[string]wire.Entry{},
		starts:      map[int]startTime{},
		retiredAtMs: map[int]float64{},
	}
}

// find returns the index of an endpoint that has one.
func (r *endpointRegistry) find(name string) (i int, known bool) { return r.names.Find(name) }

// name returns the name behind an index, or nothing.
func (r *endpointRegistry) name(i int) string { return r.names.Name(i) }

// len returns how many indices there are.
func (r *endpointRegistry) len() int { return r.names.Len() }

// beginUpdate takes over the version and the clock of a list. A whole one begins the entries anew. It returns those
// held before.
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

// put takes over an entry.
func (r *endpointRegistry) put(e wire.Entry) {
	if e.Phase == wire.PhaseGone {
		delete(r.listed, e.Endpoint)
		return
	}
	r.listed[e.Endpoint] = e
}

// index returns an endpoint's index, giving it one at its first appearance. Where others hold the streams a pilot
// lives for long while endpoints come under ever new names: one that is new takes the index of one that is long gone,
// if its start differs, by which the decider tells that nothing of the old one counts.
func (r *endpointRegistry) index(e wire.Entry, nowMs float64) int {
	if i, known := r.names.Find(e.Endpoint); known {
		delete(r.retiredAtMs, i)
		return i
	}
	for _, i := range slices.Sorted(maps.Keys(r.retiredAtMs)) {
		if nowMs-r.retiredAtMs[i] > indexReuseDelayMs && r.starts[i].listStamp != e.Started {
			delete(r.retiredAtMs, i)
			r.names.Rename(i, e.Endpoint)
			return i
		}
	}
	return r.names.Intern(e.Endpoint)
}

// startedMs returns an endpoint's start on our clock, 0 for the distant past. It is reckoned from the entry's age when
// its stamp was first seen, and stays so: the decider takes any other figure for a restart.
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

// retireUnlisted notes which endpoints are off the list, so that their indices may be used again.
func (r *endpointRegistry) retireUnlisted(nowMs float64) {
	for i, name := range r.names.All() {
		_, listed := r.listed[name]
		_, retired := r.retiredAtMs[i]
		if !listed && !retired {
			r.retiredAtMs[i] = nowMs
		}
	}
}

// snapshot returns the list as held, with its clock carried on to now.
func (r *endpointRegistry) snapshot(nowMs float64) *wire.List {
	clockMs := r.listClockMs + uint64(max(0, nowMs-r.clockReadMs))
	list := &wire.List{Version: r.version, Now: clockMs, Whole: true}
	for _, name := range slices.Sorted(maps.Keys(r.listed)) {
		list.Entries = append(list.Entries, r.listed[name])
	}
	return list
}

// applyList takes over entries of the list and returns them as the decider is to hear of them.
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

// listMode returns how entries apply to the list held so far.
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

// applyEntry takes over one entry of the list. It is not valid in an unknown zone. With a weight that none can be it
// keeps the weight held before, and its phase counts all the same: a drain is not lost over a wrong weight.
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
	i := c.endpoints.index(e, c.nowMs)
	return planner.Entry{
		Endpoint: i,
		Zone:     zone,
		Machine:  c.machines.Intern(e.Machine),
		Cell:     e.Cell,
		Phase:    planner.Phase(e.Phase),
		Weight:   e.Weight,
		Started:  c.endpoints.startedMs(i, e, c.nowMs),
	}, true
}
