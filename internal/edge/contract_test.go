package edge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/pilot"
	"indigousher/internal/standin/proxy"
	"indigousher/internal/wire"
)

// TestContract is what every transport does alike, seen from both ends.
func TestContract(t *testing.T) {
	set := func(e string, w float64) wire.Op { return wire.Op{Kind: wire.OpSet, Table: 2, Endpoint: e, Weight: w} }
	orders := &wire.Orders{AtMs: 10, AgeMs: 3, Lines: 9, Ops: []wire.Op{
		{Kind: wire.OpBind, Table: 2, Kinds: 3, Keep: true},
		set("x", 1),
		set("y", 0.5),
		{Kind: wire.OpWithdraw, Endpoint: "y", Out: true},
		{Kind: wire.OpAdmit, Table: 2, Kinds: 1, Weight: 0.5, Again: 1},
		{Kind: wire.OpRange, Table: 3, From: "a", To: "k"},
		{Kind: wire.OpRange, Table: 4, Out: true},
		{Kind: wire.OpMark, Number: 7},
	}}
	for _, c := range []struct {
		name string
		run  func(t *testing.T, s server, in *inbox, st pilot.Stream, l proxy.Line, stop func())
	}{
		{"orders and their mark", func(t *testing.T, _ server, in *inbox, st pilot.Stream, l proxy.Line, _ func()) {
			require.NoError(t, st.Send(orders))
			assert.Equal(t, orders, read(t, l))
			require.NoError(t, l.Write(&wire.Done{Mark: 7, TookMs: 2}, time.Second))
			assert.Equal(t, pilot.Applied{Stream: st, Done: wire.Done{Mark: 7, TookMs: 2}}, next[pilot.Applied](t, in))
		}},
		{"a report", func(t *testing.T, _ server, in *inbox, st pilot.Stream, l proxy.Line, _ func()) {
			sums := &wire.Sums{
				Seq: 1, AtMs: 5, SpanMs: 1000, Met: []wire.Met{{
					Endpoint: "x", Tries: 4, Failed: 1, MeanMs: 2,
					Load: []wire.Figure{{Name: "rate", Value: 3}, {Name: "util", Value: 0.5}},
				}}, Demand: []wire.Demand{{Kind: "read", Reqs: 5, Unanswered: 1}},
				Slices: []wire.SliceLoad{{Slice: 7, Kind: "read", Reqs: 3, Unanswered: 1}},
			}
			require.NoError(t, l.Write(sums, time.Second))
			assert.Equal(t, pilot.Reported{Stream: st, Sums: sums}, next[pilot.Reported](t, in))
		}},
		{"a wish about reports", func(t *testing.T, _ server, _ *inbox, st pilot.Stream, l proxy.Line, _ func()) {
			require.NoError(t, st.Ask(&wire.Pace{PeriodMs: 4000, Lines: 9, Changes: true}))
			assert.Equal(t, &wire.Pace{PeriodMs: 4000, Lines: 9, Changes: true}, read(t, l))
		}},
		{"a stream closed with a reason", func(t *testing.T, _ server, in *inbox, st pilot.Stream, l proxy.Line, _ func()) {
			st.Close("unknown zone")
			switch m := ends(l).(type) {
			case *wire.Refuse:
				assert.Equal(t, "unknown zone", m.Reason)
			case *wire.Redirect:
				assert.Equal(t, "unknown zone", m.Reason)
			default:
				assert.Failf(t, "no reason", "%T", m)
			}
			assert.Equal(t, st, next[pilot.Leave](t, in).Stream)
		}},
		{"a pilot that stops", func(t *testing.T, _ server, _ *inbox, _ pilot.Stream, l proxy.Line, stop func()) {
			go stop()
			assert.Equal(t, &wire.Redirect{Reason: "this pilot stops"}, ends(l))
		}},
		{"a pilot that is killed", func(t *testing.T, s server, _ *inbox, _ pilot.Stream, l proxy.Line, _ func()) {
			s.Kill()
			assert.Nil(t, ends(l))
		}},
		{"a proxy that goes", func(t *testing.T, s server, in *inbox, st pilot.Stream, l proxy.Line, _ func()) {
			l.Close()
			assert.Equal(t, st, next[pilot.Leave](t, in).Stream)
			assert.Eventually(t, func() bool { return s.Streams() == 0 }, 5*time.Second, time.Millisecond)
		}},
		{"a proxy that falls silent", func(t *testing.T, _ server, in *inbox, st pilot.Stream, _ proxy.Line, _ func()) {
			assert.Equal(t, st, next[pilot.Leave](t, in).Stream)
		}},
		{"a proxy that beats but deals with nothing", func(t *testing.T, _ server, in *inbox, st pilot.Stream, l proxy.Line, _ func()) {
			require.NoError(t, st.Send(orders))
			left := make(chan pilot.Leave, 1)
			go func() { left <- next[pilot.Leave](t, in) }()
			for {
				select {
				case x := <-left:
					assert.Equal(t, st, x.Stream)
					return
				case <-time.After(30 * time.Millisecond):
					_ = l.Write(&wire.Beat{}, time.Second) // fails once the stream has ended
				}
			}
		}},
	} {
		for _, tr := range transports {
			t.Run(c.name+"/"+tr.name, func(t *testing.T) {
				s, in, address, stop := start(t, tr, nil)
				l, w, err := tr.join(nil)(t.Context(), dial, address, hello())
				require.NoError(t, err)
				defer l.Close()
				assert.Equal(t, &wire.Welcome{Version: 1, Pilot: "one", BeatMs: 100, PeriodMs: 1000}, w)
				j := next[pilot.Join](t, in)
				assert.Equal(t, *hello(), j.Hello)
				c.run(t, s, in, j.Stream, l, stop)
			})
		}
	}
}
