package record

import (
	"fmt"
	"hash/crc64"

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
	var text []byte
	for _, o := range orders {
		text = appendDigest(text[:0], o)
		h.Write(text)
	}
	return h.Sum64()
}

// appendDigest appends the text of one command.
func appendDigest(text []byte, order planner.Command) []byte {
	switch o := order.(type) {
	case planner.SetWeight:
		return fmt.Appendf(text, digestSetLine, o.Table, o.Endpoint, o.Weight)
	case planner.ClearTable:
		return fmt.Appendf(text, digestClearTable, o.Table)
	case planner.AssignTable:
		return fmt.Appendf(text, digestBind, o.Table, o.Proxy, o.Classes)
	case planner.SetExcluded:
		return fmt.Appendf(text, digestWithdraw, o.Endpoint, o.Excluded)
	case planner.SetAdmission:
		return fmt.Appendf(text, digestAdmit, o.Table, o.Classes, o.RetryMode, o.Level)
	case planner.AckRequest:
		return fmt.Appendf(text, digestMark, o.Number, o.All)
	case planner.HealthCheck:
		return fmt.Appendf(text, digestProbe, o.Endpoint)
	case planner.SendGossip:
		return fmt.Appendf(text, digestTell, o.Peer, o.Text)
	case planner.SetTimer:
		return fmt.Appendf(text, digestWakeAt, o.AtMs, o.Name)
	case planner.WatchEndpoints:
		return fmt.Appendf(text, digestWatch, o.On)
	case planner.FetchEndpoints:
		return fmt.Append(text, digestFetchList)
	case planner.Log:
		return fmt.Appendf(text, digestLog, o.Text)
	default:
		return fmt.Appendf(text, "%T%+v\n", order, order)
	}
}
