package controller

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// TestSlices checks the events for slices: an assignment with its stored lines, and request counts once per period, but
// none for slices that are not assigned to this pilot.
func TestSlices(t *testing.T) {
	d, transport, stream := &scriptedDecider{}, &fakeTransport{}, &fakeTransport{}
	c := NewCore(newOptions(d, transport))
	c.Handle(0, []Input{listed(true, entry("x", 0)), ProxyJoined{stream, hello("p", "a")}})
	d.events = nil
	load := func(seq uint64) LoadReported {
		return LoadReported{stream, &wire.LoadReport{Seq: seq, SpanMs: 500, SliceStats: []wire.SliceStats{
			{Slice: 7, Class: "book", Requests: 5, Unanswered: 1},
			{Slice: 8, Class: "book", Requests: 1},
		}}}
	}
	c.Handle(100, []Input{SliceAssigned{&wire.Slices{Slice: 7, Given: true, Lines: []wire.HeldLine{
		{Endpoint: "x", Weight: 2},
		{Endpoint: "none"},
	}}}})
	c.Handle(200, []Input{load(1)})
	c.Handle(300, []Input{load(2)})
	c.Handle(1100, nil)
	c.Handle(1200, []Input{SliceAssigned{&wire.Slices{Slice: 7}}, load(3)})
	c.Handle(2300, nil)
	assert.Equal(t, []planner.Event{
		planner.SliceAssignment{Slice: 7, Assigned: true},
		planner.SliceWeight{Slice: 7, Endpoint: 0, Weight: 2},
		planner.SliceStats{Slice: 7, Class: 1, Requests: 10, Unanswered: 2, SpanMs: 1100},
		planner.SliceAssignment{Slice: 7},
	}, d.events)
}
