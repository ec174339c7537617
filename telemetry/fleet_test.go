package telemetry

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"indigousher/planner"
)

// fleet simulates senders with constant true rates that report to an aggregator.
type fleet struct {
	aggregator  *Aggregator[float64]
	endpoints   int
	zones       int
	senders     []*reporter
	now         float64
	flushed     map[zoneEndpoint]*flushedSum
	maxPending  int
	rates       func(sender, endpoint int) float64 // attempts a second
	failureRate func(endpoint int, nowMs float64) float64
	deliver     func(s *reporter, nowMs float64) (arrives bool, lateMs float64)
	inFlight    []delivery
	attempts    map[zoneEndpoint]float64 // attempts that were made
	src         rand.Source
	rnd         *rand.Rand
}

// reporter is a simulated proxy.
type reporter struct {
	id, zone         int
	lastSeq          uint64
	lastMs, periodMs float64
	nextMs           float64
	clockMs, drift   float64
	ignoresAdvice    bool
	arrived          bool
	reportsPerPeriod float64 // reports sent where one is due
}

// delivery is a report in transit.
type delivery struct {
	at     float64
	report *Report[float64]
}

// flushedSum is the total that was flushed of one sum.
type flushedSum struct{ tries, span, failed float64 }

func testOptions() Options {
	return Options{PeriodMs: 1000, HalfLifeMs: 5000, MaxAgeMs: 120000, MaxSlowdown: 8, WarmUpMs: 10000}
}

func newFleet(o Options, senders, endpoints, zones int) *fleet {
	c := &fleet{
		aggregator: New[float64](o), endpoints: endpoints, zones: zones, flushed: map[zoneEndpoint]*flushedSum{},
		attempts: map[zoneEndpoint]float64{}, src: rand.NewPCG(1, 2), rnd: rand.New(rand.NewPCG(3, 4)),
	}
	for e := range endpoints {
		c.aggregator.UpdateEndpoint(0, e, planner.Ready, 0)
	}
	for i := range senders {
		s := &reporter{
			id: i, zone: i % zones, periodMs: o.PeriodMs, nextMs: o.PeriodMs * float64(i+1) / float64(senders),
			reportsPerPeriod: 1,
		}
		c.senders = append(c.senders, s)
		c.aggregator.Join(0, i, s.zone)
	}
	c.rates = func(s, e int) float64 { return 20 / (1 + float64(e)) * (1 + float64(s%3)) }
	c.failureRate = func(int, float64) float64 { return 0 }
	c.deliver = func(*reporter, float64) (bool, float64) { return true, 0 }
	return c
}

// report returns a sender's report, of random attempts at the true rates.
func (c *fleet) report(s *reporter) *Report[float64] {
	s.lastSeq++
	r := &Report[float64]{Sender: s.id, Seq: s.lastSeq, AtMs: c.now*(1+s.drift) + s.clockMs, SpanMs: c.now - s.lastMs}
	for e := range c.endpoints {
		tries := int(distuv.Poisson{Lambda: c.rates(s.id, e) * r.SpanMs / 1000, Src: c.src}.Rand())
		c.attempts[zoneEndpoint{e, s.zone}] += float64(tries)
		if tries > 0 {
			failed := int(math.Round(float64(tries) * c.failureRate(e, c.now)))
			line := Line[float64]{Endpoint: e, Attempts: tries, Failed: failed, MeanMs: 30, Load: c.now, HasLoad: true}
			r.Lines = append(r.Lines, line)
		}
	}
	s.lastMs = c.now
	return r
}

// run advances time in steps of 20 ms and flushes once a second; done is called with each batch.
func (c *fleet) run(ms float64, done func(nowMs float64, t Batch[float64])) {
	const step = 20.0
	for end := c.now + ms; c.now < end; {
		c.now += step
		c.sendDue()
		c.receiveDue()
		c.maxPending = max(c.maxPending, c.aggregator.Pending())
		if math.Mod(c.now, 1000) >= step {
			continue
		}
		batch := c.aggregator.Flush(c.now, 1000)
		c.collect(batch)
		if done != nil {
			done(c.now, batch)
		}
		c.applyAdvice(c.aggregator.Rebalance(c.now))
	}
}

// sendDue sends the reports that are due.
func (c *fleet) sendDue() {
	for _, s := range c.senders {
		for s.nextMs <= c.now {
			s.nextMs += s.periodMs / s.reportsPerPeriod
			r := c.report(s)
			if arrives, late := c.deliver(s, c.now); arrives {
				s.arrived = true
				c.inFlight = append(c.inFlight, delivery{c.now + late, r})
			}
		}
	}
}

// receiveDue delivers the reports whose time has come.
func (c *fleet) receiveDue() {
	kept := c.inFlight[:0]
	for _, d := range c.inFlight {
		if d.at <= c.now {
			c.aggregator.Add(c.now, d.report)
		} else {
			kept = append(kept, d)
		}
	}
	c.inFlight = kept
}

// collect adds a batch to the totals.
func (c *fleet) collect(batch Batch[float64]) {
	for _, m := range batch.EndpointSums {
		key := zoneEndpoint{m.Endpoint, m.Zone}
		if c.flushed[key] == nil {
			c.flushed[key] = &flushedSum{}
		}
		c.flushed[key].tries += m.Attempts
		c.flushed[key].failed += m.Failed
		c.flushed[key].span += m.SpanMs
	}
}

// follow applies advice to the senders, except those that ignore it.
func (c *fleet) applyAdvice(advice []Advice) {
	for _, a := range advice {
		if s := c.senders[a.Sender]; !s.ignoresAdvice {
			s.periodMs = a.PeriodMs
		}
	}
}

// worstError returns the largest relative error of a flushed rate, among endpoints with at least a hundredth of their
// zone's attempts.
func (c *fleet) worstError(overMs float64) (worst float64, about string) {
	all := map[int]float64{}
	for key, n := range c.attempts {
		all[key.zone] += n
	}
	for key, n := range c.attempts {
		if n < all[key.zone]/100 {
			continue
		}
		want := n / overMs * 1000
		got := 0.0
		if x := c.flushed[key]; x != nil && x.span > 0 {
			got = x.tries / x.span * 1000
		}
		if off := math.Abs(got-want) / want; off > worst {
			worst = off
			about = fmt.Sprintf("endpoint %d zone %d: flushed %.2f, true %.2f a second", key.endpoint, key.zone, got, want)
		}
	}
	return worst, about
}
