package wire

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sampleLoadReport is a load report with a value in every field.
var sampleLoadReport = &LoadReport{
	Seq:           3,
	AtMs:          5.5,
	SpanMs:        1000,
	EndpointStats: []EndpointStats{{"x:1", 9, 2, 4.5, []LoadMetric{{"util", 0.5}, {"rate", 3}}}},
	RequestStats:  []RequestStats{{"read", 5, 1}},
	SliceStats:    []SliceStats{{7, "read", 3, 1}},
}

// samples contains one message of each type, with a value in nearly every field.
var samples = []Message{
	&Hello{
		Version: 1, Proxy: "p", Zone: "a", Boot: 7, Rate: 2.5, Fresh: true, Holds: []string{"x:1", "y:2"},
		Tables: []HeldTable{{Table: 2, Lines: []HeldLine{{"x:1", 0.5}}}},
	},
	&Welcome{Version: 1, Pilot: "one", HeartbeatMs: 300, ReportPeriodMs: 1000},
	&Refuse{Reason: "no"},
	&Heartbeat{LastProcessed: 70000},
	&Redirect{Reason: "stops"},
	&Bye{},
	sampleLoadReport,
	&Done{Mark: 65534, TookMs: 0.25},
	&Commands{AtMs: 5, AgeMs: 1.5, CostLines: 9, Ops: []Op{
		{Kind: OpAssignTable, Table: 3, Classes: 5, KeepLines: true},
		{Kind: OpSetWeight, Table: 3, Endpoint: "x:1", Weight: 0.75},
		{Kind: OpClearTable, Table: 2},
		{Kind: OpSetExcluded, Endpoint: "y:2", Remove: true},
		{Kind: OpSetAdmission, Table: 65535, Classes: 2, Weight: 0.5, RetryMode: 3},
		{Kind: OpAckRequest, AckNumber: 12},
		{Kind: OpAssignRange, Table: 4, From: "a", To: "b", Remove: true},
	}},
	&ListRequest{Pilot: "one", Watch: true, Whole: true},
	&List{Version: 4, Now: 99, Whole: true, Entries: []Entry{{"x:1", "a", "std", 2, PhaseDraining, 1.5, 88}}},
	&Request{Number: 1, RequestID: 2, Class: "read", From: "p", WorkMs: 30, TimeoutMs: 1500},
	&Response{Number: 1, Outcome: Denied, RetryAfterMs: 200, Load: []LoadMetric{{"util", 1}}},
	&Probe{Number: 3},
	&Slices{Slice: 4, Given: true, Lines: []HeldLine{{"x:1", 2}}},
	&Pace{PeriodMs: 2000, MaxLines: 40, ChangedOnly: true},
}

// encodeBody encodes a message without a frame and without checking its size.
func encodeBody(m Message) []byte {
	var e encoder
	m.encode(&e)
	return e.b
}

// FuzzDecode checks that the decoder does not panic on arbitrary bodies, and that a decoded message is equal after it
// was encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range samples {
		f.Add(byte(m.messageType()), encodeBody(m))
	}
	f.Fuzz(func(t *testing.T, messageType byte, body []byte) {
		m, err := Decode(Type(messageType), body)
		if err != nil {
			return
		}
		again, err := Decode(Type(messageType), encodeBody(m))
		require.NoError(t, err)
		assert.Equal(t, m, again)
	})
}
