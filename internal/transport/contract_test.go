package transport_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/controller"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/wire"
)

// session contains both ends of one proxy's stream.
type session struct {
	server server
	inbox  *inbox
	stream controller.Stream // the end of the pilot
	proxy  proxy.Stream      // the end of the proxy
	stop   func()            // stops the server
}

// TestContract runs the tests that every transport must pass.
func TestContract(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(t *testing.T, s session)
	}{
		{"commands and their acknowledgement", testCommands},
		{"a load report", testLoadReport},
		{"a pace for load reports", testPace},
		{"a stream closed with a reason", testCloseReason},
		{"a pilot that stops", testStoppedServer},
		{"a pilot that is killed", testKilledServer},
		{"a proxy that leaves", testLeavingProxy},
		{"a proxy that sends nothing", testSilentProxy},
		{"a proxy that sends heartbeats but acknowledges nothing", testUnacknowledged},
	} {
		for _, tr := range transports {
			t.Run(c.name+"/"+tr.name, func(t *testing.T) {
				s, in, address, stop := start(t, tr, nil)
				client, welcome, err := tr.join(nil)(t.Context(), dial, address, newHello())
				require.NoError(t, err)
				defer client.Close()
				assert.Equal(t, &wire.Welcome{Version: 1, Pilot: "one", HeartbeatMs: 100, ReportPeriodMs: 1000}, welcome)
				joined := next[controller.ProxyJoined](t, in)
				assert.Equal(t, *newHello(), joined.Hello)
				c.run(t, session{server: s, inbox: in, stream: joined.Stream, proxy: client, stop: stop})
			})
		}
	}
}

// newCommands returns commands that contain each kind of operation except OpClearTable.
func newCommands() *wire.Commands {
	return &wire.Commands{AtMs: 10, AgeMs: 3, CostLines: 9, Ops: []wire.Op{
		{Kind: wire.OpAssignTable, Table: 2, Classes: 3, KeepLines: true},
		{Kind: wire.OpSetWeight, Table: 2, Endpoint: "x", Weight: 1},
		{Kind: wire.OpSetWeight, Table: 2, Endpoint: "y", Weight: 0.5},
		{Kind: wire.OpSetExcluded, Endpoint: "y", Remove: true},
		{Kind: wire.OpSetAdmission, Table: 2, Classes: 1, Weight: 0.5, RetryMode: 1},
		{Kind: wire.OpAssignRange, Table: 3, From: "a", To: "k"},
		{Kind: wire.OpAssignRange, Table: 4, Remove: true},
		{Kind: wire.OpAckRequest, AckNumber: 7},
	}}
}

// testCommands checks that commands reach the proxy and that its Done message is posted.
func testCommands(t *testing.T, s session) {
	require.NoError(t, s.stream.Send(newCommands()))
	assert.Equal(t, newCommands(), read(t, s.proxy))
	require.NoError(t, s.proxy.Write(&wire.Done{Mark: 7, TookMs: 2}, time.Second))
	acknowledged := controller.Acked{Stream: s.stream, Done: wire.Done{Mark: 7, TookMs: 2}}
	assert.Equal(t, acknowledged, next[controller.Acked](t, s.inbox))
}

// testLoadReport checks that a load report of the proxy is posted unchanged.
func testLoadReport(t *testing.T, s session) {
	loadReport := &wire.LoadReport{
		Seq:    1,
		AtMs:   5,
		SpanMs: 1000,
		EndpointStats: []wire.EndpointStats{{
			Endpoint: "x",
			Attempts: 4,
			Failed:   1,
			MeanMs:   2,
			Load:     []wire.LoadMetric{{Name: "rate", Value: 3}, {Name: "util", Value: 0.5}},
		}},
		RequestStats: []wire.RequestStats{{Class: "read", Requests: 5, Unanswered: 1}},
		SliceStats:   []wire.SliceStats{{Slice: 7, Class: "read", Requests: 3, Unanswered: 1}},
	}
	require.NoError(t, s.proxy.Write(loadReport, time.Second))
	assert.Equal(t, controller.LoadReported{Stream: s.stream, Sums: loadReport}, next[controller.LoadReported](t, s.inbox))
}

// testPace checks that a Pace message reaches the proxy.
func testPace(t *testing.T, s session) {
	require.NoError(t, s.stream.RequestPace(&wire.Pace{PeriodMs: 4000, MaxLines: 9, ChangedOnly: true}))
	assert.Equal(t, &wire.Pace{PeriodMs: 4000, MaxLines: 9, ChangedOnly: true}, read(t, s.proxy))
}

// testCloseReason checks that the reason for closing a stream reaches the proxy and that ProxyLeft is posted.
func testCloseReason(t *testing.T, s session) {
	s.stream.Close("unknown zone")
	switch m := readToEnd(s.proxy).(type) {
	case *wire.Refuse:
		assert.Equal(t, "unknown zone", m.Reason)
	case *wire.Redirect:
		assert.Equal(t, "unknown zone", m.Reason)
	default:
		assert.Failf(t, "the last message contains no reason", "%T", m)
	}
	assert.Equal(t, s.stream, next[controller.ProxyLeft](t, s.inbox).Stream)
}

// testStoppedServer checks that a server that stops redirects the proxy.
func testStoppedServer(t *testing.T, s session) {
	go s.stop()
	assert.Equal(t, &wire.Redirect{Reason: "this pilot stops"}, readToEnd(s.proxy))
}

// testKilledServer checks that a killed server sends no last message.
func testKilledServer(t *testing.T, s session) {
	s.server.Kill()
	assert.Nil(t, readToEnd(s.proxy))
}

// testLeavingProxy checks that ProxyLeft is posted and the stream is removed when the proxy closes it.
func testLeavingProxy(t *testing.T, s session) {
	s.proxy.Close()
	assert.Equal(t, s.stream, next[controller.ProxyLeft](t, s.inbox).Stream)
	assert.Eventually(t, func() bool { return s.server.Streams() == 0 }, 5*time.Second, time.Millisecond)
}

// testSilentProxy checks that the stream of a proxy that sends nothing is closed.
func testSilentProxy(t *testing.T, s session) {
	assert.Equal(t, s.stream, next[controller.ProxyLeft](t, s.inbox).Stream)
}

// testUnacknowledged checks that the stream of a proxy that sends heartbeats but acknowledges nothing is closed.
func testUnacknowledged(t *testing.T, s session) {
	require.NoError(t, s.stream.Send(newCommands()))
	left := make(chan controller.ProxyLeft, 1)
	go func() { left <- next[controller.ProxyLeft](t, s.inbox) }()
	for {
		select {
		case x := <-left:
			assert.Equal(t, s.stream, x.Stream)
			return
		case <-time.After(30 * time.Millisecond):
			_ = s.proxy.Write(&wire.Heartbeat{}, time.Second) // fails after the stream has ended
		}
	}
}
