package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/brain"
)

// TestCallOutcomes plays each way in which a call may end. What was uncertain is said again once, in order, and nothing older
// after anything newer.
func TestCallOutcomes(t *testing.T) {
	set := func(e int, w float64) brain.Order { return brain.SetLine{Table: 1, Endpoint: e, Weight: w} }
	out := brain.Withdraw{Endpoint: 7, Out: true}
	turn := []brain.Order{set(1, 2), brain.Bind{Table: 1, Proxy: 9, Kinds: 3}, out, brain.Mark{Number: 5}}
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
			s := newScriptedRelay(t, c.steps...)
			r := startSender(t, s.l.Addr().String())
			r.Carry(turn, endpoint)
			last := []brain.Order{set(4, 1)}
			require.Eventually(t, func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.calls >= max(len(c.steps), 1) && len(s.done) >= len(c.want)
			}, 10*time.Second, time.Millisecond)
			r.Carry(last, endpoint)
			want := append(append([]string{}, c.want...), "SET 1 e4 1")
			require.Eventually(t, func() bool { return len(s.carried()) >= len(want) }, 10*time.Second, time.Millisecond)
			assert.Equal(t, want, s.carried())
		})
	}
}

// TestConnectionClosedDuringCall guards a call whose connection, used before, ends as its last byte arrives: it is said again.
func TestConnectionClosedDuringCall(t *testing.T) {
	s := newScriptedRelay(t, "ok", "broken")
	r := startSender(t, s.l.Addr().String())
	for i := 1; i <= 2; i++ {
		r.Carry([]brain.Order{brain.SetLine{Table: 1, Endpoint: i, Weight: 1}}, endpoint)
		require.Eventually(t, func() bool { return len(s.carried()) == i }, 5*time.Second, time.Millisecond)
	}
	assert.Equal(t, []string{"SET 1 e1 1", "SET 1 e2 1"}, s.carried())
	require.Eventually(t, func() bool { return r.Counters.Executed.Load() == 2 }, 5*time.Second, time.Millisecond)
	assert.EqualValues(t, 1, r.Counters.OutcomeUnknown.Load())
}
