package record

import (
	"fmt"
	"hash/crc64"

	"indigousher/planner"
)

var crcTable = crc64.MakeTable(crc64.ECMA)

// The text of each command from which format 2 computes digests: the type and field names that the commands had when
// the format was fixed, in the field order of that time. The texts are part of the stored format and must not change
// when a Go type or field is renamed: a record holds the digests of its turns, and Fingerprint, which is computed from
// such digests, tells whether a record was written by a planner that makes the same decisions. Floats are written in
// the shortest form that parses to the same value.
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

// Digest returns a checksum of the commands of a turn, in their order. It is stored in Turn.Digest.
func Digest(commands []planner.Command) uint64 {
	h := crc64.New(crcTable)
	var text []byte
	for _, command := range commands {
		text = appendDigest(text[:0], command)
		h.Write(text)
	}
	return h.Sum64()
}

// appendDigest appends the text of one command to text.
func appendDigest(text []byte, command planner.Command) []byte {
	switch c := command.(type) {
	case planner.SetWeight:
		return fmt.Appendf(text, digestSetLine, c.Table, c.Endpoint, c.Weight)
	case planner.ClearTable:
		return fmt.Appendf(text, digestClearTable, c.Table)
	case planner.AssignTable:
		return fmt.Appendf(text, digestBind, c.Table, c.Proxy, c.Classes)
	case planner.SetExcluded:
		return fmt.Appendf(text, digestWithdraw, c.Endpoint, c.Excluded)
	case planner.SetAdmission:
		return fmt.Appendf(text, digestAdmit, c.Table, c.Classes, c.RetryMode, c.Level)
	case planner.AckRequest:
		return fmt.Appendf(text, digestMark, c.Number, c.All)
	case planner.HealthCheck:
		return fmt.Appendf(text, digestProbe, c.Endpoint)
	case planner.SendGossip:
		return fmt.Appendf(text, digestTell, c.Peer, c.Text)
	case planner.SetTimer:
		return fmt.Appendf(text, digestWakeAt, c.AtMs, c.Name)
	case planner.WatchEndpoints:
		return fmt.Appendf(text, digestWatch, c.On)
	case planner.FetchEndpoints:
		return fmt.Append(text, digestFetchList)
	case planner.Log:
		return fmt.Appendf(text, digestLog, c.Text)
	default:
		return fmt.Appendf(text, "%T%+v\n", command, command)
	}
}
