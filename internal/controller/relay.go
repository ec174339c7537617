package controller

import (
	"fmt"

	"indigousher/internal/settings"
	"indigousher/planner"
)

// relayedProxies are the proxies whose streams a relay holds, and what the turn under way commands them.
type relayedProxies struct {
	joined   map[int]bool      // by number
	commands []planner.Command // of this turn
}

// newRelayedProxies returns a set that no proxy has joined.
func newRelayedProxies() relayedProxies { return relayedProxies{joined: map[int]bool{}} }

// flush gives the relay the commands of this turn as one call.
func (r *relayedProxies) flush(relay Relay, endpoints *endpointRegistry) {
	if len(r.commands) == 0 {
		return
	}
	relay.Enqueue(r.commands, endpoints.name)
	clear(r.commands)
	r.commands = r.commands[:0]
}

// handleRelayInput takes over what an input says of relayed proxies and appends what the decider is to hear of it.
func (c *Core) handleRelayInput(events []planner.Event, in Input) []planner.Event {
	switch in := in.(type) {
	case RelayProxyJoined:
		return c.joinRelayed(events, in)
	case RelayProxyLeft:
		return c.leaveRelayed(events, in.Proxy)
	case RelayAck:
		if c.relayed.joined[in.Proxy] {
			return append(events, planner.Ack{Proxy: in.Proxy, Number: in.Mark, TookMs: in.TookMs})
		}
	case RelayStalled:
		return append(events, planner.ChannelStalled{ForMs: in.ForMs, Repeated: in.Repeated, Merged: in.Merged})
	case ZoneStats:
		return c.zoneStats(events, in)
	case ProxyStats:
		return c.proxyStats(events, in)
	}
	return events
}

// zoneStats appends the attempts of a zone's proxies at an endpoint.
func (c *Core) zoneStats(events []planner.Event, in ZoneStats) []planner.Event {
	zone, zoneKnown := c.zones.Find(in.Zone)
	endpoint, endpointKnown := c.endpoints.find(in.Endpoint)
	if !zoneKnown || !endpointKnown {
		c.reportMalformed(malformedRelayedReport)
		return events
	}
	c.countRelayedReport(in.SpanMs)
	return append(events, planner.EndpointStats{
		Endpoint: endpoint, Zone: zone, Attempts: in.Attempts, Failed: in.Failed,
		MeanMs: in.MeanMs, SpanMs: in.SpanMs, Load: settings.ParseLoad(in.Load),
	})
}

// proxyStats appends the requests of a class that came to a proxy.
func (c *Core) proxyStats(events []planner.Event, in ProxyStats) []planner.Event {
	class, known := c.classes.Find(in.Class)
	if !known || !c.validProxy(in.Proxy) {
		c.reportMalformed(malformedRelayedStats)
		return events
	}
	c.countRelayedReport(in.SpanMs)
	return append(events, planner.RequestStats{
		Proxy: in.Proxy, Class: class, Requests: in.Requests, Unanswered: in.Unanswered,
		SpanMs: in.SpanMs,
	})
}

// countRelayedReport counts a report that came summed up.
func (c *Core) countRelayedReport(spanMs float64) {
	c.ReportStats.Reports++
	c.ReportStats.SpanMs += spanMs
}

// validProxy returns whether the deployment has a proxy of that number.
func (c *Core) validProxy(proxy int) bool { return validIndex(proxy, c.options.MaxProxies) }

// joinRelayed takes in a proxy. One that had joined before has left in between, unless it is said to have stood.
func (c *Core) joinRelayed(events []planner.Event, in RelayProxyJoined) []planner.Event {
	zone, known := c.zones.Find(in.Zone)
	if !known || !c.validProxy(in.Proxy) || !planner.ValidRate(in.Rate) {
		c.reportMalformed(malformedRelayedProxy, fmt.Sprint(in.Proxy), in.Zone)
		return events
	}
	resumed := in.Resumed && c.relayed.joined[in.Proxy]
	if !resumed {
		events = c.leaveRelayed(events, in.Proxy)
	}
	c.relayed.joined[in.Proxy] = true
	return append(events, planner.ProxyJoined{Proxy: in.Proxy, Zone: zone, Rate: in.Rate, Fresh: in.Fresh, Resumed: resumed})
}

// leaveRelayed appends that a proxy has left, if it had joined. What waits for it at the relay is void.
func (c *Core) leaveRelayed(events []planner.Event, proxy int) []planner.Event {
	if !c.relayed.joined[proxy] {
		return events
	}
	delete(c.relayed.joined, proxy)
	c.options.Relay.ProxyLeft(proxy)
	return append(events, planner.ProxyLeft{Proxy: proxy})
}

// forwardToRelay collects a command for the relay, if that is where it goes, and returns whether it does. An assignment
// to a proxy that has left goes nowhere.
func (c *Core) forwardToRelay(command planner.Command) bool {
	if c.options.Relay == nil {
		return false
	}
	switch command := command.(type) {
	case planner.AssignTable:
		if !c.relayed.joined[command.Proxy] {
			c.reportMalformed(malformedAssignment, fmt.Sprint(command.Proxy))
			return true
		}
	case planner.SetWeight, planner.ClearTable, planner.SetExcluded, planner.SetAdmission, planner.AckRequest:
	default:
		return false
	}
	c.relayed.commands = append(c.relayed.commands, command)
	return true
}
