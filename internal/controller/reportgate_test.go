package controller

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// TestUnjoinedReports checks that reports from streams that have not joined, or have left, produce no events. In
// particular they must not be counted for the proxy with index 0.
func TestUnjoinedReports(t *testing.T) {
	d := &scriptedDecider{}
	joined := &fakeTransport{}
	left := &fakeTransport{}
	c := NewCore(newOptions(d, &fakeTransport{}))
	c.Handle(0, []Input{
		listed(true, entry("x", 0)),
		ProxyJoined{joined, hello("p", "a")},
		ProxyJoined{left, hello("q", "a")},
	})
	c.Handle(1, []Input{ProxyLeft{left}})
	for i, s := range []Stream{&fakeTransport{}, left} {
		c.Handle(float64(100+i), []Input{LoadReported{s, &wire.LoadReport{
			Seq:           1,
			SpanMs:        500,
			EndpointStats: []wire.EndpointStats{{Endpoint: "x", Attempts: 4}},
			RequestStats:  []wire.RequestStats{{Class: "book", Requests: 5}},
		}}})
	}
	c.Handle(2200, nil)
	for _, n := range d.events {
		switch n.(type) {
		case planner.EndpointStats, planner.RequestStats:
			t.Errorf("%+v", n)
		}
	}
}

// TestReportLineBudget checks the limit on report lines passed to the decider, here one per second. Sums that do not
// fit accumulate. Endpoints that start failing are passed first, then those that have waited longest.
func TestReportLineBudget(t *testing.T) {
	d := &scriptedDecider{}
	stream := &fakeTransport{}
	p := newOptions(d, &fakeTransport{})
	p.Telemetry.FlushedPerS = 1
	c := NewCore(p)
	c.Handle(0, []Input{listed(true, entry("x", 0), entry("y", 0)), ProxyJoined{stream, hello("p", "a")}})
	report := func(at float64, seq uint64) {
		c.Handle(at, []Input{LoadReported{stream, &wire.LoadReport{
			Seq:           seq,
			AtMs:          at,
			SpanMs:        100,
			EndpointStats: []wire.EndpointStats{{Endpoint: "x", Attempts: 1, MeanMs: 10}, {Endpoint: "y", Attempts: 2, Failed: 2}},
		}}})
	}
	d.events = nil
	for i, at := range []float64{100, 200, 1150, 2200} {
		report(at, uint64(i+1))
	}
	var tries []int
	for _, n := range d.events {
		met, ok := n.(planner.EndpointStats)
		require.True(t, ok, "%T", n)
		tries = append(tries, met.Attempts)
	}
	assert.Equal(t, []int{6, 4}, tries)
}
