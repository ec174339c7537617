package relay

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/planner"
)

// TestCallOutcomes checks the executed commands for every outcome of a call. A call with an unknown outcome is retried
// once. No command is executed after a newer call's commands.
func TestCallOutcomes(t *testing.T) {
	turn := []planner.Command{
		setWeight(1, 2),
		planner.AssignTable{Table: 1, Proxy: 9, Classes: 3},
		planner.SetExcluded{Endpoint: 7, Excluded: true},
		planner.AckRequest{Number: 5},
	}
	whole := []string{"SET 1 e1 2", "USE 9 1", "OUT e7", "SYNC 5"}
	for name, c := range map[string]struct {
		steps []string
		want  []string
	}{
		"success":                  {[]string{"ok"}, whole},
		"halted twice":             {[]string{"halt 1", "halt 0"}, []string{"SET 1 e1 2", "OUT e7", "SYNC 5"}},
		"halted once":              {[]string{"halt 1", "ok"}, whole},
		"executed, response lost":  {[]string{"lost"}, twice(whole)},
		"not executed":             {[]string{"broken"}, whole},
		"not executed three times": {[]string{"broken", "broken", "broken"}, whole},
		"no response":              {[]string{"late"}, twice(whole)},
		"undecodable response":     {[]string{"garbage"}, twice(whole)},
		"impossible count":         {[]string{"too many"}, twice(whole)},
		"negative count":           {[]string{"negative"}, twice(whole)},
		"no count":                 {[]string{"absent"}, twice(whole)},
		"count of a wrong type":    {[]string{"text"}, twice(whole)},
		"incomplete response":      {[]string{"half"}, twice(whole)},
		"run has not started":      {[]string{"limit", "limit", "ok"}, whole},
		"rejected once":            {[]string{"malformed", "ok"}, whole},
		"rejected three times":     {[]string{"malformed", "malformed", "malformed"}, []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedRelay(t, c.steps...)
			sender := startSender(t, s.address())
			sender.Enqueue(turn, endpointName)
			eventually(t, func() bool {
				return s.callCount() >= max(len(c.steps), 1) && len(s.executedCommands()) >= len(c.want)
			})
			sender.Enqueue([]planner.Command{setWeight(4, 1)}, endpointName)
			want := append(slices.Clone(c.want), "SET 1 e4 1")
			eventually(t, func() bool { return len(s.executedCommands()) >= len(want) })
			assert.Equal(t, want, s.executedCommands())
		})
	}
}
