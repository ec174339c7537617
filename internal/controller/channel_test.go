package controller

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/internal/wire"
)

// TestChannelPacing guards the channel's pace and order, and that what waits for a proxy which has left is forgotten.
func TestChannelPacing(t *testing.T) {
	c := NewChannel(1000, 400, 0, 10000, nil)
	a, b := &fakeTransport{}, &fakeTransport{}
	sa, sb := &session{stream: a}, &session{stream: b}
	for i := range 10 {
		c.Enqueue(0, sa, &wire.Orders{Lines: 20, AtMs: float64(i)})
	}
	c.Enqueue(0, sb, &wire.Orders{Lines: 50})
	assert.Equal(t, 250, c.Lines())
	c.Send(100)
	assert.InDelta(t, 5, len(a.sent), 1)
	c.Drop(sa)
	assert.Equal(t, 50, c.Lines())
	assert.Less(t, c.Due(), 260.0)
	c.Send(260)
	assert.Len(t, b.sent, 1)
	assert.InDelta(t, 260, b.sent[0].AgeMs, 1)
	assert.True(t, math.IsInf(c.Due(), 1))
	for range 200 {
		c.Enqueue(300, sb, &wire.Orders{Lines: 20})
	}
	assert.LessOrEqual(t, c.Lines(), queueLimitFactor*400)
	assert.Equal(t, "channel overfull", b.closed)
	full := &fakeTransport{full: true}
	c = NewChannel(0, 0, 0, 10000, nil)
	c.Enqueue(0, &session{stream: full}, &wire.Orders{Lines: 1})
	c.Send(0)
	assert.Equal(t, "full", full.closed)
}

// TestChannelSlowerThanConfigured guards the backlog where the channel carries less than a quarter of what is told: lines
// that were taken for gone at that pace still waited, and answers that said so only ever lowered the count (zone+mass
// of seed 9: 160 lines a second for 800, 5,054 lines where 4,800 may wait).
func TestChannelSlowerThanConfigured(t *testing.T) {
	const backlog = 4800
	for name, c := range map[string]struct{ pace, configured float64 }{
		"as told": {800, 800},
		"a fifth": {160, 800},
		"a tenth": {80, 800},
	} {
		t.Run(name, func(t *testing.T) {
			f, entries := newFleet(201, 54, c.pace, backlog, 7200, func(settings map[string]any) {
				settings["lines_per_s"] = c.configured
			})
			f.join(f.proxies, entries)
			f.advanceTo(60000)
			joinMaxLines := f.core.Channel.MaxLines
			for step := 0; step < 150; step++ { // a zone comes back, others go, some each fifth of a second
				var changed []wire.Entry
				for k := range 8 {
					e := &entries[(8*step+k)%len(entries)]
					if e.Phase = wire.PhaseReady; step/25%2 == 0 {
						e.Phase = wire.PhaseDraining
					}
					e.Started = uint64(f.nowMs) + 1
					changed = append(changed, *e)
				}
				f.handle(listed(false, changed...))
				f.advanceTo(f.nowMs + 200)
			}
			t.Logf("most lines %d, before %d", f.core.Channel.MaxLines, joinMaxLines)
			assert.LessOrEqual(t, f.core.Channel.MaxLines, backlog)
			assert.Greater(t, f.core.Channel.MaxLines, backlog/3, "there is much to say")
		})
	}
}

// BenchmarkChannel measures the lines a second that go through an unpaced channel: tables of 110 lines for 450 proxies.
func BenchmarkChannel(b *testing.B) {
	c := NewChannel(0, 0, 0, 10000, nil)
	ops := make([]wire.Op, 110)
	var sessions []*session
	for range 450 {
		sessions = append(sessions, &session{stream: &fakeTransport{full: false}})
	}
	lines, now := 0, 0.0
	for b.Loop() {
		now++
		for _, s := range sessions {
			c.Enqueue(now, s, &wire.Orders{Lines: 114, Ops: ops})
		}
		lines += c.Send(now)
		for _, s := range sessions {
			f, _ := s.stream.(*fakeTransport)
			f.sent = f.sent[:0]
		}
	}
	b.ReportMetric(float64(lines)/b.Elapsed().Seconds(), "lines/s")
}
