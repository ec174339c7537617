package pilot

import (
	"fmt"

	"indigousher/brain"
	"indigousher/internal/translate"
)

// relayedProxies are the proxies whose streams a relay holds, and what the turn under way commands them.
type relayedProxies struct {
	joined   map[int]bool  // by number
	commands []brain.Order // of this turn
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
func (c *Core) handleRelayInput(events []brain.Note, in Input) []brain.Note {
	switch in := in.(type) {
	case Relayed:
		return c.joinRelayed(events, in)
	case Unrelayed:
		return c.leaveRelayed(events, in.Proxy)
	case RelayApplied:
		if c.relayed.joined[in.Proxy] {
			return append(events, brain.Applied{Proxy: in.Proxy, Number: in.Mark, TookMs: in.TookMs})
		}
	case RelayStalled:
		return append(events, brain.Stalled{ForMs: in.ForMs, Again: in.Again, Joined: in.Joined})
	case ZoneMet:
		return c.zoneMet(events, in)
	case ProxyDemand:
		return c.proxyDemand(events, in)
	}
	return events
}

// zoneMet appends what the proxies of a zone met at an endpoint.
func (c *Core) zoneMet(events []brain.Note, in ZoneMet) []brain.Note {
	zone, zoneKnown := c.zones.Find(in.Zone)
	endpoint, endpointKnown := c.endpoints.find(in.Endpoint)
	if !zoneKnown || !endpointKnown {
		c.reportMalformed(malformedRelayedReport)
		return events
	}
	c.countRelayedReport(in.SpanMs)
	return append(events, brain.Met{
		Endpoint: endpoint, Zone: zone, Tries: in.Tries, Failed: in.Failed,
		MeanMs: in.MeanMs, SpanMs: in.SpanMs, Load: translate.Load(in.Load),
	})
}

// proxyDemand appends the requests of a kind that came to a proxy.
func (c *Core) proxyDemand(events []brain.Note, in ProxyDemand) []brain.Note {
	kind, known := c.kinds.Find(in.Kind)
	if !known || !c.validProxy(in.Proxy) {
		c.reportMalformed(malformedRelayedDemand)
		return events
	}
	c.countRelayedReport(in.SpanMs)
	return append(events, brain.Demand{
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
func (c *Core) joinRelayed(events []brain.Note, in Relayed) []brain.Note {
	zone, known := c.zones.Find(in.Zone)
	if !known || !c.validProxy(in.Proxy) || !brain.Sound(in.Rate) {
		c.reportMalformed(malformedRelayedProxy, fmt.Sprint(in.Proxy), in.Zone)
		return events
	}
	stood := in.Stood && c.relayed.joined[in.Proxy]
	if !stood {
		events = c.leaveRelayed(events, in.Proxy)
	}
	c.relayed.joined[in.Proxy] = true
	return append(events, brain.Joined{Proxy: in.Proxy, Zone: zone, Rate: in.Rate, Fresh: in.Fresh, Stood: stood})
}

// leaveRelayed appends that a proxy has left, if it had joined. What waits for it at the relay is void.
func (c *Core) leaveRelayed(events []brain.Note, proxy int) []brain.Note {
	if !c.relayed.joined[proxy] {
		return events
	}
	delete(c.relayed.joined, proxy)
	c.plan.Relay.Gone(proxy)
	return append(events, brain.Left{Proxy: proxy})
}

// forwardToRelay collects a command for the relay, if that is where it goes, and returns whether it does. A bind of a
// proxy that has left goes nowhere.
func (c *Core) forwardToRelay(command brain.Order) bool {
	if c.plan.Relay == nil {
		return false
	}
	switch command := command.(type) {
	case brain.Bind:
		if !c.relayed.joined[command.Proxy] {
			c.reportMalformed(malformedBindOfLeftProxy, fmt.Sprint(command.Proxy))
			return true
		}
	case brain.SetLine, brain.ClearTable, brain.Withdraw, brain.Admit, brain.Mark:
	default:
		return false
	}
	c.relayed.commands = append(c.relayed.commands, command)
	return true
}
