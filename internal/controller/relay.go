package controller

import (
	"fmt"

	"indigousher/internal/settings"
	"indigousher/planner"
)

// relayedProxies holds the proxies that are connected through a relay and the commands for them in the current turn.
type relayedProxies struct {
	joined   map[int]bool      // the joined proxies, by number
	commands []planner.Command // commands of the current turn
}

// newRelayedProxies returns an empty set of proxies.
func newRelayedProxies() relayedProxies { return relayedProxies{joined: map[int]bool{}} }

// flush passes the commands of this turn to the relay in one call.
func (r *relayedProxies) flush(relay Relay, endpoints *endpointRegistry) {
	if len(r.commands) == 0 {
		return
	}
	relay.Enqueue(r.commands, endpoints.name)
	clear(r.commands)
	r.commands = r.commands[:0]
}

// handleRelayInput processes an input from the relay and appends the resulting events for the decider.
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

// zoneStats appends an event with the attempts of a zone's proxies at an endpoint.
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

// proxyStats appends an event with the requests of a class that a proxy received.
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

// countRelayedReport counts an aggregated report from the relay that covers spanMs milliseconds.
func (c *Core) countRelayedReport(spanMs float64) {
	c.ReportStats.Reports++
	c.ReportStats.SpanMs += spanMs
}

// validProxy reports whether a proxy number is in the range given by Options.MaxProxies.
func (c *Core) validProxy(proxy int) bool { return validIndex(proxy, c.options.MaxProxies) }

// joinRelayed records that a proxy has joined and appends an event. If the proxy is already joined and the input does
// not say that it resumed, an event that it left comes first.
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

// leaveRelayed appends an event that a proxy has left, if it had joined, and has the relay discard its queued commands.
func (c *Core) leaveRelayed(events []planner.Event, proxy int) []planner.Event {
	if !c.relayed.joined[proxy] {
		return events
	}
	delete(c.relayed.joined, proxy)
	c.options.Relay.ProxyLeft(proxy)
	return append(events, planner.ProxyLeft{Proxy: proxy})
}

// forwardToRelay adds a command for proxies to those for the relay and reports whether the command has been handled. It
// returns false if there is no relay or the command is not for proxies. An assignment to a proxy that has left is
// dropped.
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
