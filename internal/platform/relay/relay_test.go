package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	standin "indigousher/internal/testbed/relay"
	"indigousher/planner"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script is a relay that answers each call as told: "ok", "halt N", "lost" (carried out, no answer), "broken" (not
// carried out, no answer), "late" (carried out, silence), "garbage", "too many", "limit", "malformed". After the script
// all calls are answered.
type script struct {
	t     *testing.T
	l     net.Listener
	mu    sync.Mutex
	steps []string
	done  []string // orders carried out, short
	calls int
	// spoilt is how many empty calls get an answer that can't be read, once the script has begun.
	spoilt int
	// closing has each connection closed once a call is answered; open counts those that stand.
	closing bool
	open    int
}

// idle returns whether no connection stands.
func (s *script) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open == 0
}

func newScript(t *testing.T, steps ...string) *script {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &script{t: t, l: l, steps: steps}
	go s.accept()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *script) accept() {
	for {
		conn, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *script) serve(conn net.Conn) {
	s.mu.Lock()
	s.open++
	s.mu.Unlock()
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !s.answer(conn, body) || s.closing {
			return
		}
	}
}

// answer takes one call and returns whether the connection stays.
func (s *script) answer(conn net.Conn, body []byte) bool {
	var call struct{ Ops []map[string]any }
	if !assert.NoError(s.t, json.Unmarshal(body, &call)) {
		return false
	}
	if len(call.Ops) == 0 { // a probe: the script tells of calls that carry orders
		return s.answerProbe(conn)
	}
	s.mu.Lock()
	step, halt := "ok", len(call.Ops)
	if s.calls < len(s.steps) {
		step = s.steps[s.calls]
	}
	s.calls++
	_, _ = fmt.Sscanf(step, "halt %d", &halt)
	if step == "broken" || step == "limit" || step == "malformed" {
		halt = 0
	}
	for _, o := range call.Ops[:halt] {
		s.done = append(s.done, short(o))
	}
	s.mu.Unlock()
	text := map[string]string{"lost": "", "broken": "", "garbage": "{ok", "too many": `{"ok_count":99}`,
		"limit": `{"error":"limit"}`, "malformed": `{"error":"malformed"}`, "negative": `{"ok_count":-1}`, "absent": `{}`,
		"text": `{"ok_count":"4"}`, "half": `{"ok_count":4}`}
	switch out, known := text[step]; {
	case step == "late":
		time.Sleep(2 * patience)
		return false
	case known && out == "":
		return false
	case step == "half": // its last bytes never come
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(out), out[:7])
		return false
	case !known:
		out = fmt.Sprintf(`{"ok_count":%d}`, halt)
		fallthrough
	default:
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(out), out)
		return err == nil
	}
}

func (s *script) answerProbe(conn net.Conn) bool {
	s.mu.Lock()
	out := `{"ok_count":0}`
	if s.spoilt > 0 {
		s.spoilt--
		out = `{"ok_cou`
	}
	s.mu.Unlock()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(out), out)
	return err == nil
}

func short(o map[string]any) string {
	switch o["verb"] {
	case "SET":
		return fmt.Sprint("SET ", o["cluster"], " ", o["endpoint"], " ", o["w"])
	case "USE":
		return fmt.Sprint("USE ", o["node"], " ", o["cluster"])
	case "SYNC":
		return fmt.Sprint("SYNC ", o["ticket"])
	}
	return fmt.Sprint(o["verb"], " ", o["endpoint"])
}

func (s *script) carried() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.done...)
}

func endpoint(i int) string { return fmt.Sprint("e", i) }

// start runs the way out to a scripted relay.
func start(t *testing.T, address string) *Sender {
	r := NewSender(address, []string{"read", "write"}, &inbox{}, &Counters{}, zap.NewNop())
	run(t, r)
	return r
}

func run(t *testing.T, r *Sender) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() { cancel(); assert.NoError(t, <-ended) })
}

// TestCalls plays each way in which a call may end. What was uncertain is said again once, in order, and nothing older
// after anything newer.
func TestCalls(t *testing.T) {
	set := func(e int, w float64) planner.Command { return planner.SetWeight{Table: 1, Endpoint: e, Weight: w} }
	out := planner.SetExcluded{Endpoint: 7, Excluded: true}
	turn := []planner.Command{set(1, 2), planner.AssignTable{Table: 1, Proxy: 9, Classes: 3}, out, planner.AckRequest{Number: 5}}
	whole := []string{"SET 1 e1 2", "USE 9 1", "OUT e7", "SYNC 5"}
	for name, c := range map[string]struct {
		steps []string
		want  []string
	}{
		"answered":                {[]string{"ok"}, whole},
		"halted for good":         {[]string{"halt 1", "halt 0"}, []string{"SET 1 e1 2", "OUT e7", "SYNC 5"}},
		"halted by mistake":       {[]string{"halt 1", "ok"}, whole},
		"lost after it was done":  {[]string{"lost"}, append(append([]string{}, whole...), whole...)},
		"never done":              {[]string{"broken"}, whole},
		"broken three times":      {[]string{"broken", "broken", "broken"}, whole},
		"silent":                  {[]string{"late"}, append(append([]string{}, whole...), whole...)},
		"unreadable":              {[]string{"garbage"}, append(append([]string{}, whole...), whole...)},
		"impossible count":        {[]string{"too many"}, append(append([]string{}, whole...), whole...)},
		"negative count":          {[]string{"negative"}, append(append([]string{}, whole...), whole...)},
		"no count":                {[]string{"absent"}, append(append([]string{}, whole...), whole...)},
		"a count of a wrong type": {[]string{"text"}, append(append([]string{}, whole...), whole...)},
		"half an answer":          {[]string{"half"}, append(append([]string{}, whole...), whole...)},
		"before the run":          {[]string{"limit", "limit", "ok"}, whole},
		"malformed for once":      {[]string{"malformed", "ok"}, whole},
		"malformed for good":      {[]string{"malformed", "malformed", "malformed"}, []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScript(t, c.steps...)
			r := start(t, s.l.Addr().String())
			r.Enqueue(turn, endpoint)
			last := []planner.Command{set(4, 1)}
			require.Eventually(t, func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.calls >= max(len(c.steps), 1) && len(s.done) >= len(c.want)
			}, 10*time.Second, time.Millisecond)
			r.Enqueue(last, endpoint)
			want := append(append([]string{}, c.want...), "SET 1 e4 1")
			require.Eventually(t, func() bool { return len(s.carried()) >= len(want) }, 10*time.Second, time.Millisecond)
			assert.Equal(t, want, s.carried())
		})
	}
}

// TestStalls guards the module's count of the channel: it has to hear that nothing is taken, that it is again, and which
// marks stand among what may cross twice, those of calls that were joined meanwhile included. Before such a call goes out it
// hears which marks it has.
func TestStalls(t *testing.T) {
	const joined = "stalled true [] joined [6 5]"
	for name, c := range map[string]struct {
		steps []string
		want  []string
	}{
		"answered": {nil, []string{}},
		"broken":   {[]string{"broken"}, []string{"stalled true [5]", joined, "stalled false []"}},
		"lost twice": {[]string{"lost", "lost"}, []string{"stalled true [5]", joined, "stalled true [6 5]", joined,
			"stalled false []"}},
		"before the run": {[]string{"limit", "limit"}, []string{"stalled true []", joined, "stalled true []", joined,
			"stalled false []"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScript(t, c.steps...)
			b := &inbox{}
			r := NewSender(s.l.Addr().String(), nil, b, &Counters{}, zap.NewNop())
			r.Enqueue([]planner.Command{planner.SetWeight{Table: 1, Endpoint: 1, Weight: 2}, planner.AckRequest{Number: 5}}, endpoint)
			r.Enqueue([]planner.Command{planner.SetWeight{Table: 1, Endpoint: 1, Weight: 3}, planner.AckRequest{Number: 6}}, endpoint)
			run(t, r)
			require.Eventually(t, func() bool { return r.Counters.Taken.Load() >= 2 && len(b.all()) >= len(c.want) }, 10*time.Second, time.Millisecond)
			assert.Equal(t, c.want, b.all())
		})
	}
}

// TestOutdated guards what waits while the relay is out of reach: a line set anew is said once, with its last weight, a
// proxy that has left is not bound, and drains keep their place before what follows them.
func TestOutdated(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	r := start(t, address)
	for w := 1; w <= 100; w++ {
		r.Enqueue([]planner.Command{planner.SetWeight{Table: 1, Endpoint: 1, Weight: float64(w)}, planner.AssignTable{Table: 1, Proxy: 3}, planner.AckRequest{Number: w}}, endpoint)
	}
	r.Enqueue([]planner.Command{planner.SetExcluded{Endpoint: 2, Excluded: true}, planner.SetWeight{Table: 1, Endpoint: 2, Weight: 0}}, endpoint)
	r.ProxyLeft(3)
	require.Eventually(t, func() bool { // a call that failed has joined all that waits
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.queue) <= 1
	}, 10*time.Second, time.Millisecond)
	s := newScript(t)
	r.SetAddress(s.l.Addr().String())
	require.Eventually(t, func() bool { return len(s.carried()) >= 4 }, 10*time.Second, time.Millisecond)
	got := s.carried()
	assert.Equal(t, []string{"SET 1 e1 100", "SYNC 100", "OUT e2", "SET 1 e2 0"}, got[len(got)-4:])
	assert.LessOrEqual(t, len(got), 4)
	assert.Zero(t, strings.Count(strings.Join(got, " "), "USE"))
}

func TestSplit(t *testing.T) {
	var ops []op
	for range 3000 {
		ops = append(ops, op{text: []byte(strings.Repeat("x", 99))})
	}
	n := 0
	for _, call := range split(ops) {
		assert.LessOrEqual(t, len(request("h", call)), 60000+200)
		n += len(call)
	}
	assert.Equal(t, len(ops), n)
	assert.Empty(t, split(nil))
}

func TestClearOutdatesItsTable(t *testing.T) {
	var ops []op
	for _, o := range []planner.Command{planner.SetWeight{Table: 1, Weight: 1}, planner.SetWeight{Table: 2, Weight: 1}, planner.ClearTable{Table: 1},
		planner.SetAdmission{Table: 1, Classes: 2, Level: 0.5, RetryMode: 1}, planner.SetAdmission{Table: planner.EveryTable, Level: 1}} {
		p, ok := layOut(o, endpoint, []string{"read", "write"})
		require.True(t, ok)
		ops = append(ops, p)
	}
	var texts []string
	for _, o := range fresh(ops) {
		texts = append(texts, string(o.text))
	}
	assert.Equal(t, []string{`{"verb":"SET","cluster":2,"endpoint":"e0","w":1}`, `{"verb":"DEL","cluster":1}`,
		`{"verb":"LIMIT","cluster":1,"classes":["write"],"level":0.5,"retry":1}`, `{"verb":"LIMIT","level":1,"retry":0}`}, texts)
}

// TestClosedUnderACall guards a call whose connection, used before, ends as its last byte arrives: it is said again.
func TestClosedUnderACall(t *testing.T) {
	s := newScript(t, "ok", "broken")
	r := start(t, s.l.Addr().String())
	for i := 1; i <= 2; i++ {
		r.Enqueue([]planner.Command{planner.SetWeight{Table: 1, Endpoint: i, Weight: 1}}, endpoint)
		require.Eventually(t, func() bool { return len(s.carried()) == i }, 5*time.Second, time.Millisecond)
	}
	assert.Equal(t, []string{"SET 1 e1 1", "SET 1 e2 1"}, s.carried())
	require.Eventually(t, func() bool { return r.Counters.Taken.Load() == 2 }, 5*time.Second, time.Millisecond)
	assert.EqualValues(t, 1, r.Counters.Uncertain.Load())
}

// TestIdleConnections guards calls after the relay has closed a connection that stood idle: it is found before it is used.
func TestIdleConnections(t *testing.T) {
	s := newScript(t)
	s.closing = true
	r := start(t, s.l.Addr().String())
	for i := 1; i <= 5; i++ {
		r.Enqueue([]planner.Command{planner.SetWeight{Table: i, Weight: 1}}, endpoint)
		require.Eventually(t, func() bool { return len(s.carried()) == i && s.idle() }, 5*time.Second, time.Millisecond)
	}
	assert.Zero(t, r.Counters.Failed.Load())
	assert.EqualValues(t, 5, r.Counters.Taken.Load())
}

// silentRelay returns a stand-in relay that says nothing, to probes neither, and carries nothing out until it recovers.
func silentRelay(t *testing.T) *standin.Relay {
	s, err := standin.Start(standin.Config{Proxies: []standin.Proxy{{Number: 3, Zone: "a"}}, LinesPerS: 1000})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	s.Fail(standin.Silent, func(int) bool { return false })
	return s
}

// TestUncertainOnce guards the proxies' channel in a long silence (incident 029): a call is tried once and said again once,
// whatever waits has become one call by then, and the module is told which marks that call has.
func TestUncertainOnce(t *testing.T) {
	s, b := silentRelay(t), &inbox{}
	r := NewSender(s.Address(), nil, b, &Counters{}, zap.NewNop())
	run(t, r)
	r.Enqueue([]planner.Command{planner.SetWeight{Table: 1, Endpoint: 1, Weight: 2}, planner.AckRequest{Number: 5}}, endpoint)
	require.Eventually(t, func() bool { return r.Counters.Probes.Load() >= 3 }, 10*time.Second, time.Millisecond)
	for mark := 6; mark < 9; mark++ {
		r.Enqueue([]planner.Command{planner.SetWeight{Table: mark, Endpoint: 1, Weight: 2}, planner.AckRequest{Number: mark}}, endpoint)
	}
	require.Eventually(t, func() bool { return r.Counters.Probes.Load() >= 5 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, 1, s.Calls(), "only probes go out while nothing is said")
	s.Recover()
	require.Eventually(t, func() bool { return r.Counters.Taken.Load() > 0 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, 2, s.Calls())
	notes := b.all()
	assert.Equal(t, "stalled true [5]", notes[0])
	assert.Equal(t, []string{"stalled true [] joined [8 7 6 5]", "stalled false []"}, notes[len(notes)-2:])
}

// TestAStallEnds guards against a stall whose call no longer exists: the module would wait for its end for good.
func TestAStallEnds(t *testing.T) {
	s, b := silentRelay(t), &inbox{}
	r := NewSender(s.Address(), nil, b, &Counters{}, zap.NewNop())
	run(t, r)
	r.Enqueue([]planner.Command{planner.AssignTable{Table: 1, Proxy: 3}}, endpoint)
	require.Eventually(t, func() bool { return r.Counters.Probes.Load() >= 1 }, 10*time.Second, time.Millisecond)
	r.ProxyLeft(3)
	s.Recover()
	require.Eventually(t, func() bool {
		notes := b.all()
		return len(notes) > 0 && notes[len(notes)-1] == "stalled false []"
	}, 10*time.Second, time.Millisecond)
	assert.Zero(t, r.Counters.Taken.Load())
	assert.Zero(t, s.Bound())
}

// TestSpoiltProbes guards against a relay that carries calls out and whose answers can't be read for a while: a call is not
// said again before an answer can be.
func TestSpoiltProbes(t *testing.T) {
	s := newScript(t, "garbage")
	s.spoilt = 4
	r := start(t, s.l.Addr().String())
	r.Enqueue([]planner.Command{planner.SetWeight{Table: 1, Endpoint: 1, Weight: 2}, planner.AckRequest{Number: 5}}, endpoint)
	require.Eventually(t, func() bool { return r.Counters.Taken.Load() > 0 }, 10*time.Second, time.Millisecond)
	assert.EqualValues(t, 5, r.Counters.Probes.Load())
	assert.Equal(t, []string{"SET 1 e1 2", "SYNC 5", "SET 1 e1 2", "SYNC 5"}, s.carried())
}

// TestUncertainPartOfATurn guards the count of a turn that is too long for one call: its first part sets no mark.
func TestUncertainPartOfATurn(t *testing.T) {
	s := newScript(t, "lost")
	b := &inbox{}
	r := NewSender(s.l.Addr().String(), nil, b, &Counters{}, zap.NewNop())
	var turn []planner.Command
	for i := range 1200 {
		turn = append(turn, planner.SetWeight{Table: i, Endpoint: 1, Weight: 2})
	}
	r.Enqueue(append(turn, planner.AckRequest{Number: 5}), endpoint)
	require.Greater(t, len(r.queue), 1, "the turn is more than one call")
	run(t, r)
	require.Eventually(t, func() bool { return len(b.all()) > 0 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, "stalled true [5]", b.all()[0])
}
