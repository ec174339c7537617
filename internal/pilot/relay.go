package pilot

import (
	"fmt"

	"indigousher/brain"
	"indigousher/internal/translate"
)

// relayedNote turns an input about relayed proxies into notes.
func (c *Core) relayedNote(notes []brain.Note, in Input) []brain.Note {
	switch in := in.(type) {
	case Relayed:
		return c.relayedJoin(notes, in)
	case Unrelayed:
		return c.relayedLeave(notes, in.Proxy)
	case RelayApplied:
		if c.relayed[in.Proxy] {
			return append(notes, brain.Applied{Proxy: in.Proxy, Number: in.Mark, TookMs: in.TookMs})
		}
	case RelayStalled:
		return append(notes, brain.Stalled{ForMs: in.ForMs, Again: in.Again, Joined: in.Joined})
	case ZoneMet:
		zone, known := c.zones.Find(in.Zone)
		endpoint, listed := c.endpoints.Find(in.Endpoint)
		if !known || !listed {
			c.odd("report of an unknown zone or endpoint")
			return notes
		}
		c.Believed.Reports++
		c.Believed.SpanMs += in.SpanMs
		return append(notes, brain.Met{Endpoint: endpoint, Zone: zone, Tries: in.Tries, Failed: in.Failed,
			MeanMs: in.MeanMs, SpanMs: in.SpanMs, Load: translate.Load(in.Load)})
	case ProxyDemand:
		kind, known := c.kinds.Find(in.Kind)
		if !known || !c.provides(in.Proxy) {
			c.odd("demand of an unknown req kind or proxy")
			return notes
		}
		c.Believed.Reports++
		c.Believed.SpanMs += in.SpanMs
		return append(notes, brain.Demand{Proxy: in.Proxy, Kind: kind, Reqs: in.Reqs, Unanswered: in.Unanswered,
			SpanMs: in.SpanMs})
	}
	return notes
}

// provides returns whether the terms tell of a proxy of that number.
func (c *Core) provides(proxy int) bool { return proxy >= 0 && proxy < c.plan.MostProxies }

func (c *Core) relayedJoin(notes []brain.Note, in Relayed) []brain.Note {
	zone, known := c.zones.Find(in.Zone)
	if !known || !c.provides(in.Proxy) || !brain.Sound(in.Rate) {
		c.odd("proxy of an unknown number or zone", fmt.Sprint(in.Proxy), in.Zone)
		return notes
	}
	stood := in.Stood && c.relayed[in.Proxy]
	if !stood {
		notes = c.relayedLeave(notes, in.Proxy)
	}
	c.relayed[in.Proxy] = true
	return append(notes, brain.Joined{Proxy: in.Proxy, Zone: zone, Rate: in.Rate, Fresh: in.Fresh, Stood: stood})
}

func (c *Core) relayedLeave(notes []brain.Note, proxy int) []brain.Note {
	if !c.relayed[proxy] {
		return notes
	}
	delete(c.relayed, proxy)
	c.plan.Relay.Gone(proxy)
	return append(notes, brain.Left{Proxy: proxy})
}

// relay collects an order for the relay, if that is where it goes.
func (c *Core) relay(o brain.Order) bool {
	if c.plan.Relay == nil {
		return false
	}
	switch o := o.(type) {
	case brain.Bind:
		if !c.relayed[o.Proxy] {
			c.odd("bind of a proxy that has left", fmt.Sprint(o.Proxy))
			return true
		}
	case brain.SetLine, brain.ClearTable, brain.Withdraw, brain.Admit, brain.Mark:
	default:
		return false
	}
	c.turn = append(c.turn, o)
	return true
}

// handOver gives the relay what the turn ordered.
func (c *Core) handOver() {
	if len(c.turn) > 0 {
		c.plan.Relay.Carry(c.turn, c.endpoints.Name)
		clear(c.turn)
		c.turn = c.turn[:0]
	}
}
