package telemetry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestFlushedRateAccuracy checks that the flushed rates stay close to the true rates when reports are limited,
// lost, delayed, sent all at the same time or sent with wrong clocks.
func TestFlushedRateAccuracy(t *testing.T) {
	for _, c := range []struct {
		name    string
		options func(*Options)
		change  func(*fleet)
		within  float64
	}{
		{"no faults", nil, nil, 0.03},
		{"limit of half the lines", func(o *Options) { o.LinesPerS = 150 }, nil, 0.1},
		{"ten times as many reports as the limit allows", func(o *Options) { o.LinesPerS = 400 }, func(c *fleet) {
			for _, s := range c.senders {
				s.reportsPerPeriod, s.ignoresAdvice = 10, true
			}
		}, 0.3}, // one line in nine is kept: a standard error near 0.1 for the smallest rate, and the worst of 36 sums counts
		{"one sender reports as much as all others", func(o *Options) { o.LinesPerS = 300 }, func(c *fleet) {
			c.senders[4].reportsPerPeriod, c.senders[4].ignoresAdvice = 30, true
		}, 0.1},
		{"all senders report at the same time", nil, func(c *fleet) {
			for _, s := range c.senders {
				s.nextMs = 1000
			}
		}, 0.03},
		{"half of the reports lost", nil, func(c *fleet) {
			c.deliver = func(*reporter, float64) (bool, float64) { return c.rnd.Float64() < 0.5, 0 }
		}, 0.1},
		{"one zone's reports ten seconds late", nil, func(c *fleet) {
			c.deliver = func(s *reporter, _ float64) (bool, float64) {
				if s.zone == 1 {
					return true, 10000
				}
				return true, 0
			}
		}, 0.05},
		{"sender clocks with offset, drift and jumps", nil, func(c *fleet) {
			for i, s := range c.senders {
				s.clockMs, s.drift = float64(i)*1e7, float64(i-15)*2e-4
			}
			c.deliver = func(s *reporter, now float64) (bool, float64) {
				if s.id == 3 && now == 20000 {
					s.clockMs += 5e5
				}
				return true, 0
			}
		}, 0.05},
		{"20 lines flushed per second", func(o *Options) { o.FlushedPerS = 20 }, nil, 0.1},
		{"half of the senders report every seven seconds", nil, func(c *fleet) {
			for _, s := range c.senders[:15] {
				s.periodMs = 7000
			}
		}, 0.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			options := testOptions()
			if c.options != nil {
				c.options(&options)
			}
			f := newFleet(options, 30, 12, 3)
			if c.change != nil {
				c.change(f)
			}
			f.run(60000, nil)
			relativeError, where := f.worstError(60000)
			t.Logf("largest relative error %.3f, %s; line counts by reason %v", relativeError, where, f.aggregator.Counts)
			assert.Less(t, relativeError, c.within, where)
		})
	}
}

// TestSimultaneousRejoin checks the accuracy of the flushed rates when all senders report at once after the aggregator
// was restarted, and each report covers a minute.
func TestSimultaneousRejoin(t *testing.T) {
	c := newFleet(testOptions(), 30, 12, 3)
	c.now = 60000
	for _, s := range c.senders {
		s.lastMs, s.nextMs = 0, 60000
	}
	c.run(8000, nil)
	relativeError, where := c.worstError(68000)
	assert.Less(t, relativeError, 0.1, where)
}
