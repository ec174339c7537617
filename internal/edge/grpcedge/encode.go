package grpcedge

import (
	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

// Hello lays out a hello.
func Hello(h *wire.Hello) *pb.Hello {
	out := &pb.Hello{Version: uint32(h.Version), Proxy: h.Proxy, Zone: h.Zone, Boot: h.Boot, ReqsPerSecond: h.Rate,
		Fresh: h.Fresh, Holds: h.Holds}
	for _, t := range h.Tables {
		held := &pb.HeldTable{Table: uint32(t.Table)}
		for _, l := range t.Lines {
			held.Lines = append(held.Lines, &pb.Line{Table: uint32(t.Table), Endpoint: l.Endpoint, Weight: l.Weight})
		}
		out.Tables = append(out.Tables, held)
	}
	return out
}

// steps lays out ops; marks go apart.
func steps(ops []wire.Op) (list []*pb.Step, marks []uint32) {
	for _, o := range ops {
		if o.Kind == wire.OpMark {
			marks = append(marks, uint32(o.Number))
		} else {
			list = append(list, step(o))
		}
	}
	return list, marks
}

// Report lays out a report.
func Report(s *wire.Sums) *pb.Report {
	out := &pb.Report{Number: s.Seq, AtMs: s.AtMs, SpanMs: s.SpanMs}
	for _, m := range s.Met {
		e := &pb.EndpointLoad{Endpoint: m.Endpoint, Tries: uint32(m.Tries), Failed: uint32(m.Failed), MeanMs: m.MeanMs}
		if len(m.Load) > 0 {
			e.Figures = map[string]float64{}
		}
		for _, f := range m.Load {
			e.Figures[f.Name] = f.Value
		}
		out.Endpoints = append(out.Endpoints, e)
	}
	for _, d := range s.Demand {
		out.Kinds = append(out.Kinds, &pb.KindLoad{Kind: d.Kind, Reqs: uint32(d.Reqs), Unanswered: uint32(d.Unanswered)})
	}
	for _, x := range s.Slices {
		out.Slices = append(out.Slices, &pb.SliceLoad{Slice: uint32(x.Slice), Kind: x.Kind, Reqs: uint32(x.Reqs),
			Unanswered: uint32(x.Unanswered)})
	}
	return out
}

// step lays out one op; marks go elsewhere.
func step(o wire.Op) *pb.Step {
	switch o.Kind {
	case wire.OpBind:
		return &pb.Step{Does: &pb.Step_Bind{Bind: &pb.Bind{Table: uint32(o.Table), Kinds: uint32(o.Kinds), Keep: o.Keep}}}
	case wire.OpSet:
		return &pb.Step{Does: &pb.Step_Line{Line: &pb.Line{Table: uint32(o.Table), Endpoint: o.Endpoint, Weight: o.Weight}}}
	case wire.OpClear:
		return &pb.Step{Does: &pb.Step_Clear{Clear: &pb.Clear{Table: uint32(o.Table)}}}
	case wire.OpWithdraw:
		return &pb.Step{Does: &pb.Step_Withdraw{Withdraw: &pb.Withdraw{Endpoint: o.Endpoint, Out: o.Out}}}
	case wire.OpAdmit:
		return &pb.Step{Does: &pb.Step_Level{Level: &pb.Level{Table: uint32(o.Table), Kinds: uint32(o.Kinds), Share: o.Weight,
			Again: uint32(o.Again)}}}
	case wire.OpRange:
		return &pb.Step{Does: &pb.Step_Range{Range: &pb.KeyRange{Table: uint32(o.Table), From: []byte(o.From), To: []byte(o.To),
			Gone: o.Out}}}
	}
	return nil
}
