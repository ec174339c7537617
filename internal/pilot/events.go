package pilot

import (
	"fmt"
	"maps"

	"indigousher/brain"
	"indigousher/internal/wire"
)

// note turns an input into notes.
func (c *Core) note(notes []brain.Note, in Input) []brain.Note {
	switch in := in.(type) {
	case Join:
		return c.join(notes, in)
	case Leave:
		if s := c.streams[in.Stream]; s != nil {
			return append(notes, c.drop(s))
		}
	case Reported: // on sockets the loop hands it to the gate at once
		c.Report(c.now, in.Stream, in.Sums)
	case Applied:
		if s := c.streams[in.Stream]; s != nil && s.answers(in.Done.Mark) {
			return append(notes, brain.Applied{Proxy: s.proxy, Number: in.Done.Mark, TookMs: in.Done.TookMs})
		}
	case Listed:
		return append(notes, c.listing(in))
	case SliceGiven:
		return c.slice(notes, in.Slices)
	case ListLost:
		return append(notes, brain.Listing{Mode: brain.ListFailed})
	case Probed:
		if i, known := c.endpoints.Find(in.Endpoint); known {
			return append(notes, brain.Probed{Endpoint: i, OK: in.Outcome == "ok", Outcome: in.Outcome,
				TookMs: in.TookMs, Load: load(in.Load, func(f wire.Figure) { c.odd(oddFigure, f.Name, fmt.Sprint(f.Value)) })})
		}
	case Told:
		for _, n := range in.Notes {
			if c.knows(n) {
				c.told = append(c.told, n)
			} else {
				c.odd("recorded note of nobody known")
			}
		}
	case Heard:
		return append(notes, brain.Gossip{From: in.From, Text: in.Text})
	case Retermed:
		maps.Copy(c.plan.Terms, in.Terms)
		c.plan.Decider.Reconfigure(c.plan.Terms)
		c.Channel.Reterm(in.Terms)
	default:
		return c.relayedNote(notes, in)
	}
	return notes
}
