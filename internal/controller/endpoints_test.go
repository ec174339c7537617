package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// TestStartTimeIgnoresListClockJitter checks that jitter of the list source's clock does not change the start time of
// an endpoint, which the decider would interpret as a restart.
func TestStartTimeIgnoresListClockJitter(t *testing.T) {
	d := &scriptedDecider{}
	c := NewCore(newOptions(d, &fakeTransport{}))
	for i, at := range []uint64{5000, 6003, 9100} {
		list := &wire.List{Now: at, Entries: []wire.Entry{entry("x", 4000)}}
		c.Handle(float64(i*1000), []Input{EndpointsListed{List: list}})
	}
	c.Handle(9000, []Input{EndpointsListed{List: &wire.List{Now: 9200, Entries: []wire.Entry{entry("x", 9100)}}}})
	var starts []float64
	for _, n := range d.events {
		listing, ok := n.(planner.EndpointUpdate)
		require.True(t, ok, "%T", n)
		starts = append(starts, listing.Entries[0].Started)
	}
	assert.Equal(t, []float64{-1000, -1000, -1000, 8900}, starts)
}

// TestEndpointIndexReuse checks that memory stays bounded while endpoints are replaced by new ones under new names.
// Without reuse of indices, each name would keep its index and its state in the planner for the life of the process.
func TestEndpointIndexReuse(t *testing.T) {
	settings := map[string]any{
		"instances":   1.0,
		"lines_per_s": 1000.0,
		"backlog":     1500.0,
		"proxy_count": 10.0,
		"zones":       []any{"a", "b"},
		"req_kinds":   []any{map[string]any{"payoff": 1.0}},
	}
	c, relay := newRelayCore(planner.New(1, settings))
	c.Handle(0, []Input{RelayProxyJoined{Proxy: 1, Zone: "a", Rate: 5, Fresh: true}})
	maxIndices, last := 0, ""
	for g := range 500 {
		l := &wire.List{Version: g, Whole: g%7 == 0, Now: uint64(1e9 + 5000*g)}
		for i := range 4 {
			if last = fmt.Sprint("e", g, "-", i); g > 0 && !l.Whole {
				before := fmt.Sprint("e", g-1, "-", i)
				l.Entries = append(l.Entries, wire.Entry{Endpoint: before, Zone: "a", Machine: "m", Phase: wire.PhaseGone})
			}
			l.Entries = append(l.Entries,
				wire.Entry{Endpoint: last, Zone: "a", Machine: "m", Weight: 1, Started: l.Now - 100})
		}
		c.Handle(float64(5000*g), []Input{EndpointsListed{List: l}})
		for s := 1; s <= 4; s++ {
			c.Handle(float64(5000*g+1000*s), []Input{ZoneStats{Zone: "a", Endpoint: last, Attempts: 9, SpanMs: 1000}})
		}
		if g == 100 {
			maxIndices = c.endpoints.len()
		}
	}
	assert.LessOrEqual(t, c.endpoints.len(), maxIndices, "indices of removed endpoints are reused")
	assert.Less(t, maxIndices, 100)
	_, known := c.endpoints.find("e1-0")
	assert.False(t, known, "the name of a removed endpoint is no longer known")
	assert.LessOrEqual(t, len(c.endpoints.retiredAtMs), maxIndices)
	assert.True(t, relay.names[last], "the relay gets a new endpoint with a reused index by its own name")
	assert.Zero(t, c.ReportStats.Malformed)
	assert.Equal(t, 2000, c.ReportStats.Reports)
}

// TestReusedIndexIsReassigned checks which entries tell the decider that their index may have belonged to another endpoint
// or that the endpoint may have had another index.
func TestReusedIndexIsReassigned(t *testing.T) {
	d := &oneShotDecider{}
	c, _ := newRelayCore(d)
	list := func(nowMs float64, names ...string) (entries []planner.Entry) {
		l := &wire.List{Whole: true}
		for _, name := range names {
			l.Entries = append(l.Entries, wire.Entry{Endpoint: name, Zone: "a", Machine: "m", Weight: 1})
		}
		d.events = nil
		c.Handle(nowMs, []Input{EndpointsListed{List: l}})
		update, ok := d.events[0].(planner.EndpointUpdate)
		require.True(t, ok, "%T", d.events[0])
		return update.Entries
	}
	assert.False(t, list(0, "x", "y")[1].Reassigned, "first use of the index and of the name")
	list(1000, "x")
	again := list(2000, "x", "y")[1]
	assert.Equal(t, 1, again.Endpoint)
	assert.False(t, again.Reassigned, "the same endpoint returns to its index")
	list(3000, "x")
	reused := list(3000+indexReuseDelayMs+1, "x", "z")[1]
	assert.Equal(t, 1, reused.Endpoint, "an endpoint with the same start time may reuse the index")
	assert.True(t, reused.Reassigned)
	assert.False(t, list(70000, "x", "z")[1].Reassigned, "told once")
	returned := list(71000, "x", "z", "y")[2]
	assert.Equal(t, 2, returned.Endpoint)
	assert.True(t, returned.Reassigned, "it had another index before")
}
