package platform

import "go.uber.org/zap"

// report prints what is believed beside what crossed the sockets.
func (x *Pilot) report() {
	d, c, a := &x.listener.Counters, &x.counters, &x.agent.Counters
	s := x.loop.State()
	x.log.Info("counted", zap.Int("proxies", s.Proxies), zap.Int("endpoints", s.Endpoints),
		zap.Int("listed", s.Believed.Listed), zap.Int("reports taken", s.Believed.Reports), zap.Int("odd", s.Believed.Odd),
		zap.Float64("report covers ms", s.Believed.SpanMs/float64(max(1, s.Believed.Reports))),
		zap.Int64("orders", c.Enqueued.Load()), zap.Int64("taken", c.Executed.Load()), zap.Int64("outdated", c.Superseded.Load()),
		zap.Int64("dropped", c.Dropped.Load()), zap.Int64("uncertain", c.OutcomeUnknown.Load()),
		zap.Int64("calls", c.Calls.Load()), zap.Int64("failed", c.FailedCalls.Load()), zap.Int64("probes", c.Probes.Load()),
		zap.Int64("events", c.Events.Load()), zap.Int64("gaps", c.Gaps.Load()),
		zap.Int64("reports", d.Reports.Load()), zap.Int64("spoilt", d.Spoilt.Load()),
		zap.Int64("accepted", d.Accepted.Load()), zap.Int64("refused", d.Rejected.Load()),
		zap.Int64("silent", d.Silent.Load()), zap.Int64("evicted", d.Evicted.Load()),
		zap.Int64("list calls", a.Calls.Load()), zap.Int64("failed calls", a.Failed.Load()), zap.Int64("lists", a.Lists.Load()),
		zap.Int64("odd entries", a.Odd.Load()))
}
