package planner

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAssignmentWhereItPays guards the channel of thousands: all were bound at the start, which took it half a minute, and tables
// changed once in ten seconds served less than those they replaced (calm+mass of seed 3 at full size: 0.82 with tables, 0.85
// without, 0.09 of G for orders). Whatever standing tables can't bring has all bound again.
func TestAssignmentWhereItPays(t *testing.T) {
	started := func(e *Entry, now float64) { e.Started = now }
	drains := func(e *Entry, _ float64) { e.Phase = Draining }
	for name, c := range map[string]struct {
		proxies, endpoints int // of the zone
		terms              map[string]any
		change             func(e *Entry, now float64) // of one endpoint of the zone, after ten gathers
		load               float64                     // of it then; of the others 0.4
		failed             int
		rest               float64 // load of the others then
		bound              bool
	}{
		"nothing strays":               {500, 2, nil, nil, 0.4, 0, 0.4, false},
		"the channel is wide":          {500, 2, map[string]any{"lines_per_s": 1e6}, nil, 0.4, 0, 0.4, true},
		"chance is large among few":    {12, 2, nil, nil, 0.4, 0, 0.4, true},
		"a few lines are drawn of":     {500, 2, map[string]any{"standing": 0.001}, nil, 0.4, 0, 0.4, true},
		"nobody told of such":          {500, 2, map[string]any{"standing": 0.0}, nil, 0.4, 0, 0.4, true},
		"one is replaced":              {500, 2, nil, started, 0.4, 0, 0.4, true},
		"one drains":                   {500, 2, nil, drains, 0.4, 0, 0.4, true},
		"one of sixty drains":          {500, 60, nil, drains, 0.4, 0, 0.4, false},
		"one of sixty starts again":    {500, 60, map[string]any{"cold": 60000.0, "backlog": 200000.0}, started, 0.4, 0, 0.4, true},
		"one is full, the other isn't": {500, 2, nil, nil, 1.3, 0, 0.4, true},
		"all are full":                 {500, 2, map[string]any{"kind_own_zone": []any{true, true}}, nil, 1.3, 0, 1.3, true},
		"one fails":                    {500, 2, nil, nil, 0.4, 20, 0.4, true},
	} {
		t.Run(name, func(t *testing.T) {
			var entries []Entry
			p := newHarness(t, func(terms map[string]any, listed []Entry) {
				terms["proxy_count"], terms["backlog"], terms["standing"], entries = float64(3*c.proxies), 30000.0, 5.0, listed
				maps.Copy(terms, c.terms)
			})
			others := []int{1, 2, 3, 4, 5}
			for i := 2; i < c.endpoints; i++ {
				others = append(others, 4+i)
				p.step(EndpointUpdate{Mode: Delta, Entries: []Entry{{Endpoint: 4 + i, Weight: 2}}})
			}
			clear(p.assigned)
			for i := range c.proxies {
				p.step(ProxyJoined{Proxy: i, Zone: 0, Rate: 1})
			}
			calm := func() []Event { return append(attempts(0, 20, 0, 0.4, others...), attempts(0, 20, 0, 0.4, 0)...) }
			p.rounds(10, calm)
			if c.change != nil || c.load != 0.4 || c.failed > 0 {
				require.Empty(t, p.assigned)
			}
			if c.change != nil {
				c.change(&entries[0], p.now)
				p.step(EndpointUpdate{Mode: Delta, Entries: entries[:1]})
			}
			p.rounds(30, func() []Event {
				return append(attempts(0, 20-c.failed, c.failed, c.load, 0), attempts(0, 20, 0, c.rest, others...)...)
			})
			assert.Len(t, p.assigned, int(pick(c.bound, float64(c.proxies), 0)))
		})
	}
}

// TestStaleAssignments guards what is believed of proxies after nobody has seen whether they left. Taken for unbound,
// 76 that were bound cost lines nobody counted, the channel overflowed, and what drained reached them 8 s late
// (split+mass of seed 2). Taken for bound, one that came back would hear of no drain.
func TestStaleAssignments(t *testing.T) {
	for name, c := range map[string]struct {
		again    ProxyJoined
		between  []Event // after it stood, before it answers
		answers  bool
		binds    int // beside the first, in the end
		mayCount bool
	}{
		"answers to a mark on a line of its table": {ProxyJoined{Resumed: true}, nil, true, 0, true},
		"does not answer":                          {ProxyJoined{Resumed: true}, nil, false, 1, true},
		"came back":                                {ProxyJoined{}, nil, true, 1, false},
		"answers to a withdrawal, which reaches all": {
			ProxyJoined{Resumed: true},
			[]Event{EndpointUpdate{Entries: []Entry{{Endpoint: 1, Zone: 0, Weight: 2, Phase: Draining}}}},
			true, 1, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t, nil)
			p.rounds(4, func() []Event { return attempts(0, 20, 0, 0.4, 0, 1, 2, 3) })
			require.Len(t, p.assigned[0], 1)
			c.again.Rate = 20
			p.planner.publisher.window.queued = p.planner.settings.BacklogLines / 3 // no room to bind anew at once
			p.step(c.again)
			p.planner.publisher.window.queued = p.planner.settings.BacklogLines / 3
			assert.Equal(t, c.mayCount, p.planner.publisher.proxies[0].assigned, "its lines cost")
			p.now += 100
			marks, orders := []int{}, p.step(append(c.between, EndpointUpdate{Entries: []Entry{{Endpoint: 0, Zone: 0, Weight: 9}}})...)
			if c.between != nil { // said halfway through the grace
				p.now += 1100
				p.planner.publisher.window.queued = 2 * p.planner.settings.BacklogLines // nothing that can wait goes out
				orders = p.step()
				require.Contains(t, orders, SetExcluded{1, true})
				assert.True(t, slices.ContainsFunc(orders, func(o Command) bool { _, binds := o.(AssignTable); return binds }),
					"a withdrawal may reach nobody: a bind beside it brings an answer to the mark")
			}
			for _, o := range orders {
				if m, ok := o.(AckRequest); ok {
					marks = append(marks, m.Number)
				}
			}
			if c.answers && len(marks) > 0 {
				p.now += 100
				p.step(Ack{Proxy: 0, Number: marks[0]})
			}
			p.rounds(6, nil)
			assert.Len(t, p.assigned[0], 1+c.binds)
			assert.True(t, p.planner.publisher.proxies[0].confirmed)
		})
	}
}

// TestEmptyListAssignsNoTables guards the standing tables of proxies that join a pilot which has no list yet: an empty
// table bound over them left nothing to pick (the rehearsal's empty-start served 0.07 of its first seconds).
func TestEmptyListAssignsNoTables(t *testing.T) {
	p := newHarness(t, nil)
	empty := &harness{
		t: t, planner: New(1, p.settings), weights: map[int]map[int]float64{}, excluded: map[int]bool{},
		admission: map[string]SetAdmission{}, assigned: map[int][]AssignTable{},
	}
	empty.step(ProxyJoined{Proxy: 0, Zone: 0, Rate: 20})
	empty.rounds(3, nil)
	assert.Empty(t, empty.assigned)
	empty.step(EndpointUpdate{Mode: Snapshot, Entries: []Entry{{Endpoint: 0, Weight: 1}}})
	assert.NotEmpty(t, empty.assigned[0])
	assert.Positive(t, empty.share(0, 0))
}
