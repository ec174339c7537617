package grpcapi

import (
	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

// EncodeHello converts a Hello message to its protobuf form.
func EncodeHello(h *wire.Hello) *pb.Hello {
	hello := &pb.Hello{
		Version:       uint32(h.Version),
		Proxy:         h.Proxy,
		Zone:          h.Zone,
		Boot:          h.Boot,
		ReqsPerSecond: h.Rate,
		Fresh:         h.Fresh,
		Holds:         h.Holds,
	}
	for _, t := range h.Tables {
		table := &pb.HeldTable{Table: uint32(t.Table)}
		for _, l := range t.Lines {
			table.Lines = append(table.Lines, &pb.Line{Table: uint32(t.Table), Endpoint: l.Endpoint, Weight: l.Weight})
		}
		hello.Tables = append(hello.Tables, table)
	}
	return hello
}

// EncodeReport converts a load report to its protobuf form.
func EncodeReport(s *wire.LoadReport) *pb.Report {
	report := &pb.Report{Number: s.Seq, AtMs: s.AtMs, SpanMs: s.SpanMs}
	for i := range s.EndpointStats {
		report.Endpoints = append(report.Endpoints, encodeEndpointLoad(&s.EndpointStats[i]))
	}
	for _, d := range s.RequestStats {
		load := &pb.KindLoad{Kind: d.Class, Reqs: uint32(d.Requests), Unanswered: uint32(d.Unanswered)}
		report.Kinds = append(report.Kinds, load)
	}
	for _, l := range s.SliceStats {
		load := &pb.SliceLoad{
			Slice:      uint32(l.Slice),
			Kind:       l.Class,
			Reqs:       uint32(l.Requests),
			Unanswered: uint32(l.Unanswered),
		}
		report.Slices = append(report.Slices, load)
	}
	return report
}

// encodeEndpointLoad converts the statistics of one endpoint.
func encodeEndpointLoad(m *wire.EndpointStats) *pb.EndpointLoad {
	load := &pb.EndpointLoad{
		Endpoint: m.Endpoint,
		Tries:    uint32(m.Attempts),
		Failed:   uint32(m.Failed),
		MeanMs:   m.MeanMs,
	}
	if len(m.Load) > 0 {
		load.Figures = make(map[string]float64, len(m.Load))
	}
	for _, f := range m.Load {
		load.Figures[f.Name] = f.Value
	}
	return load
}

// encodeOps converts operations to the steps of an assignment. The numbers of ack requests are returned separately.
func encodeOps(ops []wire.Op) (steps []*pb.Step, ackNumbers []uint32) {
	for i := range ops {
		if ops[i].Kind == wire.OpAckRequest {
			ackNumbers = append(ackNumbers, uint32(ops[i].AckNumber))
			continue
		}
		steps = append(steps, encodeOp(&ops[i]))
	}
	return steps, ackNumbers
}

// encodeOp converts an operation other than an OpAckRequest to a step. It returns nil if the kind is unknown.
func encodeOp(op *wire.Op) *pb.Step {
	switch op.Kind {
	case wire.OpAssignTable:
		return encodeAssignTable(op)
	case wire.OpSetWeight:
		return encodeSetWeight(op)
	case wire.OpClearTable:
		return &pb.Step{Does: &pb.Step_Clear{Clear: &pb.Clear{Table: uint32(op.Table)}}}
	case wire.OpSetExcluded:
		return &pb.Step{Does: &pb.Step_Withdraw{Withdraw: &pb.Withdraw{Endpoint: op.Endpoint, Out: op.Remove}}}
	case wire.OpSetAdmission:
		return encodeSetAdmission(op)
	case wire.OpAssignRange:
		return encodeAssignRange(op)
	}
	return nil
}

// encodeAssignTable converts an OpAssignTable to a Bind step.
func encodeAssignTable(op *wire.Op) *pb.Step {
	return &pb.Step{Does: &pb.Step_Bind{Bind: &pb.Bind{
		Table: uint32(op.Table),
		Kinds: uint32(op.Classes),
		Keep:  op.KeepLines,
	}}}
}

// encodeSetWeight converts an OpSetWeight to a Line step.
func encodeSetWeight(op *wire.Op) *pb.Step {
	return &pb.Step{Does: &pb.Step_Line{Line: &pb.Line{
		Table:    uint32(op.Table),
		Endpoint: op.Endpoint,
		Weight:   op.Weight,
	}}}
}

// encodeSetAdmission converts an OpSetAdmission to a Level step.
func encodeSetAdmission(op *wire.Op) *pb.Step {
	return &pb.Step{Does: &pb.Step_Level{Level: &pb.Level{
		Table: uint32(op.Table),
		Kinds: uint32(op.Classes),
		Share: op.Weight,
		Again: uint32(op.RetryMode),
	}}}
}

// encodeAssignRange converts an OpAssignRange to a KeyRange step.
func encodeAssignRange(op *wire.Op) *pb.Step {
	return &pb.Step{Does: &pb.Step_Range{Range: &pb.KeyRange{
		Table: uint32(op.Table),
		From:  []byte(op.From),
		To:    []byte(op.To),
		Gone:  op.Remove,
	}}}
}
