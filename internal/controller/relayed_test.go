package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// carried is a relay that counts.
type carried struct {
	orders int
	gone   []int
	names  map[string]bool
}

func (c *carried) Enqueue(turn []planner.Command, endpoint func(int) string) {
	c.orders += len(turn)
	for _, o := range turn {
		if l, ok := o.(planner.SetWeight); ok {
			c.names[endpoint(l.Endpoint)] = true
		}
	}
}
func (c *carried) ProxyLeft(proxy int) { c.gone = append(c.gone, proxy) }

func relayedCore(d Decider) (*Core, *carried) {
	k := &carried{names: map[string]bool{}}
	return NewCore(Options{Decider: d, Settings: map[string]any{}, Zones: []string{"a", "b"}, Machines: []string{"m"}, Classes: []string{"read"},
		MaxProxies: 10, Relay: k, Log: func(string) {}, Malformed: func(string, ...string) {}}), k
}

// TestGenerations guards memory: endpoints give way to new ones under new names for as long as a pilot lives, and each
// name would keep an index, its actor and its lines in the module.
func TestGenerations(t *testing.T) {
	terms := map[string]any{"instances": 1.0, "lines_per_s": 1000.0, "backlog": 1500.0, "proxy_count": 10.0, "zones": []any{"a", "b"},
		"req_kinds": []any{map[string]any{"payoff": 1.0}}}
	c, k := relayedCore(planner.New(1, terms))
	c.Handle(0, []Input{RelayProxyJoined{Proxy: 1, Zone: "a", Rate: 5, Fresh: true}})
	most, last := 0, ""
	for g := range 500 {
		l := &wire.List{Version: g, Whole: g%7 == 0, Now: uint64(1e9 + 5000*g)}
		for i := range 4 {
			if last = fmt.Sprint("e", g, "-", i); g > 0 && !l.Whole {
				l.Entries = append(l.Entries, wire.Entry{Endpoint: fmt.Sprint("e", g-1, "-", i), Zone: "a", Machine: "m", Phase: wire.PhaseGone})
			}
			l.Entries = append(l.Entries, wire.Entry{Endpoint: last, Zone: "a", Machine: "m", Weight: 1, Started: l.Now - 100})
		}
		c.Handle(float64(5000*g), []Input{EndpointsListed{List: l}})
		for s := 1; s <= 4; s++ {
			c.Handle(float64(5000*g+1000*s), []Input{ZoneStats{Zone: "a", Endpoint: last, Attempts: 9, SpanMs: 1000}})
		}
		if g == 100 {
			most = c.endpoints.Len()
		}
	}
	assert.LessOrEqual(t, c.endpoints.Len(), most, "indices of those long gone are used again")
	assert.Less(t, most, 100)
	_, known := c.endpoints.Find("e1-0")
	assert.False(t, known, "the name of one long gone is forgotten")
	assert.LessOrEqual(t, len(c.retired), most)
	assert.True(t, k.names[last], "a new endpoint under a used index is planned by its own name")
	assert.Zero(t, c.ReportStats.Malformed)
	assert.Equal(t, 2000, c.ReportStats.Reports)
}

// TestRelayedInputs guards what names nobody known: it costs itself alone, and nothing of it is kept.
func TestRelayedInputs(t *testing.T) {
	entry := wire.Entry{Endpoint: "x", Zone: "a", Machine: "m", Weight: 1}
	join := RelayProxyJoined{Proxy: 3, Zone: "a", Rate: 2}
	met := ZoneStats{Zone: "a", Endpoint: "x", Attempts: 2, Failed: 1, MeanMs: 3, SpanMs: 4, Load: map[string]float64{"qps": 2}}
	for name, c := range map[string]struct {
		in   []Input
		want []planner.Event
	}{
		"joined and left": {[]Input{join, RelayProxyLeft{3}, RelayProxyLeft{3}}, []planner.Event{planner.ProxyJoined{Proxy: 3, Rate: 2}, planner.ProxyLeft{Proxy: 3}}},
		"joined again":    {[]Input{join, join}, []planner.Event{planner.ProxyJoined{Proxy: 3, Rate: 2}, planner.ProxyLeft{Proxy: 3}, planner.ProxyJoined{Proxy: 3, Rate: 2}}},
		"has stood": {[]Input{join, RelayProxyJoined{Proxy: 3, Zone: "a", Rate: 2, Resumed: true}},
			[]planner.Event{planner.ProxyJoined{Proxy: 3, Rate: 2}, planner.ProxyJoined{Proxy: 3, Rate: 2, Resumed: true}}},
		"unknown has stood": {[]Input{RelayProxyJoined{Proxy: 3, Zone: "a", Rate: 2, Resumed: true}}, []planner.Event{planner.ProxyJoined{Proxy: 3, Rate: 2}}},
		"stalled": {[]Input{RelayStalled{ForMs: 3, Repeated: []int{7}}, RelayStalled{}},
			[]planner.Event{planner.ChannelStalled{ForMs: 3, Repeated: []int{7}}, planner.ChannelStalled{}}},
		"beyond all": {[]Input{RelayProxyJoined{Proxy: 10, Zone: "a"}, RelayProxyJoined{Proxy: -1, Zone: "a"}, RelayProxyJoined{Proxy: 1, Zone: "z"}}, nil},
		"applied":    {[]Input{RelayAck{Proxy: 3, Mark: 1}, join, RelayAck{3, 1, 5}}, []planner.Event{planner.ProxyJoined{Proxy: 3, Rate: 2}, planner.Ack{Proxy: 3, Number: 1, TookMs: 5}}},
		"met": {[]Input{met, ZoneStats{Zone: "z", Endpoint: "x"}, ZoneStats{Zone: "a", Endpoint: "y"}},
			[]planner.Event{planner.EndpointStats{Attempts: 2, Failed: 1, MeanMs: 3, SpanMs: 4, Load: planner.Load{"rate": 2}}}},
		"demand": {[]Input{ProxyStats{Proxy: 2, Class: "read", Requests: 3, SpanMs: 4}, ProxyStats{Proxy: 99, Class: "read"}, ProxyStats{Proxy: 2, Class: "none"}},
			[]planner.Event{planner.RequestStats{Proxy: 2, Requests: 3, SpanMs: 4}}},
	} {
		t.Run(name, func(t *testing.T) {
			d := &scripted{}
			core, _ := relayedCore(d)
			core.Handle(0, []Input{EndpointsListed{List: &wire.List{Whole: true, Entries: []wire.Entry{entry}}, Cached: true}})
			assert.Equal(t, planner.Cached, d.notes[0].(planner.EndpointUpdate).Mode)
			d.notes = nil
			core.Handle(1, c.in)
			assert.Equal(t, c.want, d.notes)
			assert.Equal(t, 1, core.endpoints.Len())
		})
	}
}

// TestOneTurnIsOneCall guards the order in which a turn's orders go out, and that one for a proxy that has left is none.
func TestOneTurnIsOneCall(t *testing.T) {
	d := &scripted{}
	c, k := relayedCore(d)
	d.orders = []planner.Command{planner.SetWeight{Table: 1, Weight: 1}, planner.AssignTable{Table: 1, Proxy: 3}, planner.AssignTable{Table: 1, Proxy: 4}, planner.AckRequest{Number: 1}}
	c.Handle(0, []Input{RelayProxyJoined{Proxy: 3, Zone: "a"}})
	assert.Equal(t, 3, k.orders)
	assert.Equal(t, 0, c.Channel.Lines(), "nothing is paced twice")
	c.Handle(1, []Input{RelayProxyLeft{3}})
	assert.Equal(t, []int{3}, k.gone)
}

// scripted keeps notes and orders what it is told to, once.
type scripted struct {
	notes  []planner.Event
	orders []planner.Command
}

func (s *scripted) Handle(_ float64, notes []planner.Event) []planner.Command {
	s.notes = append(s.notes, notes...)
	o := s.orders
	s.orders = nil
	return o
}

// Reconfigure does nothing.
func (s *scripted) Reconfigure(map[string]any) {}
