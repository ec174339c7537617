package controller

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/wire"
)

// recordingProxy is a well-behaved proxy that keeps the messages sent to it.
type recordingProxy struct {
	fleetProxy
	got []*wire.Commands
}

// Send records the message and applies it.
func (p *recordingProxy) Send(m *wire.Commands) error {
	p.got = append(p.got, m)
	return p.fleetProxy.Send(m)
}

// TestHostilePeer checks that a peer that sends well-formed messages with harmful values does not affect other proxies:
// they receive only weights and levels between 0 and 1, keep eligible endpoints, and later drains still reach them.
func TestHostilePeer(t *testing.T) {
	huge, nan, inf := 1e308, math.NaN(), math.Inf(1)
	met := func(change func(s *wire.LoadReport, m *wire.EndpointStats)) func(*fleet, *fakeTransport) {
		return func(f *fleet, bad *fakeTransport) {
			f.handle(ProxyJoined{bad, wire.Hello{Proxy: "bad", Zone: "a", Rate: 2}})
			for i := range 6 {
				s := &wire.LoadReport{Seq: uint64(i + 1), AtMs: f.nowMs, SpanMs: 1000}
				for e := range 9 {
					m := wire.EndpointStats{Endpoint: fmt.Sprint("e", e), Attempts: 9, MeanMs: 20, Load: []wire.LoadMetric{{Name: "util", Value: 0.4}}}
					change(s, &m)
					s.EndpointStats = append(s.EndpointStats, m)
				}
				f.handle(LoadReported{bad, s})
				f.advanceTo(f.nowMs + 1000)
			}
		}
	}
	load := func(name string, v float64) func(*fleet, *fakeTransport) {
		return met(func(_ *wire.LoadReport, m *wire.EndpointStats) { m.Load = []wire.LoadMetric{{Name: name, Value: v}} })
	}
	rate := func(v float64) func(*fleet, *fakeTransport) {
		return func(f *fleet, bad *fakeTransport) {
			f.handle(ProxyJoined{bad, wire.Hello{Proxy: "bad", Zone: "a", Rate: v}})
		}
	}
	list := func(change func(e *wire.Entry)) func(*fleet, *fakeTransport) {
		return func(f *fleet, _ *fakeTransport) {
			e := wire.Entry{Endpoint: "e1", Zone: "b", Machine: "std", Weight: 1}
			change(&e)
			f.handle(listed(false, e))
		}
	}
	for name, attack := range map[string]func(*fleet, *fakeTransport){
		"rate NaN": rate(nan), "rate infinite": rate(inf), "rate huge": rate(huge), "rate negative": rate(-huge),
		"load NaN": load("util", nan), "load infinite": load("util", inf), "load huge": load("util", huge),
		"load negative": load("util", -huge), "queue infinite": load("waiting", inf), "queue huge": load("waiting", huge),
		"queue negative": load("in_hand", -1), "served huge": load("rate", huge),
		"mean time huge":   met(func(_ *wire.LoadReport, m *wire.EndpointStats) { m.MeanMs = huge }),
		"mean time NaN":    met(func(_ *wire.LoadReport, m *wire.EndpointStats) { m.MeanMs = nan }),
		"span tiny":        met(func(s *wire.LoadReport, _ *wire.EndpointStats) { s.SpanMs = 5e-324 }),
		"span infinite":    met(func(s *wire.LoadReport, _ *wire.EndpointStats) { s.SpanMs = inf }),
		"time huge":        met(func(s *wire.LoadReport, _ *wire.EndpointStats) { s.AtMs = huge }),
		"sequence maximum": met(func(s *wire.LoadReport, _ *wire.EndpointStats) { s.Seq = math.MaxUint64 }),
		"attempts maximum": met(func(_ *wire.LoadReport, m *wire.EndpointStats) { m.Attempts, m.Failed = math.MaxInt32, math.MaxInt32 }),
		"failed too high":  met(func(_ *wire.LoadReport, m *wire.EndpointStats) { m.Failed = m.Attempts + 1 }),
		"attempts below 0": met(func(_ *wire.LoadReport, m *wire.EndpointStats) { m.Attempts, m.Failed = -5, -9 }),
		"weight huge":      list(func(e *wire.Entry) { e.Weight = huge }),
		"weight infinite":  list(func(e *wire.Entry) { e.Weight = inf }),
		"weight NaN":       list(func(e *wire.Entry) { e.Weight = nan }),
		"weight negative":  list(func(e *wire.Entry) { e.Weight = -1 }),
		"weight tiny":      list(func(e *wire.Entry) { e.Weight = 5e-324 }),
		"start maximum":    list(func(e *wire.Entry) { e.Started = math.MaxUint64 }),
		"start 1 ms":       list(func(e *wire.Entry) { e.Started = 1 }),
		"cell maximum":     list(func(e *wire.Entry) { e.Cell = math.MaxInt32 }),
		"health check load infinite": func(f *fleet, _ *fakeTransport) {
			f.handle(HealthChecked{"e1", "ok", huge, []wire.LoadMetric{{Name: "util", Value: inf}}})
		},
		"acks that were never requested": func(f *fleet, bad *fakeTransport) {
			f.handle(ProxyJoined{bad, wire.Hello{Proxy: "bad", Zone: "a", Rate: 2}})
			for n := range 70000 {
				f.handle(Acked{bad, wire.Done{Mark: n}})
			}
		},
		"slices that do not exist": func(f *fleet, _ *fakeTransport) {
			for n := range 3 {
				f.handle(SliceAssigned{&wire.Slices{Slice: n, Given: true}})
			}
			f.handle(SliceAssigned{&wire.Slices{Slice: wire.AllTables, Given: true}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, entries := newFleet(9, 0, 1000, 1500, 2000)
			var good []*recordingProxy
			for i := range 6 {
				p := &recordingProxy{fleetProxy: fleetProxy{fleet: f, name: fmt.Sprint("p", i), zone: []string{"a", "b", "c"}[i%3]}}
				good = append(good, p)
			}
			f.joinRecording(good, entries)
			f.advanceTo(8000)
			attack(f, &fakeTransport{})
			before := len(good[0].got)
			f.advanceTo(f.nowMs + 12000)
			assert.GreaterOrEqual(t, len(good[0].got), before)
			assert.LessOrEqual(t, f.core.Channel.MaxLines, 1500)
			for _, p := range good {
				for _, m := range p.got {
					for _, op := range m.Ops {
						require.False(t, math.IsNaN(op.Weight) || op.Weight < 0 || op.Weight > 1, "%s got %+v", p.name, op)
					}
				}
				open := 0
				for e := range 9 {
					if p.router.Eligible(0, fmt.Sprint("e", e)) {
						open++
					}
				}
				assert.Greater(t, open, 2, "eligible endpoints of %s", p.name)
			}
			// A drain must still reach all proxies.
			e := entries[4]
			e.Phase = wire.PhaseDraining
			f.handle(listed(false, e))
			f.advanceTo(f.nowMs + 2000)
			for _, p := range good {
				assert.False(t, p.router.Eligible(0, "e4"), "%s still uses a drained endpoint", p.name)
			}
		})
	}
}

// joinRecording lets recording proxies join.
func (f *fleet) joinRecording(proxies []*recordingProxy, entries []wire.Entry) {
	for _, p := range proxies {
		plain := &p.fleetProxy
		f.join([]*fleetProxy{plain}, entries) // creates its router
		f.handle(ProxyLeft{plain}, ProxyJoined{p, wire.Hello{Proxy: p.name, Zone: p.zone, Rate: 2, Fresh: true}})
	}
}
