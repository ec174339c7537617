package pilot

import (
	"fmt"

	"indigousher/brain"
	"indigousher/internal/translate"
)

// relayedNote turns an input about relayed proxies into notes.
func (c *Core) handleRelayInput(events []brain.Note, in Input) []brain.Note {
	switch in := in.(type) {
	case Relayed:
		return c.joinRelayed(events, in)
	case Unrelayed:
		return c.leaveRelayed(events, in.Proxy)
	case RelayApplied:
		if c.relayProxies[in.Proxy] {
			return append(events, brain.Applied{Proxy: in.Proxy, Number: in.Mark, TookMs: in.TookMs})
		}
	case RelayStalled:
		return append(events, brain.Stalled{ForMs: in.ForMs, Again: in.Again, Joined: in.Joined})
	case ZoneMet:
		zone, known := c.zones.Find(in.Zone)
		endpoint, listed := c.endpoints.find(in.Endpoint)
		if !known || !listed {
			c.reportMalformed(malformedRelayedReport)
			return events
		}
		c.Believed.Reports++
		c.Believed.SpanMs += in.SpanMs
		return append(events, brain.Met{Endpoint: endpoint, Zone: zone, Tries: in.Tries, Failed: in.Failed,
			MeanMs: in.MeanMs, SpanMs: in.SpanMs, Load: translate.Load(in.Load)})
	case ProxyDemand:
		kind, known := c.kinds.Find(in.Kind)
		if !known || !c.validProxy(in.Proxy) {
			c.reportMalformed(malformedRelayedDemand)
			return events
		}
		c.Believed.Reports++
		c.Believed.SpanMs += in.SpanMs
		return append(events, brain.Demand{Proxy: in.Proxy, Kind: kind, Reqs: in.Reqs, Unanswered: in.Unanswered,
			SpanMs: in.SpanMs})
	}
	return events
}

// provides returns whether the terms tell of a proxy of that number.
func (c *Core) validProxy(proxy int) bool { return proxy >= 0 && proxy < c.plan.MostProxies }

func (c *Core) joinRelayed(events []brain.Note, in Relayed) []brain.Note {
	zone, known := c.zones.Find(in.Zone)
	if !known || !c.validProxy(in.Proxy) || !brain.Sound(in.Rate) {
		c.reportMalformed(malformedRelayedProxy, fmt.Sprint(in.Proxy), in.Zone)
		return events
	}
	stood := in.Stood && c.relayProxies[in.Proxy]
	if !stood {
		events = c.leaveRelayed(events, in.Proxy)
	}
	c.relayProxies[in.Proxy] = true
	return append(events, brain.Joined{Proxy: in.Proxy, Zone: zone, Rate: in.Rate, Fresh: in.Fresh, Stood: stood})
}

func (c *Core) leaveRelayed(events []brain.Note, proxy int) []brain.Note {
	if !c.relayProxies[proxy] {
		return events
	}
	delete(c.relayProxies, proxy)
	c.plan.Relay.Gone(proxy)
	return append(events, brain.Left{Proxy: proxy})
}

// relay collects an order for the relay, if that is where it goes.
func (c *Core) forwardToRelay(o brain.Order) bool {
	if c.plan.Relay == nil {
		return false
	}
	switch o := o.(type) {
	case brain.Bind:
		if !c.relayProxies[o.Proxy] {
			c.reportMalformed(malformedBindOfLeftProxy, fmt.Sprint(o.Proxy))
			return true
		}
	case brain.SetLine, brain.ClearTable, brain.Withdraw, brain.Admit, brain.Mark:
	default:
		return false
	}
	c.relayCommands = append(c.relayCommands, o)
	return true
}

// handOver gives the relay what the turn ordered.
func (c *Core) flushRelay() {
	if len(c.relayCommands) > 0 {
		c.plan.Relay.Carry(c.relayCommands, c.endpoints.name)
		clear(c.relayCommands)
		c.relayCommands = c.relayCommands[:0]
	}
}
