package platform

import (
	"slices"

	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/internal/platform/discovery"
	"indigousher/internal/platform/listener"
	"indigousher/internal/platform/relay"
)

// report logs the controller's statistics together with the counters of the relay, listener and discovery connections.
// A difference between the two shows that data was lost between a connection and the controller.
func (p *Pilot) report() {
	p.log.Info("pilot statistics", slices.Concat(
		controllerFields(p.loop.State()),
		relayFields(&p.relayCounters),
		listenerFields(&p.listener.Counters),
		discoveryFields(&p.discovery.Counters),
	)...)
}

func controllerFields(s controller.State) []zap.Field {
	reports := s.ReportStats
	return []zap.Field{
		zap.Int("proxies", s.Proxies),
		zap.Int("endpoints", s.Endpoints),
		zap.Int("listed", reports.Listed),
		zap.Int("reports_accepted", reports.Reports),
		zap.Int("malformed", reports.Malformed),
		zap.Float64("report_span_ms", reports.SpanMs/float64(max(1, reports.Reports))),
	}
}

func relayFields(c *relay.Counters) []zap.Field {
	return []zap.Field{
		zap.Int64("commands", c.Enqueued.Load()),
		zap.Int64("executed", c.Executed.Load()),
		zap.Int64("superseded", c.Superseded.Load()),
		zap.Int64("dropped", c.Dropped.Load()),
		zap.Int64("outcome_unknown", c.OutcomeUnknown.Load()),
		zap.Int64("calls", c.Calls.Load()),
		zap.Int64("calls_failed", c.FailedCalls.Load()),
		zap.Int64("probes", c.Probes.Load()),
		zap.Int64("events", c.Events.Load()),
		zap.Int64("gaps", c.Gaps.Load()),
		zap.Int64("late_gaps", c.LateGaps.Load()),
	}
}

func listenerFields(c *listener.Counters) []zap.Field {
	return []zap.Field{
		zap.Int64("reports", c.Reports.Load()),
		zap.Int64("malformed_lines", c.Malformed.Load()),
		zap.Int64("accepted", c.Accepted.Load()),
		zap.Int64("connections_rejected", c.Rejected.Load()),
		zap.Int64("connections_silent", c.Silent.Load()),
		zap.Int64("connections_evicted", c.Evicted.Load()),
	}
}

func discoveryFields(c *discovery.Counters) []zap.Field {
	return []zap.Field{
		zap.Int64("list_calls", c.Calls.Load()),
		zap.Int64("list_calls_failed", c.Failed.Load()),
		zap.Int64("lists", c.Lists.Load()),
		zap.Int64("list_entries_malformed", c.Malformed.Load()),
	}
}
