package grpcedge

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

// limits of what a message may hold, those of the framed wire.
func checkText(s string) error {
	if len(s) > wire.MaxText {
		return fmt.Errorf("text of %d bytes: %w", len(s), wire.ErrValue)
	}
	return nil
}

func checkFigure(v float64) error {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return fmt.Errorf("figure %v: %w", v, wire.ErrValue)
	}
	return nil
}

// HelloFrom reads a hello.
func HelloFrom(h *pb.Hello) (*wire.Hello, error) {
	out := &wire.Hello{Version: int(h.GetVersion()), Proxy: h.GetProxy(), Zone: h.GetZone(), Boot: h.GetBoot(),
		Rate: h.GetReqsPerSecond(), Fresh: h.GetFresh(), Holds: h.GetHolds()}
	err := cmp.Or(checkText(out.Proxy), checkText(out.Zone), checkFigure(out.Rate))
	for _, t := range h.GetTables() {
		held := wire.HeldTable{Table: int(t.GetTable())}
		for _, l := range t.GetLines() {
			err = cmp.Or(err, checkText(l.GetEndpoint()), checkFigure(l.GetWeight()))
			held.Lines = append(held.Lines, wire.HeldLine{Endpoint: l.GetEndpoint(), Weight: l.GetWeight()})
		}
		out.Tables = append(out.Tables, held)
	}
	for _, e := range out.Holds {
		err = cmp.Or(err, checkText(e))
	}
	if err == nil && (out.Proxy == "" || out.Zone == "" || len(out.Holds) > wire.MaxItems) {
		err = fmt.Errorf("hello without a name or with too much: %w", wire.ErrValue)
	}
	return out, err
}

// ReportFrom reads a report.
func ReportFrom(r *pb.Report) (*wire.Sums, error) {
	out := &wire.Sums{Seq: r.GetNumber(), AtMs: r.GetAtMs(), SpanMs: r.GetSpanMs()}
	err := cmp.Or(checkFigure(out.AtMs), checkFigure(out.SpanMs))
	if len(r.GetEndpoints()) > wire.MaxItems || len(r.GetKinds()) > wire.MaxItems {
		err = fmt.Errorf("report of %d lines: %w", len(r.GetEndpoints()), wire.ErrValue)
	}
	for _, e := range r.GetEndpoints() {
		m := wire.Met{Endpoint: e.GetEndpoint(), Tries: int(e.GetTries()), Failed: int(e.GetFailed()), MeanMs: e.GetMeanMs()}
		err = cmp.Or(err, checkText(m.Endpoint), checkFigure(m.MeanMs))
		if m.Failed > m.Tries {
			err = cmp.Or(err, fmt.Errorf("%d failed of %d: %w", m.Failed, m.Tries, wire.ErrValue))
		}
		for name, v := range e.GetFigures() {
			err = cmp.Or(err, checkText(name), checkFigure(v))
			m.Load = append(m.Load, wire.Figure{Name: name, Value: v})
		}
		slices.SortFunc(m.Load, func(a, b wire.Figure) int { return cmp.Compare(a.Name, b.Name) })
		out.Met = append(out.Met, m)
	}
	for _, k := range r.GetKinds() {
		err = cmp.Or(err, checkText(k.GetKind()))
		out.Demand = append(out.Demand, wire.Demand{Kind: k.GetKind(), Reqs: int(k.GetReqs()), Unanswered: int(k.GetUnanswered())})
	}
	for _, x := range r.GetSlices() {
		err = cmp.Or(err, checkText(x.GetKind()))
		out.Slices = append(out.Slices, wire.SliceLoad{Slice: int(x.GetSlice()), Kind: x.GetKind(), Reqs: int(x.GetReqs()),
			Unanswered: int(x.GetUnanswered())})
	}
	return out, err
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
