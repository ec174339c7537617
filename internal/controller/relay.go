package controller

import (
	"fmt"

	"indigousher/internal/settings"
	"indigousher/planner"
)

// relayedProxies are the proxies whose streams a relay holds, and what the turn under way commands them.
type relayedProxies struct {
	joined   map[int]bool    // by number
	commands []planner.Order // of this turn
}

// newRelayedProxies returns a set that no proxy has joined.
func newRelayedProxies() relayedProxies { return relayedProxies{joined: map[int]bool{}} }

// flush gives the relay the commands of this turn as one call.
func (r *relayedProxies) flush(relay Relay, endpoints *endpointRegistry) {
	if len(r.commands) == 0 {
		return
	}
	relay.Carry(r.commands, endpoints.name)
	clear(r.commands)
	r.commands = r.commands[:0]
}

// handleRelayInput takes over what an input says of relayed proxies and appends what the decider is to hear of it.
func (c *Core) handleRelayInput(events []planner.Note, in Input) []planner.Note {
	switch in := in.(type) {
	case Relayed:
		return c.joinRelayed(events, in)
	case Unrelayed:
		return c.leaveRelayed(events, in.Proxy)
	case RelayApplied:
		if c.relayed.joined[in.Proxy] {
			return append(events, planner.Applied{Proxy: in.Proxy, Number: in.Mark, TookMs: in.TookMs})
		}
	case RelayStalled:
		return append(events, planner.Stalled{ForMs: in.ForMs, Again: in.Again, Joined: in.Joined})
	case ZoneMet:
		return c.zoneMet(events, in)
	case ProxyDemand:
		return c.proxyDemand(events, in)
	}
	return events
}

// zoneMet appends what the proxies of a zone met at an endpoint.
func (c *Core) zoneMet(events []planner.Note, in ZoneMet) []planner.Note {
	zone, zoneKnown := c.zones.Find(in.Zone)
	endpoint, endpointKnown := c.endpoints.find(in.Endpoint)
	if !zoneKnown || !endpointKnown {
		c.reportMalformed(malformedRelayedReport)
		return events
	}
	c.countRelayedReport(in.SpanMs)
	return append(events, planner.Met{
		Endpoint: endpoint, Zone: zone, Tries: in.Tries, Failed: in.Failed,
		MeanMs: in.MeanMs, SpanMs: in.SpanMs, Load: settings.Load(in.Load),
	})
}

// proxyDemand appends the requests of a kind that came to a proxy.
func (c *Core) proxyDemand(events []planner.Note, in ProxyDemand) []planner.Note {
	kind, known := c.kinds.Find(in.Kind)
	if !known || !c.validProxy(in.Proxy) {
		c.reportMalformed(malformedRelayedDemand)
		return events
	}
	c.countRelayedReport(in.SpanMs)
	return append(events, planner.Demand{
		Proxy: in.Proxy, Kind: kind, Reqs: in.Reqs, Unanswered: in.Unanswered,
		SpanMs: in.SpanMs,
	})
}

// countRelayedReport counts a report that came summed up.
func (c *Core) countRelayedReport(spanMs float64) {
	c.Believed.Reports++
	c.Believed.SpanMs += spanMs
}

// validProxy returns whether the deployment has a proxy of that number.
func (c *Core) validProxy(proxy int) bool { return validIndex(proxy, c.plan.MostProxies) }

// joinRelayed takes in a proxy. One that had joined before has left in between, unless it is said to have stood.
func (c *Core) joinRelayed(events []planner.Note, in Relayed) []planner.Note {
	zone, known := c.zones.Find(in.Zone)
	if !known || !c.validProxy(in.Proxy) || !planner.Sound(in.Rate) {
		c.reportMalformed(malformedRelayedProxy, fmt.Sprint(in.Proxy), in.Zone)
		return events
	}
	stood := in.Stood && c.relayed.joined[in.Proxy]
	if !stood {
		events = c.leaveRelayed(events, in.Proxy)
	}
	c.relayed.joined[in.Proxy] = true
	return append(events, planner.Joined{Proxy: in.Proxy, Zone: zone, Rate: in.Rate, Fresh: in.Fresh, Stood: stood})
}

// leaveRelayed appends that a proxy has left, if it had joined. What waits for it at the relay is void.
func (c *Core) leaveRelayed(events []planner.Note, proxy int) []planner.Note {
	if !c.relayed.joined[proxy] {
		return events
	}
	delete(c.relayed.joined, proxy)
	c.plan.Relay.Gone(proxy)
	return append(events, planner.Left{Proxy: proxy})
}

// forwardToRelay collects a command for the relay, if that is where it goes, and returns whether it does. A bind of a
// proxy that has left goes nowhere.
func (c *Core) forwardToRelay(command planner.Order) bool {
	if c.plan.Relay == nil {
		return false
	}
	switch command := command.(type) {
	case planner.Bind:
		if !c.relayed.joined[command.Proxy] {
			c.reportMalformed(malformedBindOfLeftProxy, fmt.Sprint(command.Proxy))
			return true
		}
	case planner.SetLine, planner.ClearTable, planner.Withdraw, planner.Admit, planner.Mark:
	default:
		return false
	}
	c.relayed.commands = append(c.relayed.commands, command)
	return true
}
