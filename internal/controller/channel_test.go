package controller

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/internal/wire"
)

// TestChannelPacing checks the rate limit and the order of messages, that messages for a proxy that has left are
// dropped, that a stream is closed when the queue is full, and that a stream is closed when sending fails.
func TestChannelPacing(t *testing.T) {
	c := NewChannel(1000, 400, 0, 10000, nil)
	a, b := &fakeTransport{}, &fakeTransport{}
	sa, sb := &session{stream: a}, &session{stream: b}
	for i := range 10 {
		c.Enqueue(0, sa, &wire.Commands{CostLines: 20, AtMs: float64(i)})
	}
	c.Enqueue(0, sb, &wire.Commands{CostLines: 50})
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
		c.Enqueue(300, sb, &wire.Commands{CostLines: 20})
	}
	assert.LessOrEqual(t, c.Lines(), queueLimitFactor*400)
	assert.Equal(t, "channel overfull", b.closed)
	full := &fakeTransport{full: true}
	c = NewChannel(0, 0, 0, 10000, nil)
	c.Enqueue(0, &session{stream: full}, &wire.Commands{CostLines: 1})
	c.Send(0)
	assert.Equal(t, "full", full.closed)
}

// TestChannelSlowerThanConfigured checks the backlog limit when the channel sends at less than a quarter of its
// configured rate. The planner used to assume that unacknowledged lines leave at a quarter of that rate, and acks could
// only lower its count, so it counted waiting lines as sent: at 160 instead of 800 lines/s, 5,054 lines waited where
// the limit was 4,800 (incident 028, scenario zone+mass with seed 9).
func TestChannelSlowerThanConfigured(t *testing.T) {
	const backlog = 4800
	for name, c := range map[string]struct{ pace, configured float64 }{
		"configured rate":                {800, 800},
		"a fifth of the configured rate": {160, 800},
		"a tenth of the configured rate": {80, 800},
	} {
		t.Run(name, func(t *testing.T) {
			f, entries := newFleet(201, 54, c.pace, backlog, 7200, func(settings map[string]any) {
				settings["lines_per_s"] = c.configured
			})
			f.join(f.proxies, entries)
			f.advanceTo(60000)
			joinMaxLines := f.core.Channel.MaxLines
			for step := 0; step < 150; step++ { // every 200 ms 8 endpoints start draining, or become ready again
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
			t.Logf("max lines %d, after joining %d", f.core.Channel.MaxLines, joinMaxLines)
			assert.LessOrEqual(t, f.core.Channel.MaxLines, backlog)
			assert.Greater(t, f.core.Channel.MaxLines, backlog/3, "the scenario must fill a third of the backlog")
		})
	}
}

// BenchmarkChannel measures the throughput of a channel without a rate limit, in lines per second, with messages of 110
// operations to each of 450 proxies.
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
			c.Enqueue(now, s, &wire.Commands{CostLines: 114, Ops: ops})
		}
		lines += c.Send(now)
		for _, s := range sessions {
			f, _ := s.stream.(*fakeTransport)
			f.sent = f.sent[:0]
		}
	}
	b.ReportMetric(float64(lines)/b.Elapsed().Seconds(), "lines/s")
}
