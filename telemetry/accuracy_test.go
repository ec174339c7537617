package telemetry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestTruth checks the accuracy of the flushed rates for each way in which reports can go wrong.
func TestFlushedRateAccuracy(t *testing.T) {
	for _, c := range []struct {
		name    string
		options func(*Options)
		change  func(*fleet)
		within  float64
	}{
		{"all well", nil, nil, 0.03},
		{"a limit that fits half", func(o *Options) { o.LinesPerS = 150 }, nil, 0.1},
		{"ten times the reports for the limit", func(o *Options) { o.LinesPerS = 400 }, func(c *fleet) {
			for _, s := range c.senders {
				s.reportsPerPeriod, s.ignoresAdvice = 10, true
			}
		}, 0.3}, // one line of nine is kept: a standard error near 0.1 for the smallest, and this is the worst of 36
		{"one sender reports as much as all others", func(o *Options) { o.LinesPerS = 300 }, func(c *fleet) {
			c.senders[4].reportsPerPeriod, c.senders[4].ignoresAdvice = 30, true
		}, 0.1},
		{"all in step", nil, func(c *fleet) {
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
		{"clocks that are wrong, drift and jump", nil, func(c *fleet) {
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
		{"few lines flushed a second", func(o *Options) { o.FlushedPerS = 20 }, nil, 0.1},
		{"slow reports", nil, func(c *fleet) {
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
			cr := newFleet(options, 30, 12, 3)
			if c.change != nil {
				c.change(cr)
			}
			cr.run(60000, nil)
			off, about := cr.worstError(60000)
			t.Logf("worst %.3f %s; counts %v", off, about, cr.aggregator.Counts)
			assert.Less(t, off, c.within, about)
		})
	}
}

// TestRejoin checks the accuracy when all senders return at once after a restart, each with a minute of data.
func TestSimultaneousRejoin(t *testing.T) {
	c := newFleet(testOptions(), 30, 12, 3)
	c.now = 60000
	for _, s := range c.senders {
		s.lastMs, s.nextMs = 0, 60000
	}
	c.run(8000, nil)
	off, about := c.worstError(68000)
	assert.Less(t, off, 0.1, about)
}
