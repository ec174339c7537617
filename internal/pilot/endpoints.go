package pilot

import (
	"fmt"
	"maps"
	"slices"

	"indigousher/brain"
	"indigousher/internal/wire"
)

// startStamp keeps an endpoint's start as the list stamped it and as the module was told.
type startTime struct {
	stamp     uint64
	startedMs float64
}

// listing turns list entries into a note. A start is told as its age on this pilot's clock when its stamp was first
// seen, and stays so: the module takes any other figure for a restart.
func (c *Core) applyList(in Listed) brain.Note {
	l := in.List
	out, named, before := brain.Listing{Mode: brain.Changes, Version: l.Version}, map[int]bool{}, c.listed
	c.listVersion, c.listNow, c.listAt = l.Version, l.Now, c.now
	if l.Whole {
		out.Mode = brain.Whole
		if in.Remembered {
			out.Mode = brain.Remembered
		}
		c.listed = map[string]wire.Entry{}
	}
	for _, e := range l.Entries {
		zone, known := c.zones.Find(e.Zone)
		if !known {
			c.reportMalformed(malformedEndpointZone, e.Endpoint, e.Zone)
			continue
		}
		if !brain.SoundWeight(e.Weight) { // its phase counts all the same: a drain is not lost over a wrong weight
			c.reportMalformed(malformedEndpointWeight, e.Endpoint, fmt.Sprint(e.Weight))
			e.Weight = before[e.Endpoint].Weight
		}
		if c.listed[e.Endpoint] = e; e.Phase == wire.PhaseGone {
			delete(c.listed, e.Endpoint)
		}
		i := c.indexOf(e)
		if was, seen := c.starts[i]; !seen || was.stamp != e.Started {
			told := 0.0
			if e.Started != 0 {
				told = c.now - float64(max(0, int64(l.Now-e.Started)))
				told += map[bool]float64{true: 1e-3}[told == 0] // 0 means the distant past
			}
			c.starts[i] = startTime{e.Started, told}
		}
		entry := brain.Entry{Endpoint: i, Zone: zone, Machine: c.machines.In(e.Machine), Cell: e.Cell,
			Phase: brain.Phase(e.Phase), Weight: e.Weight, Started: c.starts[i].startedMs}
		named[i] = true
		if c.plan.Relay == nil {
			c.reports.updateEndpoint(c.now, e.Endpoint, entry)
		}
		out.Entries = append(out.Entries, entry)
	}
	if c.plan.Relay != nil {
		c.retire()
	} else if l.Whole {
		c.reports.removeUnlisted(c.now, named)
	}
	return out
}

// retiredMs is how long an endpoint's index stays its own once it is off the list: longer than anything that may still
// name it, at proxies or in the module.
const retiredMs = 60000

// indexOf returns an endpoint's index. Where others hold the streams a pilot lives for long while endpoints come under
// ever new names: one that is new takes the index of one that is long gone, if its start differs, by which the module
// tells that nothing of the old one counts.
func (c *Core) indexOf(e wire.Entry) int {
	if i, known := c.endpoints.Find(e.Endpoint); known {
		delete(c.retired, i)
		return i
	}
	for _, i := range slices.Sorted(maps.Keys(c.retired)) {
		if c.now-c.retired[i] > retiredMs && c.starts[i].stamp != e.Started {
			delete(c.retired, i)
			c.endpoints.Rename(i, e.Endpoint)
			return i
		}
	}
	return c.endpoints.In(e.Endpoint)
}

// retire notes which endpoints are off the list.
func (c *Core) retire() {
	c.Believed.Listed = len(c.listed)
	for i, name := range c.endpoints.All() {
		_, listed := c.listed[name]
		if _, since := c.retired[i]; !listed && !since {
			c.retired[i] = c.now
		}
	}
}
