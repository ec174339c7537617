package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	testrelay "indigousher/internal/testbed/relay"
	"indigousher/planner"
)

// silentRelay returns a test relay that executes nothing and responds to nothing, not even to probes, until its Recover
// method is called.
func silentRelay(t *testing.T) *testrelay.Relay {
	s, err := testrelay.Start(testrelay.Config{Proxies: []testrelay.Proxy{{Number: 3, Zone: "a"}}, LinesPerSecond: 1000})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	s.Fail(testrelay.Silent, func(int) bool { return false })
	return s
}

// TestOutageReports checks the reports that the controller needs to count the commands in the relay's channel: that the
// relay accepts no commands, that it accepts them again, and the ack requests of calls that may be executed twice,
// including merged calls. The ack requests in a merged call must be reported before the call is sent.
func TestOutageReports(t *testing.T) {
	const merged = "stalled true [] merged [6 5]"
	const ended = "stalled false []"
	for name, c := range map[string]struct {
		steps []string
		want  []string
	}{
		"success":      {nil, []string{}},
		"not executed": {[]string{"broken"}, []string{"stalled true [5]", merged, ended}},
		"two responses lost": {
			[]string{"lost", "lost"},
			[]string{"stalled true [5]", merged, "stalled true [6 5]", merged, ended},
		},
		"run has not started": {
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

// TestUnknownOutcomeOncePerOutage checks a relay that does not respond for a long time (incident 029). A call is sent
// once and retried once after the relay responds again, merged with all calls queued in the meantime. The ack requests
// in that call are reported to the controller.
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
	assert.Equal(t, 1, s.Calls(), "a call was retried before a probe succeeded")
	s.Recover()
	eventually(t, func() bool { return sender.Counters.Executed.Load() > 0 })
	assert.Equal(t, 2, s.Calls())
	all := reports.all()
	assert.Equal(t, "stalled true [5]", all[0])
	assert.Equal(t, []string{"stalled true [] merged [8 7 6 5]", "stalled false []"}, all[len(all)-2:])
}

// TestOutageEndsWithoutCalls checks that the end of an outage is reported even if the failed call was dropped in the
// meantime. Without the report the planner would wait forever.
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

// TestUnreadableProbeResponses checks a relay that executes calls but whose responses cannot be decoded for a while. A
// call must not be retried before a response can be decoded.
func TestUnreadableProbeResponses(t *testing.T) {
	s := newScriptedRelay(t, "garbage")
	s.unreadableProbes = 4
	sender := startSender(t, s.address())
	sender.Enqueue([]planner.Command{setWeight(1, 2), planner.AckRequest{Number: 5}}, endpointName)
	eventually(t, func() bool { return sender.Counters.Executed.Load() > 0 })
	assert.EqualValues(t, 5, sender.Counters.Probes.Load())
	assert.Equal(t, twice([]string{"SET 1 e1 2", "SYNC 5"}), s.executedCommands())
}

// TestUnknownOutcomeOfSplitTurn checks which ack requests are reported if the commands of one turn are split into
// several calls and the first call, which contains no ack request, has an unknown outcome.
func TestUnknownOutcomeOfSplitTurn(t *testing.T) {
	s := newScriptedRelay(t, "lost")
	reports := &inbox{}
	sender := NewSender(s.address(), nil, reports, &Counters{}, zap.NewNop())
	var turn []planner.Command
	for i := range 1200 {
		turn = append(turn, planner.SetWeight{Table: i, Endpoint: 1, Weight: 2})
	}
	sender.Enqueue(append(turn, planner.AckRequest{Number: 5}), endpointName)
	require.Greater(t, len(sender.queue.calls), 1, "the commands of the turn fit into one call")
	runSender(t, sender)
	eventually(t, func() bool { return len(reports.all()) > 0 })
	assert.Equal(t, "stalled true [5]", reports.all()[0])
}
