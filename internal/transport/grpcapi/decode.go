package grpcapi

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

// checkTextLength returns an error that wraps wire.ErrValue if a string is longer than wire.MaxText bytes, the limit of
// the framed protocol.
func checkTextLength(s string) error {
	if len(s) > wire.MaxText {
		return fmt.Errorf("text of %d bytes: %w", len(s), wire.ErrValue)
	}
	return nil
}

// checkNumber returns an error that wraps wire.ErrValue unless a number is finite and not negative.
func checkNumber(v float64) error {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return fmt.Errorf("figure %v: %w", v, wire.ErrValue)
	}
	return nil
}

// decodeHello converts and validates a Hello message. The error wraps wire.ErrValue.
func decodeHello(h *pb.Hello) (*wire.Hello, error) {
	hello := &wire.Hello{
		Version: int(h.GetVersion()),
		Proxy:   h.GetProxy(),
		Zone:    h.GetZone(),
		Boot:    h.GetBoot(),
		Rate:    h.GetReqsPerSecond(),
		Fresh:   h.GetFresh(),
		Holds:   h.GetHolds(),
	}
	if err := cmp.Or(checkTextLength(hello.Proxy), checkTextLength(hello.Zone), checkNumber(hello.Rate)); err != nil {
		return nil, err
	}
	for _, t := range h.GetTables() {
		table, err := decodeHeldTable(t)
		if err != nil {
			return nil, err
		}
		hello.Tables = append(hello.Tables, table)
	}
	for _, endpoint := range hello.Holds {
		if err := checkTextLength(endpoint); err != nil {
			return nil, err
		}
	}
	if hello.Proxy == "" || hello.Zone == "" || len(hello.Holds) > wire.MaxItems {
		return nil, fmt.Errorf("hello without a name or with too much: %w", wire.ErrValue)
	}
	return hello, nil
}

// decodeHeldTable converts and validates a routing table that a proxy already has. The error wraps wire.ErrValue.
func decodeHeldTable(t *pb.HeldTable) (wire.HeldTable, error) {
	table := wire.HeldTable{Table: int(t.GetTable())}
	for _, l := range t.GetLines() {
		line := wire.HeldLine{Endpoint: l.GetEndpoint(), Weight: l.GetWeight()}
		if err := cmp.Or(checkTextLength(line.Endpoint), checkNumber(line.Weight)); err != nil {
			return wire.HeldTable{}, err
		}
		table.Lines = append(table.Lines, line)
	}
	return table, nil
}

// decodeReport converts and validates a load report. The error wraps wire.ErrValue.
func decodeReport(r *pb.Report) (*wire.LoadReport, error) {
	report := &wire.LoadReport{Seq: r.GetNumber(), AtMs: r.GetAtMs(), SpanMs: r.GetSpanMs()}
	if len(r.GetEndpoints()) > wire.MaxItems || len(r.GetKinds()) > wire.MaxItems {
		return nil, fmt.Errorf("report of %d lines: %w", len(r.GetEndpoints()), wire.ErrValue)
	}
	if err := cmp.Or(checkNumber(report.AtMs), checkNumber(report.SpanMs)); err != nil {
		return nil, err
	}
	for _, e := range r.GetEndpoints() {
		stats, err := decodeEndpointLoad(e)
		if err != nil {
			return nil, err
		}
		report.EndpointStats = append(report.EndpointStats, stats)
	}
	for _, k := range r.GetKinds() {
		stats := wire.RequestStats{Class: k.GetKind(), Requests: int(k.GetReqs()), Unanswered: int(k.GetUnanswered())}
		if err := checkTextLength(stats.Class); err != nil {
			return nil, err
		}
		report.RequestStats = append(report.RequestStats, stats)
	}
	for _, l := range r.GetSlices() {
		stats, err := decodeSliceLoad(l)
		if err != nil {
			return nil, err
		}
		report.SliceStats = append(report.SliceStats, stats)
	}
	return report, nil
}

// decodeEndpointLoad converts and validates the statistics of one endpoint. Load metrics are sorted by name, because
// the iteration order of a map is random. The error wraps wire.ErrValue.
func decodeEndpointLoad(e *pb.EndpointLoad) (wire.EndpointStats, error) {
	stats := wire.EndpointStats{
		Endpoint: e.GetEndpoint(),
		Attempts: int(e.GetTries()),
		Failed:   int(e.GetFailed()),
		MeanMs:   e.GetMeanMs(),
	}
	if err := cmp.Or(checkTextLength(stats.Endpoint), checkNumber(stats.MeanMs)); err != nil {
		return wire.EndpointStats{}, err
	}
	if stats.Failed > stats.Attempts {
		return wire.EndpointStats{}, fmt.Errorf("%d failed of %d: %w", stats.Failed, stats.Attempts, wire.ErrValue)
	}
	for name, value := range e.GetFigures() {
		if err := cmp.Or(checkTextLength(name), checkNumber(value)); err != nil {
			return wire.EndpointStats{}, err
		}
		stats.Load = append(stats.Load, wire.LoadMetric{Name: name, Value: value})
	}
	slices.SortFunc(stats.Load, func(a, b wire.LoadMetric) int { return cmp.Compare(a.Name, b.Name) })
	return stats, nil
}

// decodeSliceLoad converts and validates the statistics of one slice. The error wraps wire.ErrValue.
func decodeSliceLoad(l *pb.SliceLoad) (wire.SliceStats, error) {
	stats := wire.SliceStats{
		Slice:      int(l.GetSlice()),
		Class:      l.GetKind(),
		Requests:   int(l.GetReqs()),
		Unanswered: int(l.GetUnanswered()),
	}
	return stats, checkTextLength(stats.Class)
}

// DecodeAssignment converts an assignment that a proxy has received to commands. Unknown steps are ignored, for
// compatibility with later versions. Ack requests follow all other operations.
func DecodeAssignment(a *pb.Assignment) *wire.Commands {
	commands := &wire.Commands{AtMs: a.GetOrderedMs(), AgeMs: a.GetWaitedMs(), CostLines: int(a.GetLines())}
	for _, s := range a.GetSteps() {
		if op, known := decodeStep(s); known {
			commands.Ops = append(commands.Ops, op)
		}
	}
	for _, number := range a.GetMarks() {
		commands.Ops = append(commands.Ops, wire.Op{Kind: wire.OpAckRequest, AckNumber: int(number)})
	}
	return commands
}

// decodeStep converts one step of an assignment to an operation. known is false if the type of the step is unknown.
func decodeStep(s *pb.Step) (op wire.Op, known bool) {
	switch content := s.GetDoes().(type) {
	case *pb.Step_Bind:
		b := content.Bind
		return wire.Op{Kind: wire.OpAssignTable, Table: int(b.GetTable()), Classes: int(b.GetKinds()), KeepLines: b.GetKeep()}, true
	case *pb.Step_Line:
		l := content.Line
		return wire.Op{Kind: wire.OpSetWeight, Table: int(l.GetTable()), Endpoint: l.GetEndpoint(), Weight: l.GetWeight()}, true
	case *pb.Step_Clear:
		return wire.Op{Kind: wire.OpClearTable, Table: int(content.Clear.GetTable())}, true
	case *pb.Step_Withdraw:
		w := content.Withdraw
		return wire.Op{Kind: wire.OpSetExcluded, Endpoint: w.GetEndpoint(), Remove: w.GetOut()}, true
	case *pb.Step_Level:
		return decodeLevel(content.Level), true
	case *pb.Step_Range:
		return decodeRange(content.Range), true
	}
	return wire.Op{}, false
}

// decodeLevel converts a Level step to an OpSetAdmission.
func decodeLevel(l *pb.Level) wire.Op {
	return wire.Op{
		Kind:      wire.OpSetAdmission,
		Table:     int(l.GetTable()),
		Classes:   int(l.GetKinds()),
		Weight:    l.GetShare(),
		RetryMode: int(l.GetAgain()),
	}
}

// decodeRange converts a KeyRange step to an OpAssignRange.
func decodeRange(r *pb.KeyRange) wire.Op {
	return wire.Op{
		Kind:   wire.OpAssignRange,
		Table:  int(r.GetTable()),
		From:   string(r.GetFrom()),
		To:     string(r.GetTo()),
		Remove: r.GetGone(),
	}
}
