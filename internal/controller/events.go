package controller

import (
	"fmt"
	"maps"

	"indigousher/planner"
)

// outcomeOK is the outcome of a successful health check.
const outcomeOK = "ok"

// handleInput processes one input and appends the resulting events for the decider.
func (c *Core) handleInput(events []planner.Event, in Input) []planner.Event {
	switch in := in.(type) {
	case ProxyJoined:
		return c.join(events, in)
	case ProxyLeft:
		return c.leave(events, in)
	case LoadReported: // only in simulated time; Loop.Post passes reports to the aggregator directly
		c.Report(c.nowMs, in.Stream, in.Sums)
	case Acked:
		return c.acknowledge(events, in)
	case EndpointsListed:
		return append(events, c.applyList(in))
	case EndpointListLost:
		return append(events, planner.EndpointUpdate{Mode: planner.UpdateFailed})
	case SliceAssigned:
		return c.assignSlice(events, in.Slices)
	case HealthChecked:
		return c.healthChecked(events, in)
	case GossipReceived:
		return append(events, planner.Gossip{From: in.From, Text: in.Text})
	case SettingsChanged:
		c.changeSettings(in.Settings)
	case TelemetryBatch:
		c.acceptRecorded(in.Events)
	default:
		return c.handleRelayInput(events, in)
	}
	return events
}

// healthChecked appends the result of a health check. Results for unknown endpoints are ignored.
func (c *Core) healthChecked(events []planner.Event, in HealthChecked) []planner.Event {
	endpoint, known := c.endpoints.find(in.Endpoint)
	if !known {
		return events
	}
	load, outOfRange := loadReport(in.Load)
	for _, f := range outOfRange {
		c.reportMalformed(malformedLoadFigure, f.Name, fmt.Sprint(f.Value))
	}
	return append(events, planner.HealthCheckResult{
		Endpoint: endpoint, OK: in.Outcome == outcomeOK, Outcome: in.Outcome,
		TookMs: in.TookMs, Load: load,
	})
}

// changeSettings applies changed settings to the decider and to the channel.
func (c *Core) changeSettings(changed map[string]any) {
	maps.Copy(c.options.Settings, changed)
	c.options.Decider.Reconfigure(c.options.Settings)
	c.Channel.Reconfigure(changed)
}
