package controller

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// TestUnjoinedReports guards a proxy's sums against reports on streams that have not joined, or no longer are: they
// count for nobody, least of all for the proxy with the first number.
func TestUnjoinedReports(t *testing.T) {
	d := &scriptedDecider{}
	joined := &fakeTransport{}
	left := &fakeTransport{}
	c := NewCore(plan(d, &fakeTransport{}))
	c.Handle(0, []Input{listed(true, entry("x", 0)), Join{joined, hello("p", "a")}, Join{left, hello("q", "a")}})
	c.Handle(1, []Input{Leave{left}})
	for i, s := range []Stream{&fakeTransport{}, left} {
		c.Handle(float64(100+i), []Input{Reported{s, &wire.Sums{
			Seq:    1,
			SpanMs: 500,
			Met:    []wire.Met{{Endpoint: "x", Tries: 4}},
			Demand: []wire.Demand{{Kind: "book", Reqs: 5}},
		}}})
	}
	c.Handle(2200, nil)
	for _, n := range d.notes {
		switch n.(type) {
		case planner.Met, planner.Demand:
			t.Errorf("%+v", n)
		}
	}
}

// TestReportLines guards the bound of report lines: what does not fit adds up; what begins to fail goes first, then
// what has waited longest.
func TestReportLines(t *testing.T) {
	d := &scriptedDecider{}
	stream := &fakeTransport{}
	p := plan(d, &fakeTransport{})
	p.Intake.ToldPerS = 1
	c := NewCore(p)
	c.Handle(0, []Input{listed(true, entry("x", 0), entry("y", 0)), Join{stream, hello("p", "a")}})
	report := func(at float64, seq uint64) {
		c.Handle(at, []Input{Reported{stream, &wire.Sums{
			Seq:    seq,
			AtMs:   at,
			SpanMs: 100,
			Met:    []wire.Met{{Endpoint: "x", Tries: 1, MeanMs: 10}, {Endpoint: "y", Tries: 2, Failed: 2}},
		}}})
	}
	d.notes = nil
	for i, at := range []float64{100, 200, 1150, 2200} {
		report(at, uint64(i+1))
	}
	var tries []int
	for _, n := range d.notes {
		met, ok := n.(planner.Met)
		require.True(t, ok, "%T", n)
		tries = append(tries, met.Tries)
	}
	assert.Equal(t, []int{6, 4}, tries)
}
