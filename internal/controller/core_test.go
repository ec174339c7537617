package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// TestEventSources checks that inputs and timers produce the expected events for the decider: an update for each
// endpoint list, one Ack per ack request, and report statistics at the end of the period.
func TestEventSources(t *testing.T) {
	d := &scriptedDecider{commands: [][]planner.Command{
		{planner.SetTimer{AtMs: 150, Name: "timer"}},
		nil,
		{planner.AckRequest{Number: 9, All: true}},
	}}
	transport := &fakeTransport{}
	stream := &fakeTransport{}
	c := NewCore(newOptions(d, transport))
	c.Handle(0, nil)
	c.Handle(100, []Input{listed(true, entry("x", 0), entry("y", 4000)), ProxyJoined{stream, hello("p", "b")}})
	c.Handle(160, nil)
	c.Handle(1200, []Input{
		listed(false, entry("y", 4000)),
		EndpointListLost{},
		GossipReceived{3, "hi"},
		Acked{stream, wire.Done{Mark: 9, TookMs: 2}},
		Acked{stream, wire.Done{Mark: 9}}, // already acknowledged
		Acked{stream, wire.Done{Mark: 8}}, // never sent
		HealthChecked{"x", "ok", 5, []wire.LoadMetric{{Name: "util", Value: 0.5}}},
		LoadReported{stream, &wire.LoadReport{
			Seq:           1,
			SpanMs:        500,
			EndpointStats: []wire.EndpointStats{{Endpoint: "x", Attempts: 4, Failed: 1, MeanMs: 20}, {Endpoint: "never listed", Attempts: 1}},
			RequestStats:  []wire.RequestStats{{Class: "book", Requests: 5, Unanswered: 1}},
		}},
	})
	c.Handle(2300, []Input{ProxyLeft{stream}, ProxyLeft{stream}})
	assert.Equal(t, []planner.Event{
		planner.EndpointUpdate{Mode: planner.Snapshot, Version: 7, Entries: []planner.Entry{
			{Endpoint: 0, Zone: 1, Weight: 2},
			{Endpoint: 1, Zone: 1, Weight: 2, Started: -900},
		}},
		planner.ProxyJoined{Proxy: 0, Zone: 1, Rate: 2, Fresh: true},
		planner.TimerFired{Name: "timer"},
		planner.EndpointUpdate{Mode: planner.Delta, Version: 7, Entries: []planner.Entry{
			{Endpoint: 1, Zone: 1, Weight: 2, Started: -900},
		}},
		planner.EndpointUpdate{Mode: planner.UpdateFailed},
		planner.Gossip{From: 3, Text: "hi"},
		planner.Ack{Proxy: 0, Number: 9, TookMs: 2},
		planner.HealthCheckResult{Endpoint: 0, OK: true, Outcome: "ok", TookMs: 5, Load: planner.Load{"util": 0.5}},
		planner.EndpointStats{Endpoint: 0, Zone: 1, Attempts: 4, Failed: 1, MeanMs: 20, SpanMs: 500},
		planner.RequestStats{Proxy: 0, Class: 1, Requests: 5, Unanswered: 1, SpanMs: 500},
		planner.ProxyLeft{Proxy: 0},
	}, d.events)
	assert.Equal(t, []string{"malformed sums of an unknown endpoint"}, transport.calls)
}

// TestCommandEffects checks which operations are sent to a proxy, and which transport methods are called, for each
// command of the decider.
func TestCommandEffects(t *testing.T) {
	set := func(e int, w float64) planner.Command { return planner.SetWeight{Table: 5, Endpoint: e, Weight: w} }
	setOp := func(e string, w float64) wire.Op {
		return wire.Op{Kind: wire.OpSetWeight, Table: 5, Endpoint: e, Weight: w}
	}
	assignOp := wire.Op{Kind: wire.OpAssignTable, Table: 5, Classes: 3}
	excludeOp := func(e string) wire.Op { return wire.Op{Kind: wire.OpSetExcluded, Endpoint: e, Remove: true} }
	assign := planner.AssignTable{Table: 5, Proxy: 0}
	for _, c := range []struct {
		name     string
		commands []planner.Command
		want     []wire.Op
		calls    []string
	}{
		{"a table without users is not sent", []planner.Command{set(0, 1)}, nil, nil},
		{
			"an assignment sends the whole table",
			[]planner.Command{set(1, 2), set(0, 1), assign},
			[]wire.Op{assignOp, setOp("x", 1), setOp("y", 2)},
			nil,
		},
		{"a weight set after the assignment", []planner.Command{assign, set(0, 1)}, []wire.Op{assignOp, setOp("x", 1)}, nil},
		{
			"a removed line",
			[]planner.Command{set(0, 1), assign, set(0, 0)},
			[]wire.Op{assignOp, setOp("x", 1), setOp("x", 0)},
			nil,
		},
		{
			"an assignment sends exclusions",
			[]planner.Command{set(1, 1), planner.SetExcluded{Endpoint: 1, Excluded: true}, assign},
			[]wire.Op{assignOp, setOp("y", 1), excludeOp("y")},
			nil,
		},
		{
			"a weight for an excluded endpoint",
			[]planner.Command{assign, planner.SetExcluded{Endpoint: 1, Excluded: true}, set(1, 1)},
			[]wire.Op{assignOp, setOp("y", 1), excludeOp("y")},
			nil,
		},
		{
			"an exclusion is sent to a proxy that joined with the endpoint",
			[]planner.Command{planner.SetExcluded{Endpoint: 0, Excluded: true}},
			[]wire.Op{excludeOp("x")},
			nil,
		},
		{"an exclusion without holders is not sent", []planner.Command{planner.SetExcluded{Endpoint: 1, Excluded: true}}, nil, nil},
		{
			"a cleared table",
			[]planner.Command{set(0, 1), assign, planner.ClearTable{Table: 5}, planner.SetExcluded{Endpoint: 0, Excluded: true}},
			[]wire.Op{assignOp, setOp("x", 1), {Kind: wire.OpClearTable, Table: 5}},
			nil,
		},
		{
			"admission levels of a table",
			[]planner.Command{planner.SetAdmission{Table: 5, Classes: 1, Level: 0.5, RetryMode: 1}, assign},
			[]wire.Op{assignOp, {Kind: wire.OpSetAdmission, Table: 5, Classes: 1, Weight: 0.5, RetryMode: 1}},
			nil,
		},
		{
			"admission levels of all tables",
			[]planner.Command{planner.SetAdmission{Table: planner.EveryTable, Classes: 1, Level: 0.5}},
			[]wire.Op{{Kind: wire.OpSetAdmission, Table: planner.EveryTable, Classes: 1, Weight: 0.5}},
			nil,
		},
		{
			"an ack request is added to a message",
			[]planner.Command{planner.SetExcluded{Endpoint: 0, Excluded: true}, planner.AckRequest{Number: 4}},
			[]wire.Op{excludeOp("x"), {Kind: wire.OpAckRequest, AckNumber: 4}},
			nil,
		},
		{"an ack request without a message is not sent", []planner.Command{planner.AckRequest{Number: 4}}, nil, nil},
		{
			"an ack request to all proxies",
			[]planner.Command{planner.AckRequest{Number: 4, All: true}},
			[]wire.Op{{Kind: wire.OpAckRequest, AckNumber: 4}},
			nil,
		},
		{"calls of transports", []planner.Command{
			planner.HealthCheck{Endpoint: 1},
			planner.SendGossip{Peer: -1, Text: "t"},
			planner.WatchEndpoints{On: true},
			planner.FetchEndpoints{},
			planner.Log{Text: "l"},
		}, nil, []string{"probe y", "tell -1 t", "watch true", "fetch", "log l"}},
		{
			"an assignment to a proxy that has not joined",
			[]planner.Command{planner.AssignTable{Table: 5, Proxy: 2}},
			nil,
			[]string{"malformed bind of a proxy that has left"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &scriptedDecider{commands: [][]planner.Command{nil, c.commands}}
			transport := &fakeTransport{}
			stream := &fakeTransport{}
			core := NewCore(newOptions(d, transport))
			core.Handle(0, []Input{listed(true, entry("x", 0), entry("y", 0))})
			core.Handle(1, []Input{ProxyJoined{stream, hello("p", "a", "x", "unknown")}})
			lines := core.Channel.Send(1)
			var ops []wire.Op
			for _, m := range stream.sent {
				ops = append(ops, m.Ops...)
				assert.Equal(t, len(m.Ops)+4, m.CostLines)
				assert.Equal(t, lines, m.CostLines, "one message for each proxy")
			}
			assert.Equal(t, c.want, ops)
			assert.Equal(t, c.calls, transport.calls)
		})
	}
}

// TestDeterministicMessages checks, with the production planner, that the same inputs at the same times result in the
// same messages.
func TestDeterministicMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 60).Draw(rt, "steps")
		run := func() (all []string) {
			settings := map[string]any{"req_kinds": []any{map[string]any{"name": "read"}, map[string]any{"name": "book"}}}
			transport := &fakeTransport{}
			c := NewCore(newOptions(planner.New(1, settings), transport))
			streams := []*fakeTransport{{}, {}, {}}
			for i, s := range steps {
				now := float64(i) * 170
				stream := streams[i%3]
				in := []Input{listed(i == 0, entry("x", 0), entry(fmt.Sprint("y", i%4), uint64(i%2)*4000))}
				switch s {
				case 1:
					in = []Input{ProxyJoined{stream, hello(fmt.Sprint("p", i%3), []string{"a", "b"}[i%2], "x")}}
				case 2:
					in = []Input{ProxyLeft{stream}}
				case 3:
					in = []Input{LoadReported{stream, &wire.LoadReport{
						Seq: uint64(i + 1), AtMs: now, SpanMs: 200,
						EndpointStats: []wire.EndpointStats{{Endpoint: "x", Attempts: 9, Failed: i % 9}},
					}}}
				case 4:
					e := entry("x", 0)
					e.Phase = wire.PhaseDraining
					in = []Input{listed(false, e)}
				case 5:
					in = nil
				}
				c.Handle(now, in)
				c.Channel.Send(now)
			}
			for _, s := range streams {
				for _, m := range s.sent {
					all = append(all, fmt.Sprintf("%+v", *m))
				}
			}
			return append(all, transport.calls...)
		}
		first := run()
		require.Equal(rt, first, run())
	})
}
