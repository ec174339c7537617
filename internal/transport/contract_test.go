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

// session is the stream of one proxy, seen from both ends.
type session struct {
	server server
	inbox  *inbox
	stream controller.Stream // the controller's end
	line   proxy.Stream      // the proxy's
	stop   func()            // shuts the server down
}

// TestContract checks what all transports have in common.
func TestContract(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(t *testing.T, s session)
	}{
		{"orders and their mark", orders},
		{"a report", report},
		{"advice on reports", advice},
		{"a stream closed with a reason", closedWithReason},
		{"a controller that stops", stoppedServer},
		{"a controller that is killed", killedServer},
		{"a proxy that leaves", leavingProxy},
		{"a proxy that falls silent", silentProxy},
		{"a proxy that sends heartbeats but acknowledges nothing", deafProxy},
	} {
		for _, tr := range transports {
			t.Run(c.name+"/"+tr.name, func(t *testing.T) {
				s, in, address, stop := start(t, tr, nil)
				line, welcome, err := tr.join(nil)(t.Context(), dial, address, hello())
				require.NoError(t, err)
				defer line.Close()
				assert.Equal(t, &wire.Welcome{Version: 1, Pilot: "one", HeartbeatMs: 100, ReportPeriodMs: 1000}, welcome)
				joined := next[controller.ProxyJoined](t, in)
				assert.Equal(t, *hello(), joined.Hello)
				c.run(t, session{server: s, inbox: in, stream: joined.Stream, line: line, stop: stop})
			})
		}
	}
}

// someOrders returns orders with an op of each kind.
func someOrders() *wire.Commands {
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

func orders(t *testing.T, s session) {
	require.NoError(t, s.stream.Send(someOrders()))
	assert.Equal(t, someOrders(), read(t, s.line))
	require.NoError(t, s.line.Write(&wire.Done{Mark: 7, TookMs: 2}, time.Second))
	acknowledged := controller.Acked{Stream: s.stream, Done: wire.Done{Mark: 7, TookMs: 2}}
	assert.Equal(t, acknowledged, next[controller.Acked](t, s.inbox))
}

func report(t *testing.T, s session) {
	sums := &wire.LoadReport{
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
	require.NoError(t, s.line.Write(sums, time.Second))
	assert.Equal(t, controller.LoadReported{Stream: s.stream, Sums: sums}, next[controller.LoadReported](t, s.inbox))
}

func advice(t *testing.T, s session) {
	require.NoError(t, s.stream.RequestPace(&wire.Pace{PeriodMs: 4000, MaxLines: 9, ChangedOnly: true}))
	assert.Equal(t, &wire.Pace{PeriodMs: 4000, MaxLines: 9, ChangedOnly: true}, read(t, s.line))
}

func closedWithReason(t *testing.T, s session) {
	s.stream.Close("unknown zone")
	switch m := ends(s.line).(type) {
	case *wire.Refuse:
		assert.Equal(t, "unknown zone", m.Reason)
	case *wire.Redirect:
		assert.Equal(t, "unknown zone", m.Reason)
	default:
		assert.Failf(t, "no reason", "%T", m)
	}
	assert.Equal(t, s.stream, next[controller.ProxyLeft](t, s.inbox).Stream)
}

func stoppedServer(t *testing.T, s session) {
	go s.stop()
	assert.Equal(t, &wire.Redirect{Reason: "this pilot stops"}, ends(s.line))
}

func killedServer(t *testing.T, s session) {
	s.server.Kill()
	assert.Nil(t, ends(s.line))
}

func leavingProxy(t *testing.T, s session) {
	s.line.Close()
	assert.Equal(t, s.stream, next[controller.ProxyLeft](t, s.inbox).Stream)
	assert.Eventually(t, func() bool { return s.server.Streams() == 0 }, 5*time.Second, time.Millisecond)
}

func silentProxy(t *testing.T, s session) {
	assert.Equal(t, s.stream, next[controller.ProxyLeft](t, s.inbox).Stream)
}

func deafProxy(t *testing.T, s session) {
	require.NoError(t, s.stream.Send(someOrders()))
	left := make(chan controller.ProxyLeft, 1)
	go func() { left <- next[controller.ProxyLeft](t, s.inbox) }()
	for {
		select {
		case x := <-left:
			assert.Equal(t, s.stream, x.Stream)
			return
		case <-time.After(30 * time.Millisecond):
			_ = s.line.Write(&wire.Heartbeat{}, time.Second) // fails once the stream has ended
		}
	}
}
