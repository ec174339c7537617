package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	testrelay "indigousher/internal/testbed/relay"
	"indigousher/planner"
)

// silentRelay returns a stand-in relay that answers nothing, not even probes, and executes nothing until it recovers.
func silentRelay(t *testing.T) *testrelay.Relay {
	s, err := testrelay.Start(testrelay.Config{Proxies: []testrelay.Proxy{{Number: 3, Zone: "a"}}, LinesPerSecond: 1000})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	s.Fail(testrelay.Silent, func(int) bool { return false })
	return s
}

// TestOutageReports checks what the controller hears for its count of the channel: that nothing is taken, that
// commands are taken again, and which ack requests are among what may be executed twice, including those of merged
// calls. It hears of the ack requests in a merged call before that is sent.
func TestOutageReports(t *testing.T) {
	const merged = "stalled true [] joined [6 5]"
	const ended = "stalled false []"
	for name, c := range map[string]struct {
		steps []string
		want  []string
	}{
		"answered": {nil, []string{}},
		"broken":   {[]string{"broken"}, []string{"stalled true [5]", merged, ended}},
		"lost twice": {
			[]string{"lost", "lost"},
			[]string{"stalled true [5]", merged, "stalled true [6 5]", merged, ended},
		},
		"before the run": {
			[]string{"limit", "limit"},
			[]string{"stalled true []", merged, "stalled true []", merged, ended},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedRelay(t, c.steps...)
			reports := &inbox{}
			sender := NewSender(s.address(), nil, reports, &Counters{}, zap.NewNop())
			sender.Enqueue([]planner.Command{setWeight(1, 2), planner.AckRequest{Number: 5}}, endpointName)
			sender.Enqueue([]planner.Command{setWeight(1, 3), planner.AckRequest{Number: 6}}, endpointName)
			runSender(t, sender)
			eventually(t, func() bool {
				return sender.Counters.Executed.Load() >= 2 && len(reports.all()) >= len(c.want)
			})
			assert.Equal(t, c.want, reports.all())
		})
	}
}

// TestUnknownOutcomeOncePerOutage checks a long silence (incident 029): a call is sent once and retried once, merged
// with everything queued by then, and the controller is informed of the ack requests in that call.
func TestUnknownOutcomeOncePerOutage(t *testing.T) {
	s := silentRelay(t)
	reports := &inbox{}
	sender := NewSender(s.Address(), nil, reports, &Counters{}, zap.NewNop())
	runSender(t, sender)
	sender.Enqueue([]planner.Command{setWeight(1, 2), planner.AckRequest{Number: 5}}, endpointName)
	eventually(t, func() bool { return sender.Counters.Probes.Load() >= 3 })
	for number := 6; number < 9; number++ {
		turn := []planner.Command{
			planner.SetWeight{Table: number, Endpoint: 1, Weight: 2},
			planner.AckRequest{Number: number},
		}
		sender.Enqueue(turn, endpointName)
	}
	eventually(t, func() bool { return sender.Counters.Probes.Load() >= 5 })
	assert.Equal(t, 1, s.Calls(), "only probes go out while nothing is answered")
	s.Recover()
	eventually(t, func() bool { return sender.Counters.Executed.Load() > 0 })
	assert.Equal(t, 2, s.Calls())
	all := reports.all()
	assert.Equal(t, "stalled true [5]", all[0])
	assert.Equal(t, []string{"stalled true [] joined [8 7 6 5]", "stalled false []"}, all[len(all)-2:])
}

// TestOutageEndsWithoutCalls checks the end of an outage whose call was dropped meanwhile: without it the planner
// would wait forever.
func TestOutageEndsWithoutCalls(t *testing.T) {
	s := silentRelay(t)
	reports := &inbox{}
	sender := NewSender(s.Address(), nil, reports, &Counters{}, zap.NewNop())
	runSender(t, sender)
	sender.Enqueue([]planner.Command{planner.AssignTable{Table: 1, Proxy: 3}}, endpointName)
	eventually(t, func() bool { return sender.Counters.Probes.Load() >= 1 })
	sender.ProxyLeft(3)
	s.Recover()
	eventually(t, func() bool {
		all := reports.all()
		return len(all) > 0 && all[len(all)-1] == "stalled false []"
	})
	assert.Zero(t, sender.Counters.Executed.Load())
	assert.Zero(t, s.AssignedCount())
}

// TestUnreadableProbeAnswers checks a relay that executes calls and whose answers cannot be decoded for a while: a
// call is not retried before an answer can.
func TestUnreadableProbeAnswers(t *testing.T) {
	s := newScriptedRelay(t, "garbage")
	s.unreadableProbes = 4
	sender := startSender(t, s.address())
	sender.Enqueue([]planner.Command{setWeight(1, 2), planner.AckRequest{Number: 5}}, endpointName)
	eventually(t, func() bool { return sender.Counters.Executed.Load() > 0 })
	assert.EqualValues(t, 5, sender.Counters.Probes.Load())
	assert.Equal(t, twice([]string{"SET 1 e1 2", "SYNC 5"}), s.executedCommands())
}

// TestUnknownOutcomeOfSplitTurn checks the count of a turn that is split into several calls, the first of which has
// no ack request.
func TestUnknownOutcomeOfSplitTurn(t *testing.T) {
	s := newScriptedRelay(t, "lost")
	reports := &inbox{}
	sender := NewSender(s.address(), nil, reports, &Counters{}, zap.NewNop())
	var turn []planner.Command
	for i := range 1200 {
		turn = append(turn, planner.SetWeight{Table: i, Endpoint: 1, Weight: 2})
	}
	sender.Enqueue(append(turn, planner.AckRequest{Number: 5}), endpointName)
	require.Greater(t, len(sender.queue.calls), 1, "the turn is more than one call")
	runSender(t, sender)
	eventually(t, func() bool { return len(reports.all()) > 0 })
	assert.Equal(t, "stalled true [5]", reports.all()[0])
}
