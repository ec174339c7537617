// Package grpcapi is the edge where proxies follow over gRPC (proto/indigousher/v1). It keeps streams within their
// limits, versions what it sends, and lets a proxy that returns go on from what it holds. It decides nothing about
// routing; the runtime knows neither transport.
package grpcapi

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

// limits of what a message may hold, those of the framed wire.
func text(s string) error {
	if len(s) > wire.MaxText {
		return fmt.Errorf("text of %d bytes: %w", len(s), wire.ErrValue)
	}
	return nil
}

func figure(v float64) error {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return fmt.Errorf("figure %v: %w", v, wire.ErrValue)
	}
	return nil
}

// HelloFrom reads a hello.
func HelloFrom(h *pb.Hello) (*wire.Hello, error) {
	out := &wire.Hello{Version: int(h.GetVersion()), Proxy: h.GetProxy(), Zone: h.GetZone(), Boot: h.GetBoot(),
		Rate: h.GetReqsPerSecond(), Fresh: h.GetFresh(), Holds: h.GetHolds()}
	err := cmp.Or(text(out.Proxy), text(out.Zone), figure(out.Rate))
	for _, t := range h.GetTables() {
		held := wire.HeldTable{Table: int(t.GetTable())}
		for _, l := range t.GetLines() {
			err = cmp.Or(err, text(l.GetEndpoint()), figure(l.GetWeight()))
			held.Lines = append(held.Lines, wire.HeldLine{Endpoint: l.GetEndpoint(), Weight: l.GetWeight()})
		}
		out.Tables = append(out.Tables, held)
	}
	for _, e := range out.Holds {
		err = cmp.Or(err, text(e))
	}
	if err == nil && (out.Proxy == "" || out.Zone == "" || len(out.Holds) > wire.MaxItems) {
		err = fmt.Errorf("hello without a name or with too much: %w", wire.ErrValue)
	}
	return out, err
}

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

// ReportFrom reads a report.
func ReportFrom(r *pb.Report) (*wire.Sums, error) {
	out := &wire.Sums{Seq: r.GetNumber(), AtMs: r.GetAtMs(), SpanMs: r.GetSpanMs()}
	err := cmp.Or(figure(out.AtMs), figure(out.SpanMs))
	if len(r.GetEndpoints()) > wire.MaxItems || len(r.GetKinds()) > wire.MaxItems {
		err = fmt.Errorf("report of %d lines: %w", len(r.GetEndpoints()), wire.ErrValue)
	}
	for _, e := range r.GetEndpoints() {
		m := wire.Met{Endpoint: e.GetEndpoint(), Tries: int(e.GetTries()), Failed: int(e.GetFailed()), MeanMs: e.GetMeanMs()}
		err = cmp.Or(err, text(m.Endpoint), figure(m.MeanMs))
		if m.Failed > m.Tries {
			err = cmp.Or(err, fmt.Errorf("%d failed of %d: %w", m.Failed, m.Tries, wire.ErrValue))
		}
		for name, v := range e.GetFigures() {
			err = cmp.Or(err, text(name), figure(v))
			m.Load = append(m.Load, wire.Figure{Name: name, Value: v})
		}
		slices.SortFunc(m.Load, func(a, b wire.Figure) int { return cmp.Compare(a.Name, b.Name) })
		out.Met = append(out.Met, m)
	}
	for _, k := range r.GetKinds() {
		err = cmp.Or(err, text(k.GetKind()))
		out.Demand = append(out.Demand, wire.Demand{Kind: k.GetKind(), Reqs: int(k.GetReqs()), Unanswered: int(k.GetUnanswered())})
	}
	for _, x := range r.GetSlices() {
		err = cmp.Or(err, text(x.GetKind()))
		out.Slices = append(out.Slices, wire.SliceLoad{Slice: int(x.GetSlice()), Kind: x.GetKind(), Reqs: int(x.GetReqs()),
			Unanswered: int(x.GetUnanswered())})
	}
	return out, err
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

// OrdersFrom reads an assignment as a proxy does.
func OrdersFrom(a *pb.Assignment) *wire.Orders {
	out := &wire.Orders{AtMs: a.GetOrderedMs(), AgeMs: a.GetWaitedMs(), Lines: int(a.GetLines())}
	for _, s := range a.GetSteps() {
		switch d := s.GetDoes().(type) {
		case *pb.Step_Bind:
			out.Ops = append(out.Ops, wire.Op{Kind: wire.OpBind, Table: int(d.Bind.GetTable()), Kinds: int(d.Bind.GetKinds()),
				Keep: d.Bind.GetKeep()})
		case *pb.Step_Line:
			out.Ops = append(out.Ops, wire.Op{Kind: wire.OpSet, Table: int(d.Line.GetTable()), Endpoint: d.Line.GetEndpoint(),
				Weight: d.Line.GetWeight()})
		case *pb.Step_Clear:
			out.Ops = append(out.Ops, wire.Op{Kind: wire.OpClear, Table: int(d.Clear.GetTable())})
		case *pb.Step_Withdraw:
			out.Ops = append(out.Ops, wire.Op{Kind: wire.OpWithdraw, Endpoint: d.Withdraw.GetEndpoint(), Out: d.Withdraw.GetOut()})
		case *pb.Step_Level:
			out.Ops = append(out.Ops, wire.Op{Kind: wire.OpAdmit, Table: int(d.Level.GetTable()), Kinds: int(d.Level.GetKinds()),
				Weight: d.Level.GetShare(), Again: int(d.Level.GetAgain())})
		case *pb.Step_Range:
			out.Ops = append(out.Ops, wire.Op{Kind: wire.OpRange, Table: int(d.Range.GetTable()), From: string(d.Range.GetFrom()),
				To: string(d.Range.GetTo()), Out: d.Range.GetGone()})
		}
	}
	for _, m := range a.GetMarks() {
		out.Ops = append(out.Ops, wire.Op{Kind: wire.OpMark, Number: int(m)})
	}
	return out
}
