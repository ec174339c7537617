package record

import (
	"fmt"
	"hash/crc64"
	"io"

	"indigousher/planner"
)

var table = crc64.MakeTable(crc64.ECMA)

// The text of each command as format 2 sums it up: the type and field names that the commands had when the format was
// fixed, in the field order of that time. They are part of the stored format. A record holds the digests of its turns,
// and Fingerprint, made of such digests, tells whether a record was written by a decider that decides the same; so the
// texts stay when a Go type or field is renamed. Floats are written in their shortest form that reads back equal.
const (
	digestSetLine    = "brain.SetLine{Table:%v Endpoint:%v Weight:%v}\n"
	digestClearTable = "brain.ClearTable{Table:%v}\n"
	digestBind       = "brain.Bind{Table:%v Proxy:%v Kinds:%v}\n"
	digestWithdraw   = "brain.Withdraw{Endpoint:%v Out:%v}\n"
	digestAdmit      = "brain.Admit{Table:%v Kinds:%v Again:%v Level:%v}\n"
	digestMark       = "brain.Mark{Number:%v All:%v}\n"
	digestProbe      = "brain.Probe{Endpoint:%v}\n"
	digestTell       = "brain.Tell{Peer:%v Text:%v}\n"
	digestWakeAt     = "brain.WakeAt{AtMs:%v Name:%v}\n"
	digestWatch      = "brain.Watch{On:%v}\n"
	digestFetchList  = "brain.FetchList{}\n"
	digestLog        = "brain.Log{Text:%v}\n"
)

// Digest sums up the commands of a turn, in their order. Turn.Digest holds it in a record.
func Digest(orders []planner.Command) uint64 {
	h := crc64.New(table)
	for _, o := range orders {
		writeDigest(h, o)
	}
	return h.Sum64()
}

// writeDigest writes the text of one command. Writes to a hash don't fail.
func writeDigest(h io.Writer, order planner.Command) {
	switch o := order.(type) {
	case planner.SetWeight:
		fmt.Fprintf(h, digestSetLine, o.Table, o.Endpoint, o.Weight)
	case planner.ClearTable:
		fmt.Fprintf(h, digestClearTable, o.Table)
	case planner.AssignTable:
		fmt.Fprintf(h, digestBind, o.Table, o.Proxy, o.Classes)
	case planner.SetExcluded:
		fmt.Fprintf(h, digestWithdraw, o.Endpoint, o.Excluded)
	case planner.SetAdmission:
		fmt.Fprintf(h, digestAdmit, o.Table, o.Classes, o.RetryMode, o.Level)
	case planner.AckRequest:
		fmt.Fprintf(h, digestMark, o.Number, o.All)
	case planner.HealthCheck:
		fmt.Fprintf(h, digestProbe, o.Endpoint)
	case planner.SendGossip:
		fmt.Fprintf(h, digestTell, o.Peer, o.Text)
	case planner.SetTimer:
		fmt.Fprintf(h, digestWakeAt, o.AtMs, o.Name)
	case planner.WatchEndpoints:
		fmt.Fprintf(h, digestWatch, o.On)
	case planner.FetchEndpoints:
		fmt.Fprint(h, digestFetchList)
	case planner.Log:
		fmt.Fprintf(h, digestLog, o.Text)
	default:
		fmt.Fprintf(h, "%T%+v\n", order, order)
	}
}
