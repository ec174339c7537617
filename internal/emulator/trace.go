package emulator

import (
	"context"
	"fmt"
	"io"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"
)

// Tracer follows decisions in virtual time, as OpenTelemetry spans: a decision begins with the first report that went into
// it and ends when the last proxy has applied it; under it lie the gathering of reports, and for each message its wait in
// the channel, its way and its application.
type Tracer struct {
	provider      *trace.TracerProvider
	tracer        api.Tracer
	openDecisions map[*pilotProcess]*decision
}

// decision is one turn that ordered something.
type decision struct {
	ctx       context.Context
	span      api.Span
	decidedAt float64
	endedAt   float64 // end of its last part so far
}

// NewTracer writes spans to out, one JSON object each.
func NewTracer(out io.Writer) (*Tracer, error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	p := trace.NewTracerProvider(trace.WithBatcher(exporter))
	return &Tracer{provider: p, tracer: p.Tracer("indigousher/emulator"), openDecisions: map[*pilotProcess]*decision{}}, nil
}

// Close ends what is open and writes all.
func (t *Tracer) Close(ctx context.Context) error {
	for r := range t.openDecisions {
		t.end(r)
	}
	if err := t.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}

// wallTime is a time of the emulator's as a wall clock would show it.
func wallTime(ms float64) time.Time {
	return time.UnixMilli(epochMs).Add(time.Duration(ms * float64(time.Millisecond)))
}

func (t *Tracer) end(r *pilotProcess) {
	if d := t.openDecisions[r]; d != nil {
		d.span.End(api.WithTimestamp(wallTime(d.endedAt)))
		delete(t.openDecisions, r)
	}
}

// recordMessage notes a message that left a pilot's channel; ordered is when it was.
func (t *Tracer) recordMessage(r *pilotProcess, proxy string, ordered float64, lines int) *decision {
	d := t.openDecisions[r]
	if d == nil || d.decidedAt != ordered {
		t.end(r)
		from := ordered
		if r.pendingReports > 0 {
			from = min(ordered, r.firstReport)
		}
		ctx, span := t.tracer.Start(context.Background(), "decision", api.WithTimestamp(wallTime(from)),
			api.WithAttributes(attribute.String("pilot", r.pilot.place.name), attribute.Int("reports", r.pendingReports)))
		_, gather := t.tracer.Start(ctx, "gather", api.WithTimestamp(wallTime(from)))
		gather.End(api.WithTimestamp(wallTime(ordered)))
		r.pendingReports = 0
		d = &decision{ctx, span, ordered, ordered}
		t.openDecisions[r] = d
	}
	t.recordPart(d, "channel", proxy, ordered, r.pilot.w.now, lines)
	return d
}

// recordPart notes a part of a decision.
func (t *Tracer) recordPart(d *decision, name, proxy string, from, to float64, lines int) {
	_, span := t.tracer.Start(d.ctx, name, api.WithTimestamp(wallTime(from)),
		api.WithAttributes(attribute.String("proxy", proxy), attribute.Int("lines", lines)))
	span.End(api.WithTimestamp(wallTime(to)))
	d.endedAt = max(d.endedAt, to)
}
