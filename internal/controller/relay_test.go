package controller

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// TestRelayedInputs guards what names nobody known: it costs itself alone, and nothing of it is kept.
func TestRelayedInputs(t *testing.T) {
	entry := wire.Entry{Endpoint: "x", Zone: "a", Machine: "m", Weight: 1}
	join := Relayed{Proxy: 3, Zone: "a", Rate: 2}
	stood := Relayed{Proxy: 3, Zone: "a", Rate: 2, Stood: true}
	joined := planner.Joined{Proxy: 3, Rate: 2}
	met := ZoneMet{Zone: "a", Endpoint: "x", Tries: 2, Failed: 1, MeanMs: 3, SpanMs: 4, Load: map[string]float64{"qps": 2}}
	for name, c := range map[string]struct {
		in   []Input
		want []planner.Note
	}{
		"joined and left": {[]Input{join, Unrelayed{3}, Unrelayed{3}}, []planner.Note{joined, planner.Left{Proxy: 3}}},
		"joined again":    {[]Input{join, join}, []planner.Note{joined, planner.Left{Proxy: 3}, joined}},
		"has stood": {
			[]Input{join, stood},
			[]planner.Note{joined, planner.Joined{Proxy: 3, Rate: 2, Stood: true}},
		},
		"unknown has stood": {[]Input{stood}, []planner.Note{joined}},
		"stalled": {
			[]Input{RelayStalled{ForMs: 3, Again: []int{7}}, RelayStalled{}},
			[]planner.Note{planner.Stalled{ForMs: 3, Again: []int{7}}, planner.Stalled{}},
		},
		"beyond all": {[]Input{Relayed{Proxy: 10, Zone: "a"}, Relayed{Proxy: -1, Zone: "a"}, Relayed{Proxy: 1, Zone: "z"}}, nil},
		"applied": {
			[]Input{RelayApplied{Proxy: 3, Mark: 1}, join, RelayApplied{3, 1, 5}},
			[]planner.Note{joined, planner.Applied{Proxy: 3, Number: 1, TookMs: 5}},
		},
		"met": {
			[]Input{met, ZoneMet{Zone: "z", Endpoint: "x"}, ZoneMet{Zone: "a", Endpoint: "y"}},
			[]planner.Note{planner.Met{Tries: 2, Failed: 1, MeanMs: 3, SpanMs: 4, Load: planner.Load{"rate": 2}}},
		},
		"demand": {
			[]Input{
				ProxyDemand{Proxy: 2, Kind: "read", Reqs: 3, SpanMs: 4},
				ProxyDemand{Proxy: 99, Kind: "read"},
				ProxyDemand{Proxy: 2, Kind: "none"},
			},
			[]planner.Note{planner.Demand{Proxy: 2, Reqs: 3, SpanMs: 4}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := &oneTurnDecider{}
			core, _ := newRelayCore(d)
			core.Handle(0, []Input{Listed{List: &wire.List{Whole: true, Entries: []wire.Entry{entry}}, Remembered: true}})
			listing, ok := d.notes[0].(planner.Listing)
			require.True(t, ok, "%T", d.notes[0])
			assert.Equal(t, planner.Remembered, listing.Mode)
			d.notes = nil
			core.Handle(1, c.in)
			assert.Equal(t, c.want, d.notes)
			assert.Equal(t, 1, core.endpoints.len())
		})
	}
}

// TestOneTurnIsOneCall guards the order in which a turn's commands go out, and that one for a proxy that has left is
// none.
func TestOneTurnIsOneCall(t *testing.T) {
	d := &oneTurnDecider{}
	c, relay := newRelayCore(d)
	d.orders = []planner.Order{
		planner.SetLine{Table: 1, Weight: 1},
		planner.Bind{Table: 1, Proxy: 3},
		planner.Bind{Table: 1, Proxy: 4}, // has not joined
		planner.Mark{Number: 1},
	}
	c.Handle(0, []Input{Relayed{Proxy: 3, Zone: "a"}})
	assert.Equal(t, 3, relay.orders)
	assert.Equal(t, 0, c.Channel.Lines(), "nothing is paced twice")
	c.Handle(1, []Input{Unrelayed{3}})
	assert.Equal(t, []int{3}, relay.gone)
}
