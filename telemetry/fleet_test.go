package telemetry

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"indigousher/planner"
)

// fleet simulates proxies that make attempts at known rates and report them to an aggregator.
type fleet struct {
	aggregator  *Aggregator[float64]
	endpoints   int
	zones       int
	senders     []*reporter
	now         float64
	flushed     map[zoneEndpoint]*flushedSum
	maxPending  int
	rates       func(sender, endpoint int) float64 // attempts per second of a sender at an endpoint
	failureRate func(endpoint int, nowMs float64) float64
	deliver     func(s *reporter, nowMs float64) (arrives bool, lateMs float64)
	inFlight    []delivery
	attempts    map[zoneEndpoint]float64 // attempts made so far
	src         rand.Source
	rnd         *rand.Rand
}

// reporter is a simulated proxy that sends reports.
type reporter struct {
	id, zone         int
	lastSeq          uint64
	lastMs, periodMs float64
	nextMs           float64
	clockMs, drift   float64
	ignoresAdvice    bool
	arrived          bool
	reportsPerPeriod float64 // 1 for a correct proxy
}

// delivery is a report on its way to the aggregator; at is its arrival time in ms.
type delivery struct {
	at     float64
	report *Report[float64]
}

// flushedSum totals what the aggregator flushed for one endpoint and zone; span is in ms.
type flushedSum struct{ attempts, span, failed float64 }

// testOptions returns the options that the tests modify: no limits, a report period of one second and a half-life of
// five.
func testOptions() Options {
	return Options{PeriodMs: 1000, HalfLifeMs: 5000, MaxAgeMs: 120000, MaxSlowdown: 8, WarmUpMs: 10000}
}

// newFleet returns a fleet of senders, whose zones alternate, that have joined an aggregator with the given endpoints.
// The reports of the senders are spread over the report period.
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

// report returns the next report of a sender, with Poisson-distributed attempts at the configured rates.
func (c *fleet) report(s *reporter) *Report[float64] {
	s.lastSeq++
	r := &Report[float64]{Sender: s.id, Seq: s.lastSeq, AtMs: c.now*(1+s.drift) + s.clockMs, SpanMs: c.now - s.lastMs}
	for e := range c.endpoints {
		attempts := int(distuv.Poisson{Lambda: c.rates(s.id, e) * r.SpanMs / 1000, Src: c.src}.Rand())
		c.attempts[zoneEndpoint{e, s.zone}] += float64(attempts)
		if attempts > 0 {
			failed := int(math.Round(float64(attempts) * c.failureRate(e, c.now)))
			line := EndpointLine[float64]{Endpoint: e, Attempts: attempts, Failed: failed, MeanMs: 30, Load: c.now, HasLoad: true}
			r.EndpointLines = append(r.EndpointLines, line)
		}
	}
	s.lastMs = c.now
	return r
}

// run simulates ms milliseconds in steps of 20 ms and flushes once per second. It calls done with each flushed batch,
// unless done is nil.
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

// sendDue makes each sender send the reports that are due by now.
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

// receiveDue adds the reports that have arrived by now to the aggregator.
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

// collect adds the endpoint sums of a batch to the totals of flushed.
func (c *fleet) collect(batch Batch[float64]) {
	for _, m := range batch.EndpointSums {
		key := zoneEndpoint{m.Endpoint, m.Zone}
		if c.flushed[key] == nil {
			c.flushed[key] = &flushedSum{}
		}
		c.flushed[key].attempts += m.Attempts
		c.flushed[key].failed += m.Failed
		c.flushed[key].span += m.SpanMs
	}
}

// applyAdvice sets the report period of the advised senders, except those that ignore advice.
func (c *fleet) applyAdvice(advice []Advice) {
	for _, a := range advice {
		if s := c.senders[a.Sender]; !s.ignoresAdvice {
			s.periodMs = a.PeriodMs
		}
	}
}

// worstError returns the largest relative error of the flushed rates over the last overMs, and which endpoint and zone
// it concerns. Endpoints with less than a hundredth of their zone's attempts are left out.
func (c *fleet) worstError(overMs float64) (worst float64, where string) {
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
			got = x.attempts / x.span * 1000
		}
		if relativeError := math.Abs(got-want) / want; relativeError > worst {
			worst = relativeError
			where = fmt.Sprintf("endpoint %d zone %d: flushed %.2f, true %.2f per second",
				key.endpoint, key.zone, got, want)
		}
	}
	return worst, where
}
