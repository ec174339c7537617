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

// Span names: a decision and its child spans.
const (
	spanDecision = "decision"
	spanGather   = "gather"  // load reports arrive at the pilot
	spanChannel  = "channel" // a message waits in the pilot's channel
	spanNetwork  = "way"     // the message is transmitted to the proxy
	spanApply    = "apply"   // the proxy applies the message
)

// spanEnd records a child span with the given name that started at from, in ms, and ends now. A nil spanEnd records
// nothing.
type spanEnd func(name string, from float64)

// end calls e unless it is nil.
func (e spanEnd) end(name string, from float64) {
	if e != nil {
		e(name, from)
	}
}

// Tracer writes the decisions of a run as OpenTelemetry spans in virtual time. A decision begins with the first load
// report that contributed to it and ends when the last proxy has applied it. Its child spans are the collection of
// load reports and, for each message, the wait in the channel, the transmission and the application.
type Tracer struct {
	provider      *trace.TracerProvider
	tracer        api.Tracer
	openDecisions map[*pilotProcess]*decision // latest decision of each process; ends with the next
}

// decision is the span of a pilot's turn that sent messages.
type decision struct {
	ctx       context.Context // parent context of the child spans
	span      api.Span
	decidedAt float64 // ms
	endedAt   float64 // ms; end of its last child span so far
}

// NewTracer returns a tracer that writes each span to out as a JSON object.
func NewTracer(out io.Writer) (*Tracer, error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, fmt.Errorf("create span exporter: %w", err)
	}
	provider := trace.NewTracerProvider(trace.WithBatcher(exporter))
	return &Tracer{
		provider:      provider,
		tracer:        provider.Tracer("indigousher/emulator"),
		openDecisions: map[*pilotProcess]*decision{},
	}, nil
}

// Close ends the open decision spans and writes all spans that have not been written yet.
func (t *Tracer) Close(ctx context.Context) error {
	for process := range t.openDecisions {
		t.endDecision(process)
	}
	if err := t.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("flush spans: %w", err)
	}
	return nil
}

// wallTime converts a time of the run in ms to wall-clock time, which starts at epochMs.
func wallTime(atMs float64) time.Time {
	return time.UnixMilli(epochMs).Add(time.Duration(atMs * float64(time.Millisecond)))
}

// spanTimestamp returns the option that sets a span's start or end to a time of the run in ms.
func spanTimestamp(atMs float64) api.SpanEventOption { return api.WithTimestamp(wallTime(atMs)) }

// recordMessage records that a message has left the channel of a pilot process. It returns the decision that the
// message belongs to, which was made at decidedAt in ms, and opens its span on the first message.
func (t *Tracer) recordMessage(process *pilotProcess, proxy string, decidedAt float64, lines int) *decision {
	d := t.openDecisions[process]
	if d == nil || d.decidedAt != decidedAt {
		t.endDecision(process)
		d = t.beginDecision(process, decidedAt)
	}
	t.recordChildSpan(d, spanChannel, proxy, decidedAt, process.pilot.w.now, lines)
	return d
}

// beginDecision opens the span of a decision. Its first child span is the collection of the load reports since the
// previous decision.
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

// endDecision closes the span of a process's latest decision, if one is open.
func (t *Tracer) endDecision(process *pilotProcess) {
	if d := t.openDecisions[process]; d != nil {
		d.span.End(spanTimestamp(d.endedAt))
		delete(t.openDecisions, process)
	}
}

// recordChildSpan writes a child span of a decision for one message to a proxy. Times are in ms.
func (t *Tracer) recordChildSpan(d *decision, name, proxy string, from, to float64, lines int) {
	_, span := t.tracer.Start(d.ctx, name, spanTimestamp(from), api.WithAttributes(
		attribute.String("proxy", proxy),
		attribute.Int("lines", lines)))
	span.End(spanTimestamp(to))
	d.endedAt = max(d.endedAt, to)
}
