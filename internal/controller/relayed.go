package controller

import (
	"fmt"
	"maps"
	"slices"

	"indigousher/internal/settings"
	"indigousher/internal/wire"
	"indigousher/planner"
)

// Relay carries what one turn ordered to proxies whose streams others hold. It queues and paces by itself: the core
// lays no messages out and its channel stays empty. Carry must not block and keeps nothing of what it is given.
type Relay interface {
	Enqueue(turn []planner.Command, endpoint func(i int) string)
	// Gone says that what waits for a proxy is void.
	ProxyLeft(proxy int)
}

// RelayProxyJoined says that a proxy, known by its number, has joined the relay in this pilot's charge; Stood, that it stands
// there after a time in which nobody saw whether it left and came back.
type RelayProxyJoined struct {
	Proxy          int
	Zone           string
	Rate           float64
	Fresh, Resumed bool
}

// RelayProxyLeft says that it has left.
type RelayProxyLeft struct{ Proxy int }

// RelayAck says that it has applied everything up to a mark.
type RelayAck struct {
	Proxy, Mark int
	TookMs      float64
}

// RelayStalled says that the relay has taken no orders for so long, or, with 0, that it takes them again. Again names the
// marks of a call that may have been carried out and is said again, Joined those of orders that go out as one call now.
type RelayStalled struct {
	ForMs            float64
	Repeated, Merged []int
}

// ZoneStats is a line of what the proxies of a zone met, summed up elsewhere.
type ZoneStats struct {
	Zone, Endpoint   string
	Attempts, Failed int
	MeanMs, SpanMs   float64
	Load             map[string]float64
}

// ProxyStats is a line of what came to a proxy, summed up elsewhere.
type ProxyStats struct {
	Proxy                int
	Class                string
	Requests, Unanswered int
	SpanMs               float64
}

// relayedNote turns an input about relayed proxies into notes.
func (c *Core) relayedNote(notes []planner.Event, in Input) []planner.Event {
	switch in := in.(type) {
	case RelayProxyJoined:
		return c.relayedJoin(notes, in)
	case RelayProxyLeft:
		return c.relayedLeave(notes, in.Proxy)
	case RelayAck:
		if c.relayed[in.Proxy] {
			return append(notes, planner.Ack{Proxy: in.Proxy, Number: in.Mark, TookMs: in.TookMs})
		}
	case RelayStalled:
		return append(notes, planner.ChannelStalled{ForMs: in.ForMs, Repeated: in.Repeated, Merged: in.Merged})
	case ZoneStats:
		zone, known := c.zones.Find(in.Zone)
		endpoint, listed := c.endpoints.Find(in.Endpoint)
		if !known || !listed {
			c.odd("report of an unknown zone or endpoint")
			return notes
		}
		c.ReportStats.Reports++
		c.ReportStats.SpanMs += in.SpanMs
		return append(notes, planner.EndpointStats{Endpoint: endpoint, Zone: zone, Attempts: in.Attempts, Failed: in.Failed,
			MeanMs: in.MeanMs, SpanMs: in.SpanMs, Load: settings.ParseLoad(in.Load)})
	case ProxyStats:
		kind, known := c.kinds.Find(in.Class)
		if !known || !c.provides(in.Proxy) {
			c.odd("demand of an unknown req kind or proxy")
			return notes
		}
		c.ReportStats.Reports++
		c.ReportStats.SpanMs += in.SpanMs
		return append(notes, planner.RequestStats{Proxy: in.Proxy, Class: kind, Requests: in.Requests, Unanswered: in.Unanswered,
			SpanMs: in.SpanMs})
	}
	return notes
}

// provides returns whether the terms tell of a proxy of that number.
func (c *Core) provides(proxy int) bool { return proxy >= 0 && proxy < c.plan.MaxProxies }

func (c *Core) relayedJoin(notes []planner.Event, in RelayProxyJoined) []planner.Event {
	zone, known := c.zones.Find(in.Zone)
	if !known || !c.provides(in.Proxy) || !planner.ValidRate(in.Rate) {
		c.odd("proxy of an unknown number or zone", fmt.Sprint(in.Proxy), in.Zone)
		return notes
	}
	stood := in.Resumed && c.relayed[in.Proxy]
	if !stood {
		notes = c.relayedLeave(notes, in.Proxy)
	}
	c.relayed[in.Proxy] = true
	return append(notes, planner.ProxyJoined{Proxy: in.Proxy, Zone: zone, Rate: in.Rate, Fresh: in.Fresh, Resumed: stood})
}

func (c *Core) relayedLeave(notes []planner.Event, proxy int) []planner.Event {
	if !c.relayed[proxy] {
		return notes
	}
	delete(c.relayed, proxy)
	c.plan.Relay.ProxyLeft(proxy)
	return append(notes, planner.ProxyLeft{Proxy: proxy})
}

// ReportStats counts what the core took in of reports, for the pilot's own book-keeping.
type ReportStats struct {
	Reports   int     `json:"Reports"`
	Malformed int     `json:"Odd"`
	SpanMs    float64 `json:"SpanMs"` // that all reports covered
	Listed    int     `json:"Listed"` // endpoints on the list as held
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
		if c.now-c.retired[i] > retiredMs && c.stamps[i].stamp != e.Started {
			delete(c.retired, i)
			c.endpoints.Rename(i, e.Endpoint)
			return i
		}
	}
	return c.endpoints.Intern(e.Endpoint)
}

// retire notes which endpoints are off the list.
func (c *Core) retire() {
	c.ReportStats.Listed = len(c.listed)
	for i, name := range c.endpoints.All() {
		_, listed := c.listed[name]
		if _, since := c.retired[i]; !listed && !since {
			c.retired[i] = c.now
		}
	}
}

// relay collects an order for the relay, if that is where it goes.
func (c *Core) relay(o planner.Command) bool {
	if c.plan.Relay == nil {
		return false
	}
	switch o := o.(type) {
	case planner.AssignTable:
		if !c.relayed[o.Proxy] {
			c.odd("bind of a proxy that has left", fmt.Sprint(o.Proxy))
			return true
		}
	case planner.SetWeight, planner.ClearTable, planner.SetExcluded, planner.SetAdmission, planner.AckRequest:
	default:
		return false
	}
	c.turn = append(c.turn, o)
	return true
}

// handOver gives the relay what the turn ordered.
func (c *Core) handOver() {
	if len(c.turn) > 0 {
		c.plan.Relay.Enqueue(c.turn, c.endpoints.Name)
		clear(c.turn)
		c.turn = c.turn[:0]
	}
}
