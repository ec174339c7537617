package pilot

import (
	"fmt"
	"maps"

	"indigousher/brain"
)

// note turns an input into notes.
func (c *Core) handleInput(events []brain.Note, in Input) []brain.Note {
	switch in := in.(type) {
	case Join:
		return c.join(events, in)
	case Leave:
		if s := c.streams[in.Stream]; s != nil {
			return append(events, c.drop(s))
		}
	case Reported: // on sockets the loop hands it to the gate at once
		c.Report(c.now, in.Stream, in.Sums)
	case Applied:
		if s := c.streams[in.Stream]; s != nil && s.acknowledge(in.Done.Mark) {
			return append(events, brain.Applied{Proxy: s.proxy, Number: in.Done.Mark, TookMs: in.Done.TookMs})
		}
	case Listed:
		return append(events, c.applyList(in))
	case SliceGiven:
		return c.assignSlice(events, in.Slices)
	case ListLost:
		return append(events, brain.Listing{Mode: brain.ListFailed})
	case Probed:
		if i, known := c.endpoints.Find(in.Endpoint); known {
			load, outOfRange := loadReport(in.Load)
			for _, f := range outOfRange {
				c.reportMalformed(malformedLoadFigure, f.Name, fmt.Sprint(f.Value))
			}
			return append(events, brain.Probed{Endpoint: i, OK: in.Outcome == "ok", Outcome: in.Outcome,
				TookMs: in.TookMs, Load: load})
		}
	case Told:
		c.acceptRecorded(in.Notes)
	case Heard:
		return append(events, brain.Gossip{From: in.From, Text: in.Text})
	case Retermed:
		maps.Copy(c.plan.Terms, in.Terms)
		c.plan.Decider.Reconfigure(c.plan.Terms)
		c.Channel.Reterm(in.Terms)
	default:
		return c.handleRelayInput(events, in)
	}
	return events
}
