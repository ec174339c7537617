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

// Names of the spans: a decision and its parts.
const (
	spanDecision = "decision"
	spanGather   = "gather"  // load reports come in
	spanChannel  = "channel" // a message waits in the pilot's channel
	spanNetwork  = "way"     // it is on its way to the proxy
	spanApply    = "apply"   // the proxy applies it
)

// spanEnd notes that a part of a message's way has ended now, and since when it lasted. Nil notes nothing.
type spanEnd func(name string, from float64)

func (e spanEnd) end(name string, from float64) {
	if e != nil {
		e(name, from)
	}
}

// Tracer writes the decisions of a run as OpenTelemetry spans in virtual time. A decision begins with the first load
// report that went into it and ends when the last proxy has applied it. Its child spans are the gathering of reports
// and, for each message, the wait in the channel, the way and the application.
type Tracer struct {
	provider      *trace.TracerProvider
	tracer        api.Tracer
	openDecisions map[*pilotProcess]*decision // the last of each process; it ends with the next
}

// decision is a turn of a pilot that sent messages.
type decision struct {
	ctx       context.Context // of its span, for the child spans
	span      api.Span
	decidedAt float64 // ms
	endedAt   float64 // ms; end of its last child span so far
}

// NewTracer returns a tracer that writes spans to out, one JSON object each.
func NewTracer(out io.Writer) (*Tracer, error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	provider := trace.NewTracerProvider(trace.WithBatcher(exporter))
	return &Tracer{
		provider:      provider,
		tracer:        provider.Tracer("indigousher/emulator"),
		openDecisions: map[*pilotProcess]*decision{},
	}, nil
}

// Close ends the decisions that are open and writes what is left.
func (t *Tracer) Close(ctx context.Context) error {
	for process := range t.openDecisions {
		t.endDecision(process)
	}
	if err := t.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}

// wallTime returns a time of the run, in ms, as a wall clock would show it.
func wallTime(atMs float64) time.Time {
	return time.UnixMilli(epochMs).Add(time.Duration(atMs * float64(time.Millisecond)))
}

func spanTimestamp(atMs float64) api.SpanEventOption { return api.WithTimestamp(wallTime(atMs)) }

// recordMessage notes that a message left the channel of a pilot's process, and returns the decision that it belongs
// to: that made at decidedAt.
func (t *Tracer) recordMessage(process *pilotProcess, proxy string, decidedAt float64, lines int) *decision {
	d := t.openDecisions[process]
	if d == nil || d.decidedAt != decidedAt {
		t.endDecision(process)
		d = t.beginDecision(process, decidedAt)
	}
	t.recordChildSpan(d, spanChannel, proxy, decidedAt, process.pilot.w.now, lines)
	return d
}

// beginDecision opens the span of a decision, with the gathering of the reports since the last one.
func (t *Tracer) beginDecision(process *pilotProcess, decidedAt float64) *decision {
	from := decidedAt
	if process.pendingReports > 0 {
		from = min(decidedAt, process.firstReport)
	}
	ctx, span := t.tracer.Start(context.Background(), spanDecision, spanTimestamp(from), api.WithAttributes(
		attribute.String("pilot", process.pilot.location.name),
		attribute.Int("reports", process.pendingReports)))
	_, gather := t.tracer.Start(ctx, spanGather, spanTimestamp(from))
	gather.End(spanTimestamp(decidedAt))
	process.pendingReports = 0
	d := &decision{ctx: ctx, span: span, decidedAt: decidedAt, endedAt: decidedAt}
	t.openDecisions[process] = d
	return d
}

// endDecision closes the span of a process's last decision.
func (t *Tracer) endDecision(process *pilotProcess) {
	if d := t.openDecisions[process]; d != nil {
		d.span.End(spanTimestamp(d.endedAt))
		delete(t.openDecisions, process)
	}
}

// recordPart writes a child span of a decision, for a message to a proxy.
func (t *Tracer) recordChildSpan(d *decision, name, proxy string, from, to float64, lines int) {
	_, span := t.tracer.Start(d.ctx, name, spanTimestamp(from), api.WithAttributes(
		attribute.String("proxy", proxy),
		attribute.Int("lines", lines)))
	span.End(spanTimestamp(to))
	d.endedAt = max(d.endedAt, to)
}
