package controller

import (
	"fmt"
	"maps"

	"indigousher/planner"
)

// outcomeOK is the outcome of a health check that the endpoint passed.
const outcomeOK = "ok"

// handleInput takes over what an input says and appends what the decider is to hear of it.
func (c *Core) handleInput(events []planner.Note, in Input) []planner.Note {
	switch in := in.(type) {
	case Join:
		return c.join(events, in)
	case Leave:
		return c.leave(events, in)
	case Reported: // in virtual time; on sockets the loop takes it in where it is read
		c.Report(c.now, in.Stream, in.Sums)
	case Applied:
		return c.acknowledge(events, in)
	case Listed:
		return append(events, c.applyList(in))
	case ListLost:
		return append(events, planner.Listing{Mode: planner.ListFailed})
	case SliceGiven:
		return c.assignSlice(events, in.Slices)
	case Probed:
		return c.healthChecked(events, in)
	case Heard:
		return append(events, planner.Gossip{From: in.From, Text: in.Text})
	case Retermed:
		c.changeSettings(in.Terms)
	case Told:
		c.acceptRecorded(in.Notes)
	default:
		return c.handleRelayInput(events, in)
	}
	return events
}

// healthChecked appends the result of a health check, if its endpoint is known.
func (c *Core) healthChecked(events []planner.Note, in Probed) []planner.Note {
	endpoint, known := c.endpoints.find(in.Endpoint)
	if !known {
		return events
	}
	load, outOfRange := loadReport(in.Load)
	for _, f := range outOfRange {
		c.reportMalformed(malformedLoadFigure, f.Name, fmt.Sprint(f.Value))
	}
	return append(events, planner.Probed{
		Endpoint: endpoint, OK: in.Outcome == outcomeOK, Outcome: in.Outcome,
		TookMs: in.TookMs, Load: load,
	})
}

// changeSettings puts changed settings into those of the decider, and into the channel's limits.
func (c *Core) changeSettings(changed map[string]any) {
	maps.Copy(c.plan.Terms, changed)
	c.plan.Decider.Reconfigure(c.plan.Terms)
	c.Channel.Reterm(changed)
}
