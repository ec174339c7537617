package controller

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// TestRelayedInputs checks the events that result from a relay's inputs. Inputs with unknown proxies, zones, endpoints
// or classes are skipped and must not create entries.
func TestRelayedInputs(t *testing.T) {
	entry := wire.Entry{Endpoint: "x", Zone: "a", Machine: "m", Weight: 1}
	join := RelayProxyJoined{Proxy: 3, Zone: "a", Rate: 2}
	resumed := RelayProxyJoined{Proxy: 3, Zone: "a", Rate: 2, Resumed: true}
	joined := planner.ProxyJoined{Proxy: 3, Rate: 2}
	zoneStats := ZoneStats{
		Zone: "a", Endpoint: "x", Attempts: 2, Failed: 1, MeanMs: 3, SpanMs: 4,
		Load: map[string]float64{"qps": 2},
	}
	for name, c := range map[string]struct {
		in   []Input
		want []planner.Event
	}{
		"joined and left": {
			[]Input{join, RelayProxyLeft{3}, RelayProxyLeft{3}},
			[]planner.Event{joined, planner.ProxyLeft{Proxy: 3}},
		},
		"joined again": {[]Input{join, join}, []planner.Event{joined, planner.ProxyLeft{Proxy: 3}, joined}},
		"resumed": {
			[]Input{join, resumed},
			[]planner.Event{joined, planner.ProxyJoined{Proxy: 3, Rate: 2, Resumed: true}},
		},
		"resumed without a join": {[]Input{resumed}, []planner.Event{joined}},
		"stalled": {
			[]Input{RelayStalled{ForMs: 3, Repeated: []int{7}}, RelayStalled{}},
			[]planner.Event{planner.ChannelStalled{ForMs: 3, Repeated: []int{7}}, planner.ChannelStalled{}},
		},
		"invalid proxy numbers and zones": {
			[]Input{
				RelayProxyJoined{Proxy: 10, Zone: "a"},
				RelayProxyJoined{Proxy: -1, Zone: "a"},
				RelayProxyJoined{Proxy: 1, Zone: "z"},
			},
			nil,
		},
		"acks": {
			[]Input{RelayAck{Proxy: 3, Mark: 1}, join, RelayAck{3, 1, 5}},
			[]planner.Event{joined, planner.Ack{Proxy: 3, Number: 1, TookMs: 5}},
		},
		"zone stats": {
			[]Input{zoneStats, ZoneStats{Zone: "z", Endpoint: "x"}, ZoneStats{Zone: "a", Endpoint: "y"}},
			[]planner.Event{planner.EndpointStats{Attempts: 2, Failed: 1, MeanMs: 3, SpanMs: 4, Load: planner.Load{"rate": 2}}},
		},
		"proxy stats": {
			[]Input{
				ProxyStats{Proxy: 2, Class: "read", Requests: 3, SpanMs: 4},
				ProxyStats{Proxy: 99, Class: "read"},
				ProxyStats{Proxy: 2, Class: "none"},
			},
			[]planner.Event{planner.RequestStats{Proxy: 2, Requests: 3, SpanMs: 4}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := &oneShotDecider{}
			core, _ := newRelayCore(d)
			core.Handle(0, []Input{EndpointsListed{List: &wire.List{Whole: true, Entries: []wire.Entry{entry}}, Cached: true}})
			listing, ok := d.events[0].(planner.EndpointUpdate)
			require.True(t, ok, "%T", d.events[0])
			assert.Equal(t, planner.Cached, listing.Mode)
			d.events = nil
			core.Handle(1, c.in)
			assert.Equal(t, c.want, d.events)
			assert.Equal(t, 1, core.endpoints.len())
		})
	}
}

// TestRelayGetsOneCallPerTurn checks that the commands of a turn are passed to the relay, except those for proxies that
// have not joined, and that the core's own channel stays empty.
func TestRelayGetsOneCallPerTurn(t *testing.T) {
	d := &oneShotDecider{}
	c, relay := newRelayCore(d)
	d.commands = []planner.Command{
		planner.SetWeight{Table: 1, Weight: 1},
		planner.AssignTable{Table: 1, Proxy: 3},
		planner.AssignTable{Table: 1, Proxy: 4}, // has not joined
		planner.AckRequest{Number: 1},
	}
	c.Handle(0, []Input{RelayProxyJoined{Proxy: 3, Zone: "a"}})
	assert.Equal(t, 3, relay.commands)
	assert.Equal(t, 0, c.Channel.Lines(), "the core's own channel is unused")
	c.Handle(1, []Input{RelayProxyLeft{3}})
	assert.Equal(t, []int{3}, relay.left)
}
