package telemetry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat/distuv"
	"pgregory.net/rapid"

	"indigousher/planner"
)

// crowd is a zone structure of senders with steady true rates, and what an intake makes of their reports.
type crowd struct {
	in        *Aggregator[float64]
	endpoints int
	zones     int
	senders   []*talker
	now       float64
	told      map[metKey]*seen
	most      int
	rates     func(sender, endpoint int) float64 // tries a second
	fails     func(endpoint int, nowMs float64) float64
	bear      func(s *talker, nowMs float64) (arrives bool, lateMs float64)
	mail      []letter
	truth     map[metKey]float64 // tries that were made
	src       rand.Source
	rnd       *rand.Rand
}

type talker struct {
	id, zone         int
	seq              uint64
	lastMs, periodMs float64
	nextMs           float64
	clockMs, drift   float64
	heedless         bool
	arrived          bool
	times            float64 // reports sent where one is due
}

type letter struct {
	at float64
	r  *Report[float64]
}

type seen struct{ tries, span, failed float64 }

func terms() Options {
	return Options{PeriodMs: 1000, HalfMs: 5000, LongestMs: 120000, Slowest: 8, ColdMs: 10000}
}

func newCrowd(t Options, senders, endpoints, zones int) *crowd {
	c := &crowd{in: New[float64](t), endpoints: endpoints, zones: zones, told: map[metKey]*seen{},
		truth: map[metKey]float64{}, src: rand.NewPCG(1, 2), rnd: rand.New(rand.NewPCG(3, 4))}
	for e := range endpoints {
		c.in.UpdateEndpoint(0, e, planner.Ready, 0)
	}
	for i := range senders {
		s := &talker{id: i, zone: i % zones, periodMs: t.PeriodMs, nextMs: t.PeriodMs * float64(i+1) / float64(senders),
			times: 1}
		c.senders = append(c.senders, s)
		c.in.Join(0, i, s.zone)
	}
	c.rates = func(s, e int) float64 { return 20 / (1 + float64(e)) * (1 + float64(s%3)) }
	c.fails = func(int, float64) float64 { return 0 }
	c.bear = func(*talker, float64) (bool, float64) { return true, 0 }
	return c
}

// speak makes what a sender reports now.
func (c *crowd) speak(s *talker) *Report[float64] {
	s.seq++
	r := &Report[float64]{Sender: s.id, Seq: s.seq, AtMs: c.now*(1+s.drift) + s.clockMs, SpanMs: c.now - s.lastMs}
	for e := range c.endpoints {
		tries := int(distuv.Poisson{Lambda: c.rates(s.id, e) * r.SpanMs / 1000, Src: c.src}.Rand())
		c.truth[metKey{e, s.zone}] += float64(tries)
		if tries > 0 {
			failed := int(math.Round(float64(tries) * c.fails(e, c.now)))
			r.Lines = append(r.Lines, Line[float64]{Endpoint: e, Tries: tries, Failed: failed, MeanMs: 30, Load: c.now, HasLoad: true})
		}
	}
	s.lastMs = c.now
	return r
}

// run lets time pass in steps of 20 ms; done is called with what each period tells.
func (c *crowd) run(ms float64, done func(nowMs float64, t Batch[float64])) {
	const step = 20.0
	for end := c.now + ms; c.now < end; {
		c.now += step
		for _, s := range c.senders {
			for s.nextMs <= c.now {
				s.nextMs += s.periodMs / s.times
				r := c.speak(s)
				if arrives, late := c.bear(s, c.now); arrives {
					s.arrived = true
					c.mail = append(c.mail, letter{c.now + late, r})
				}
			}
		}
		kept := c.mail[:0]
		for _, m := range c.mail {
			if m.at <= c.now {
				c.in.Add(c.now, m.r)
			} else {
				kept = append(kept, m)
			}
		}
		c.mail = kept
		c.most = max(c.most, c.in.Pending())
		if math.Mod(c.now, 1000) < step {
			t := c.in.Flush(c.now, 1000)
			for _, m := range t.Mets {
				key := metKey{m.Endpoint, m.Zone}
				if c.told[key] == nil {
					c.told[key] = &seen{}
				}
				c.told[key].tries += m.Tries
				c.told[key].failed += m.Failed
				c.told[key].span += m.SpanMs
			}
			if done != nil {
				done(c.now, t)
			}
			for _, a := range c.in.Rebalance(c.now) {
				if s := c.senders[a.Sender]; !s.heedless {
					s.periodMs = a.PeriodMs
				}
			}
		}
	}
}

// worst returns how far the told rate is from the true one, at worst, over endpoints with a hundredth of their zone.
func (c *crowd) worst(overMs float64) (worst float64, about string) {
	all := map[int]float64{}
	for key, n := range c.truth {
		all[key.zone] += n
	}
	for key, n := range c.truth {
		got, want := 0.0, n/overMs*1000
		if n < all[key.zone]/100 {
			continue
		}
		if x := c.told[key]; x != nil && x.span > 0 {
			got = x.tries / x.span * 1000
		}
		if off := math.Abs(got-want) / want; off > worst {
			worst, about = off, fmt.Sprintf("endpoint %d zone %d: told %.2f, true %.2f a second", key.endpoint, key.zone, got, want)
		}
	}
	return worst, about
}

// TestTruth guards the load that the module is told against each way in which reports can go wrong.
func TestTruth(t *testing.T) {
	for _, c := range []struct {
		name   string
		terms  func(*Options)
		change func(*crowd)
		within float64
	}{
		{"all well", nil, nil, 0.03},
		{"a pace that fits half", func(t *Options) { t.LinesPerS = 150 }, nil, 0.1},
		{"ten times the reports for the pace", func(t *Options) { t.LinesPerS = 400 }, func(c *crowd) {
			for _, s := range c.senders {
				s.times, s.heedless = 10, true
			}
		}, 0.3}, // one line of nine is kept: a standard error near 0.1 for the smallest, and this is the worst of 36
		{"one sender talks as much as all others", func(t *Options) { t.LinesPerS = 300 }, func(c *crowd) {
			c.senders[4].times, c.senders[4].heedless = 30, true
		}, 0.1},
		{"all in step", nil, func(c *crowd) {
			for _, s := range c.senders {
				s.nextMs = 1000
			}
		}, 0.03},
		{"half of the reports lost", nil, func(c *crowd) {
			c.bear = func(*talker, float64) (bool, float64) { return c.rnd.Float64() < 0.5, 0 }
		}, 0.1},
		{"one zone's reports ten seconds late", nil, func(c *crowd) {
			c.bear = func(s *talker, _ float64) (bool, float64) { return true, map[bool]float64{true: 10000}[s.zone == 1] }
		}, 0.05},
		{"clocks that are wrong, drift and jump", nil, func(c *crowd) {
			for i, s := range c.senders {
				s.clockMs, s.drift = float64(i)*1e7, float64(i-15)*2e-4
			}
			c.bear = func(s *talker, now float64) (bool, float64) {
				if s.id == 3 && now == 20000 {
					s.clockMs += 5e5
				}
				return true, 0
			}
		}, 0.05},
		{"few lines told a second", func(t *Options) { t.ToldPerS = 20 }, nil, 0.1},
		{"slow reports", nil, func(c *crowd) {
			for _, s := range c.senders[:15] {
				s.periodMs = 7000
			}
		}, 0.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			tm := terms()
			if c.terms != nil {
				c.terms(&tm)
			}
			cr := newCrowd(tm, 30, 12, 3)
			if c.change != nil {
				c.change(cr)
			}
			cr.run(60000, nil)
			off, about := cr.worst(60000)
			t.Logf("worst %.3f %s; counts %v", off, about, cr.in.Counts)
			assert.Less(t, off, c.within, about)
		})
	}
}

// TestRejoin guards the load against all senders coming back at once after a restart, each with a minute of sums.
func TestRejoin(t *testing.T) {
	c := newCrowd(terms(), 30, 12, 3)
	c.now = 60000
	for _, s := range c.senders {
		s.lastMs, s.nextMs = 0, 60000
	}
	c.run(8000, nil)
	off, about := c.worst(68000)
	assert.Less(t, off, 0.1, about)
}

// TestRefused guards the sums against what can't be true and what is not of the living.
func TestRefused(t *testing.T) {
	good := func() *Report[float64] {
		return &Report[float64]{Sender: 0, Seq: 5, AtMs: 1000, SpanMs: 1000, Lines: []Line[float64]{{Endpoint: 0, Tries: 10, MeanMs: 5}}}
	}
	for _, c := range []struct {
		name   string
		spoil  func(*Report[float64])
		reason Reason
	}{
		{"repeated", func(r *Report[float64]) { r.Seq = 4 }, Repeated},
		{"from nobody", func(r *Report[float64]) { r.Sender = 9 }, Stranger},
		{"no span", func(r *Report[float64]) { r.SpanMs = 0 }, NoSpan},
		{"a negative span", func(r *Report[float64]) { r.SpanMs = -1 }, Absurd},
		{"a span of days", func(r *Report[float64]) { r.SpanMs = 1e9 }, Absurd},
		{"not a number", func(r *Report[float64]) { r.SpanMs = math.NaN() }, Absurd},
		{"an infinite clock", func(r *Report[float64]) { r.AtMs = math.Inf(1) }, Absurd},
		{"tries beyond belief", func(r *Report[float64]) { r.Lines[0].Tries = 1e9 }, Absurd},
		{"more failed than tried", func(r *Report[float64]) { r.Lines[0].Failed = 11 }, Absurd},
		{"negative tries", func(r *Report[float64]) { r.Lines[0].Tries = -1 }, Absurd},
		{"a mean that is no number", func(r *Report[float64]) { r.Lines[0].MeanMs = math.NaN() }, Absurd},
		{"never listed", func(r *Report[float64]) { r.Lines[0].Endpoint = 7 }, Unlisted},
		{"gone", func(r *Report[float64]) { r.Lines[0].Endpoint = 1 }, Unlisted},
		{"of the life before a restart", func(r *Report[float64]) { r.Lines[0].Endpoint = 2 }, Restarted},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := New[float64](terms())
			for e := range 3 {
				in.UpdateEndpoint(0, e, planner.Ready, 0)
			}
			in.UpdateEndpoint(500, 1, planner.Gone, 0)
			require.True(t, in.Join(0, 0, 0))
			in.Add(990, &Report[float64]{Sender: 0, Seq: 4, AtMs: 990, SpanMs: 1})
			in.UpdateEndpoint(1000, 2, planner.Ready, 1000)
			r := good()
			c.spoil(r)
			in.Add(1000, r)
			assert.EqualValues(t, 1, in.Counts[c.reason])
			assert.Zero(t, in.Counts[Merged])
			assert.Empty(t, in.Flush(2000, 1000).Mets)
		})
	}
}

// TestRestarted guards the living against reports that reach back before a restart: only the part after it counts.
func TestRestarted(t *testing.T) {
	in := New[float64](terms())
	in.UpdateEndpoint(0, 0, planner.Ready, 0)
	in.Join(0, 0, 0)
	in.Add(1000, &Report[float64]{Seq: 1, AtMs: 1000, SpanMs: 1000, Lines: []Line[float64]{{Tries: 50, Failed: 50}}})
	in.UpdateEndpoint(1500, 0, planner.Ready, 1500) // what waited of the former life goes
	in.Add(2000, &Report[float64]{Seq: 2, AtMs: 2000, SpanMs: 1000, Lines: []Line[float64]{{Tries: 40, Load: 1, HasLoad: true}}})
	told := in.Flush(2000, 1000).Mets
	require.Len(t, told, 1)
	assert.Zero(t, told[0].Failed)
	assert.InDelta(t, 20, told[0].Tries, 2)
	assert.False(t, told[0].HasLoad, "a load report may be of the former life")
}

// TestFailingSeenInBurst guards an endpoint at a tenth of the others' traffic that begins to fail while reports come a
// hundredfold: it is told within two periods of when an unlimited intake tells it.
func TestFailingSeenInBurst(t *testing.T) {
	first := func(limit float64) (at float64) {
		tm := terms()
		tm.LinesPerS, tm.ToldPerS = limit, limit/10
		c := newCrowd(tm, 60, 20, 3)
		c.rates = func(s, e int) float64 { return map[bool]float64{true: 0.5, false: 5}[e == 13] }
		c.fails = func(e int, now float64) float64 { return map[bool]float64{true: 1}[e == 13 && now > 20300] }
		c.run(20000, nil)
		for _, s := range c.senders {
			s.times = 100
		}
		c.run(8000, func(now float64, told Batch[float64]) {
			for _, m := range told.Mets {
				if m.Endpoint == 13 && m.Failed > 0.5*m.Tries && at == 0 {
					at = now
				}
			}
		})
		return at
	}
	unlimited, limited := first(0), first(800)
	require.NotZero(t, unlimited)
	require.NotZero(t, limited)
	assert.LessOrEqual(t, limited, unlimited+2000)
}

// TestStanding guards the bound of what waits, and that what is urgent finds room.
func TestStanding(t *testing.T) {
	tm := terms()
	tm.Standing, tm.ToldPerS = 10, 5
	c := newCrowd(tm, 30, 40, 3)
	urgent := false
	c.fails = func(e int, now float64) float64 { return map[bool]float64{true: 1}[e == 39 && now > 5000] }
	c.rates = func(int, int) float64 { return 3 }
	c.run(9000, func(_ float64, told Batch[float64]) {
		for _, m := range told.Mets {
			urgent = urgent || m.Endpoint == 39 && m.Failed > 0
		}
	})
	assert.LessOrEqual(t, c.most, 10)
	assert.True(t, urgent)
	assert.Positive(t, c.in.Counts[Evicted])
}

// TestPaceAskedAndReleased guards the way out of a crowd: senders are slowed at once and released in turns.
func TestPaceAskedAndReleased(t *testing.T) {
	tm := terms()
	tm.LinesPerS = 400
	c := newCrowd(tm, 64, 10, 2)
	c.rates = func(int, int) float64 { return 5 }
	c.run(4000, nil)
	for _, s := range c.senders {
		assert.Greater(t, s.periodMs, 1000.0)
	}
	c.rates = func(_, e int) float64 { return map[bool]float64{true: 5}[e == 0] }
	released, most := 0, 0
	for range 60 {
		c.run(1000, nil)
		n := 0
		for _, s := range c.senders {
			if s.periodMs == 1000 {
				n++
			}
		}
		most, released = max(most, n-released), n
	}
	assert.Equal(t, len(c.senders), released)
	assert.LessOrEqual(t, most, len(c.senders)/3, "not all in one second")
}

// TestFill is max-min fairness by hand.
func TestFill(t *testing.T) {
	for _, c := range []struct {
		total   float64
		demands []float64
		level   float64
	}{
		{10, []float64{2, 2, 2}, math.Inf(1)},
		{9, []float64{5, 5, 5}, 3},
		{10, []float64{1, 20, 20}, 4.5},
		{10, []float64{20, 1, 3}, 6},
		{0, []float64{1}, 0},
	} {
		assert.Equal(t, c.level, fill(c.total, c.demands))
	}
}

// TestProperties holds whatever arrives in whatever order: no sender starves, the bound is kept, the same inputs give
// the same outputs, and what is told never exceeds what could have been reported.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tm := terms()
		tm.LinesPerS = rapid.Float64Range(50, 2000).Draw(rt, "pace")
		tm.Standing = rapid.IntRange(8, 100).Draw(rt, "standing")
		talk := rapid.SliceOfN(rapid.Float64Range(0.5, 20), 6, 6).Draw(rt, "talk")
		loss := rapid.Float64Range(0, 0.6).Draw(rt, "loss")
		late := rapid.Float64Range(0, 3000).Draw(rt, "late")
		play := func() (string, *crowd) {
			c := newCrowd(tm, 6, 5, 2)
			for i, s := range c.senders {
				s.times = talk[i]
			}
			c.bear = func(*talker, float64) (bool, float64) { return c.rnd.Float64() >= loss, late * c.rnd.Float64() }
			var all string
			c.run(6000, func(now float64, told Batch[float64]) { all += fmt.Sprint(now, told) })
			return all, c
		}
		first, c := play()
		second, _ := play()
		require.Equal(rt, first, second)
		require.LessOrEqual(rt, c.most, tm.Standing)
		for _, s := range c.senders {
			require.True(rt, !s.arrived || c.in.senders[s.id].taken > 0 || late > 0, "sender %d was never heard", s.id)
		}
		for key, x := range c.told {
			require.False(rt, math.IsNaN(x.tries) || x.tries < 0 || x.failed > x.tries+1e-9, "%v %+v", key, x)
		}
	})
}
