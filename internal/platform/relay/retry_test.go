package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"indigousher/brain"
	standin "indigousher/internal/standin/relay"
)

// silentRelay returns a stand-in relay that says nothing, to probes neither, and carries nothing out until it recovers.
func silentRelay(t *testing.T) *standin.Relay {
	s, err := standin.Start(standin.Config{Proxies: []standin.Proxy{{Number: 3, Zone: "a"}}, LinesPerS: 1000})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	s.Fail(standin.Silent, func(int) bool { return false })
	return s
}

// TestOutageReports guards the module's count of the channel: it has to hear that nothing is taken, that it is again, and which
// marks stand among what may cross twice, those of calls that were joined meanwhile included. Before such a call goes out it
// hears which marks it has.
func TestOutageReports(t *testing.T) {
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
			s := newScriptedRelay(t, c.steps...)
			b := &inbox{}
			r := NewOrders(s.l.Addr().String(), nil, b, &Counters{}, zap.NewNop())
			r.Carry([]brain.Order{brain.SetLine{Table: 1, Endpoint: 1, Weight: 2}, brain.Mark{Number: 5}}, endpoint)
			r.Carry([]brain.Order{brain.SetLine{Table: 1, Endpoint: 1, Weight: 3}, brain.Mark{Number: 6}}, endpoint)
			runSender(t, r)
			require.Eventually(t, func() bool { return r.Counters.Executed.Load() >= 2 && len(b.all()) >= len(c.want) }, 10*time.Second, time.Millisecond)
			assert.Equal(t, c.want, b.all())
		})
	}
}

// TestUnknownOutcomeOncePerOutage guards the proxies' channel in a long silence (incident 029): a call is tried once and said again once,
// whatever waits has become one call by then, and the module is told which marks that call has.
func TestUnknownOutcomeOncePerOutage(t *testing.T) {
	s, b := silentRelay(t), &inbox{}
	r := NewOrders(s.Address(), nil, b, &Counters{}, zap.NewNop())
	runSender(t, r)
	r.Carry([]brain.Order{brain.SetLine{Table: 1, Endpoint: 1, Weight: 2}, brain.Mark{Number: 5}}, endpoint)
	require.Eventually(t, func() bool { return r.Counters.Probes.Load() >= 3 }, 10*time.Second, time.Millisecond)
	for mark := 6; mark < 9; mark++ {
		r.Carry([]brain.Order{brain.SetLine{Table: mark, Endpoint: 1, Weight: 2}, brain.Mark{Number: mark}}, endpoint)
	}
	require.Eventually(t, func() bool { return r.Counters.Probes.Load() >= 5 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, 1, s.Calls(), "only probes go out while nothing is said")
	s.Recover()
	require.Eventually(t, func() bool { return r.Counters.Executed.Load() > 0 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, 2, s.Calls())
	notes := b.all()
	assert.Equal(t, "stalled true [5]", notes[0])
	assert.Equal(t, []string{"stalled true [] joined [8 7 6 5]", "stalled false []"}, notes[len(notes)-2:])
}

// TestOutageEndsWithoutCalls guards against a stall whose call no longer exists: the module would wait for its end for good.
func TestOutageEndsWithoutCalls(t *testing.T) {
	s, b := silentRelay(t), &inbox{}
	r := NewOrders(s.Address(), nil, b, &Counters{}, zap.NewNop())
	runSender(t, r)
	r.Carry([]brain.Order{brain.Bind{Table: 1, Proxy: 3}}, endpoint)
	require.Eventually(t, func() bool { return r.Counters.Probes.Load() >= 1 }, 10*time.Second, time.Millisecond)
	r.Gone(3)
	s.Recover()
	require.Eventually(t, func() bool {
		notes := b.all()
		return len(notes) > 0 && notes[len(notes)-1] == "stalled false []"
	}, 10*time.Second, time.Millisecond)
	assert.Zero(t, r.Counters.Executed.Load())
	assert.Zero(t, s.Bound())
}

// TestUnreadableProbeAnswers guards against a relay that carries calls out and whose answers can't be read for a while: a call is not
// said again before an answer can be.
func TestUnreadableProbeAnswers(t *testing.T) {
	s := newScriptedRelay(t, "garbage")
	s.spoilt = 4
	r := startSender(t, s.l.Addr().String())
	r.Carry([]brain.Order{brain.SetLine{Table: 1, Endpoint: 1, Weight: 2}, brain.Mark{Number: 5}}, endpoint)
	require.Eventually(t, func() bool { return r.Counters.Executed.Load() > 0 }, 10*time.Second, time.Millisecond)
	assert.EqualValues(t, 5, r.Counters.Probes.Load())
	assert.Equal(t, []string{"SET 1 e1 2", "SYNC 5", "SET 1 e1 2", "SYNC 5"}, s.carried())
}

// TestUnknownOutcomeOfSplitTurn guards the count of a turn that is too long for one call: its first part sets no mark.
func TestUnknownOutcomeOfSplitTurn(t *testing.T) {
	s := newScriptedRelay(t, "lost")
	b := &inbox{}
	r := NewOrders(s.l.Addr().String(), nil, b, &Counters{}, zap.NewNop())
	var turn []brain.Order
	for i := range 1200 {
		turn = append(turn, brain.SetLine{Table: i, Endpoint: 1, Weight: 2})
	}
	r.Carry(append(turn, brain.Mark{Number: 5}), endpoint)
	require.Greater(t, len(r.queue), 1, "the turn is more than one call")
	runSender(t, r)
	require.Eventually(t, func() bool { return len(b.all()) > 0 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, "stalled true [5]", b.all()[0])
}
