package transport_test

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/internal/identity"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/transport/framed"
	"indigousher/internal/transport/grpcapi"
	"indigousher/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inbox keeps inputs in order.
type inbox struct{ got chan controller.Input }

func (i *inbox) Post(ctx context.Context, in controller.Input) error {
	select {
	case i.got <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func next[T any](t *testing.T, i *inbox) T {
	t.Helper()
	for {
		select {
		case in := <-i.got:
			if x, ok := in.(T); ok {
				return x
			}
		case <-time.After(10 * time.Second):
			var x T
			require.FailNow(t, "nothing came", "%T", x)
		}
	}
}

// server is what the contract asks of an edge.
type server interface {
	Serve(ctx context.Context, l net.Listener) error
	Kill()
	Streams() int
}

// transport makes both ends of one.
type transport struct {
	name  string
	serve func(in *inbox, ring *identity.KeyStore) server
	join  func(c *tls.Config) proxy.Joiner
}

const (
	beat = 100 * time.Millisecond
	seen = 600 * time.Millisecond
)

var transports = []transport{
	{"framed", func(in *inbox, ring *identity.KeyStore) server {
		return framed.NewServer(framed.ListenerConfig{Pilot: "one", Beat: beat, Period: time.Second, WriteDeadline: time.Second,
			SeenWithin: seen, HelloDeadline: time.Second, MaxStreams: 5000, Queue: 64}, in, zap.NewNop())
	}, proxy.Framed},
	{"grpc", func(in *inbox, ring *identity.KeyStore) server {
		return grpcapi.New(grpcapi.ListenerConfig{Pilot: "one", Beat: beat, Period: time.Second, SeenWithin: seen,
			HelloIn: time.Second, MaxMessage: 1 << 20, MaxStreams: 5000, QueueLines: 4000, Keys: ring}, in, zap.NewNop())
	}, func(c *tls.Config) proxy.Joiner { return proxy.GRPC(c, false) }},
}

func start(t *testing.T, tr transport, ring *identity.KeyStore) (server, *inbox, string, func()) {
	in := &inbox{make(chan controller.Input, 8192)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	if ring != nil && tr.name == "framed" {
		l = tls.NewListener(l, ring.Server(identity.Proxy))
	}
	s := tr.serve(in, ring)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	stop := sync.OnceFunc(func() { cancel(); assert.NoError(t, <-done) })
	t.Cleanup(stop)
	return s, in, address, stop
}

var dial = (&net.Dialer{}).DialContext

func hello(name string) *wire.Hello {
	return &wire.Hello{Version: 1, Proxy: name, Zone: "a", Boot: 3, Rate: 2, Fresh: true, Holds: []string{"x"},
		Tables: []wire.HeldTable{{Table: 2, Lines: []wire.HeldLine{{Endpoint: "x", Weight: 0.5}}}}}
}

// read returns the next message that is no beat, and goes on beating meanwhile.
func read(t *testing.T, l proxy.Line) wire.Message {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		m, err := l.Read(5 * time.Second)
		require.NoError(t, err)
		if _, is := m.(*wire.Beat); !is {
			return m
		}
		require.NoError(t, l.Write(&wire.Beat{Seen: l.Last()}, time.Second))
	}
	require.Fail(t, "only beats")
	return nil
}

// ends waits until a line has ended and returns the last message that was no beat.
func ends(l proxy.Line) (last wire.Message) {
	for {
		m, err := l.Read(5 * time.Second)
		if err != nil {
			return last
		}
		if _, is := m.(*wire.Beat); !is {
			last = m
		}
	}
}

// TestContract is what every transport does alike, seen from both ends.
func TestContract(t *testing.T) {
	set := func(e string, w float64) wire.Op { return wire.Op{Kind: wire.OpSet, Table: 2, Endpoint: e, Weight: w} }
	orders := &wire.Orders{AtMs: 10, AgeMs: 3, Lines: 9, Ops: []wire.Op{{Kind: wire.OpBind, Table: 2, Kinds: 3, Keep: true}, set("x", 1),
		set("y", 0.5), {Kind: wire.OpWithdraw, Endpoint: "y", Out: true},
		{Kind: wire.OpAdmit, Table: 2, Kinds: 1, Weight: 0.5, Again: 1}, {Kind: wire.OpRange, Table: 3, From: "a", To: "k"}, {Kind: wire.OpRange, Table: 4, Out: true},
		{Kind: wire.OpMark, Number: 7}}}
	for _, c := range []struct {
		name string
		run  func(t *testing.T, s server, in *inbox, st controller.Stream, l proxy.Line, stop func())
	}{
		{"orders and their mark", func(t *testing.T, _ server, in *inbox, st controller.Stream, l proxy.Line, _ func()) {
			require.NoError(t, st.Send(orders))
			assert.Equal(t, orders, read(t, l))
			require.NoError(t, l.Write(&wire.Done{Mark: 7, TookMs: 2}, time.Second))
			assert.Equal(t, controller.Acked{Stream: st, Done: wire.Done{Mark: 7, TookMs: 2}}, next[controller.Acked](t, in))
		}},
		{"a report", func(t *testing.T, _ server, in *inbox, st controller.Stream, l proxy.Line, _ func()) {
			sums := &wire.Sums{Seq: 1, AtMs: 5, SpanMs: 1000, Met: []wire.Met{{Endpoint: "x", Tries: 4, Failed: 1, MeanMs: 2,
				Load: []wire.Figure{{Name: "rate", Value: 3}, {Name: "util", Value: 0.5}}}}, Demand: []wire.Demand{{Kind: "read", Reqs: 5, Unanswered: 1}},
				Slices: []wire.SliceLoad{{Slice: 7, Kind: "read", Reqs: 3, Unanswered: 1}}}
			require.NoError(t, l.Write(sums, time.Second))
			assert.Equal(t, controller.LoadReported{Stream: st, Sums: sums}, next[controller.LoadReported](t, in))
		}},
		{"a wish about reports", func(t *testing.T, _ server, _ *inbox, st controller.Stream, l proxy.Line, _ func()) {
			require.NoError(t, st.Ask(&wire.Pace{PeriodMs: 4000, Lines: 9, Changes: true}))
			assert.Equal(t, &wire.Pace{PeriodMs: 4000, Lines: 9, Changes: true}, read(t, l))
		}},
		{"a stream closed with a reason", func(t *testing.T, _ server, in *inbox, st controller.Stream, l proxy.Line, _ func()) {
			st.Close("unknown zone")
			switch m := ends(l).(type) {
			case *wire.Refuse:
				assert.Equal(t, "unknown zone", m.Reason)
			case *wire.Redirect:
				assert.Equal(t, "unknown zone", m.Reason)
			default:
				assert.Failf(t, "no reason", "%T", m)
			}
			assert.Equal(t, st, next[controller.ProxyLeft](t, in).Stream)
		}},
		{"a pilot that stops", func(t *testing.T, _ server, _ *inbox, _ controller.Stream, l proxy.Line, stop func()) {
			go stop()
			assert.Equal(t, &wire.Redirect{Reason: "this pilot stops"}, ends(l))
		}},
		{"a pilot that is killed", func(t *testing.T, s server, _ *inbox, _ controller.Stream, l proxy.Line, _ func()) {
			s.Kill()
			assert.Nil(t, ends(l))
		}},
		{"a proxy that goes", func(t *testing.T, s server, in *inbox, st controller.Stream, l proxy.Line, _ func()) {
			l.Close()
			assert.Equal(t, st, next[controller.ProxyLeft](t, in).Stream)
			assert.Eventually(t, func() bool { return s.Streams() == 0 }, 5*time.Second, time.Millisecond)
		}},
		{"a proxy that falls silent", func(t *testing.T, _ server, in *inbox, st controller.Stream, _ proxy.Line, _ func()) {
			assert.Equal(t, st, next[controller.ProxyLeft](t, in).Stream)
		}},
		{"a proxy that beats but deals with nothing", func(t *testing.T, _ server, in *inbox, st controller.Stream, l proxy.Line, _ func()) {
			require.NoError(t, st.Send(orders))
			left := make(chan controller.ProxyLeft, 1)
			go func() { left <- next[controller.ProxyLeft](t, in) }()
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
				l, w, err := tr.join(nil)(t.Context(), dial, address, hello("p"))
				require.NoError(t, err)
				defer l.Close()
				assert.Equal(t, &wire.Welcome{Version: 1, Pilot: "one", BeatMs: 100, PeriodMs: 1000}, w)
				j := next[controller.ProxyJoined](t, in)
				assert.Equal(t, *hello("p"), j.Hello)
				c.run(t, s, in, j.Stream, l, stop)
			})
		}
	}
}

// TestStrangers is the table of attempts to get in: what was tried, and that nothing came of it.
func TestStrangers(t *testing.T) {
	dir := t.TempDir()
	authority, err := identity.NewAuthority("ours", time.Hour)
	require.NoError(t, err)
	other, err := identity.NewAuthority("another", time.Hour)
	require.NoError(t, err)
	issue := func(a *identity.Authority, who identity.Identity, from time.Time, lasts time.Duration) identity.Files {
		f, err := a.Issue(t.TempDir(), who, from, lasts)
		require.NoError(t, err)
		return f
	}
	now := time.Now().Add(-time.Minute)
	me := identity.Identity{Role: identity.Proxy, Zone: "a", Name: "p"}
	ours := issue(authority, me, now, time.Hour)
	client := func(f identity.Files) *tls.Config {
		r, err := identity.Load(f, nil)
		require.NoError(t, err)
		return r.Client(identity.Pilot)
	}
	foreign := issue(other, me, now, time.Hour)
	foreign.Authority = ours.Authority // it trusts us, we don't trust it
	for _, c := range []struct {
		name string
		tls  *tls.Config
		told string // to operators
	}{
		{"plain text", nil, ""},
		{"no certificate", &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}}, "didn't provide a certificate"},
		{"an expired certificate", client(issue(authority, me, now.Add(-2*time.Hour), time.Hour)), "expired"},
		{"one that holds from tomorrow", client(issue(authority, me, now.Add(24*time.Hour), time.Hour)), "not yet valid"},
		{"one of another authority", client(foreign), "unknown authority"},
		{"one of the wrong role", client(issue(authority, identity.Identity{Role: identity.Pilot, Zone: "a", Name: "p"}, now, time.Hour)), "among [proxy]"},
		{"another's name", client(issue(authority, identity.Identity{Role: identity.Proxy, Zone: "a", Name: "q"}, now, time.Hour)), ""},
		{"another's zone", client(issue(authority, identity.Identity{Role: identity.Proxy, Zone: "b", Name: "p"}, now, time.Hour)), ""},
	} {
		for _, tr := range transports {
			t.Run(c.name+"/"+tr.name, func(t *testing.T) {
				var mu sync.Mutex
				told := ""
				f, err := authority.Issue(dir, identity.Identity{Role: identity.Pilot, Zone: "a", Name: "one"}, now, time.Hour)
				require.NoError(t, err)
				ring, err := identity.Load(f, func(_ net.Addr, err error) { mu.Lock(); told += err.Error(); mu.Unlock() })
				require.NoError(t, err)
				_, in, address, _ := start(t, tr, ring)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, _, err = tr.join(c.tls)(ctx, dial, address, hello("p"))
				assert.Error(t, err)
				assert.NotContains(t, err.Error(), "indigousher://", "strangers are not told who is let in")
				assert.Empty(t, in.got)
				if c.told != "" && c.name != "no certificate" {
					assert.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return assert.ObjectsAreEqual(true, len(told) > 0) },
						2*time.Second, time.Millisecond)
					mu.Lock()
					assert.Contains(t, told, c.told)
					mu.Unlock()
				}
				l, _, err := tr.join(client(ours))(t.Context(), dial, address, hello("p"))
				require.NoError(t, err, "the rightful one gets in")
				l.Close()
				next[controller.ProxyLeft](t, in)
			})
		}
	}
}

// TestKeysReplaced guards open streams and later ones against keys that change while reports flow.
func TestKeysReplaced(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			authority, err := identity.NewAuthority("ours", time.Hour)
			require.NoError(t, err)
			dir, from := t.TempDir(), time.Now().Add(-time.Minute)
			who := identity.Identity{Role: identity.Pilot, Zone: "a", Name: "one"}
			f, err := authority.Issue(dir, who, from, time.Hour)
			require.NoError(t, err)
			ring, err := identity.Load(f, nil)
			require.NoError(t, err)
			pf, err := authority.Issue(dir, identity.Identity{Role: identity.Proxy, Zone: "a", Name: "p"}, from, time.Hour)
			require.NoError(t, err)
			mine, err := identity.Load(pf, nil)
			require.NoError(t, err)
			_, in, address, _ := start(t, tr, ring)
			l, _, err := tr.join(mine.Client(identity.Pilot))(t.Context(), dial, address, hello("p"))
			require.NoError(t, err)
			defer l.Close()
			before := ring.Expires()
			for i := range 40 {
				if i == 10 {
					_, err = authority.Issue(dir, who, from, 2*time.Hour)
					require.NoError(t, err)
				}
				require.NoError(t, l.Write(&wire.Sums{Seq: uint64(i + 1), SpanMs: 10}, time.Second))
				assert.EqualValues(t, i+1, next[controller.LoadReported](t, in).Sums.Seq)
				time.Sleep(20 * time.Millisecond)
			}
			assert.True(t, ring.Expires().After(before), "the new certificate is in force")
			second, _, err := tr.join(mine.Client(identity.Pilot))(t.Context(), dial, address, hello("p"))
			require.NoError(t, err)
			second.Close()
			require.NoError(t, ring.Err())
		})
	}
}
