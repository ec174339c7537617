package recovery

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestDecide checks, for each state of the record, how much of it is replayed and which reason is logged.
func TestDecide(t *testing.T) {
	limits := Limits{MaxReplayMs: 60000, MaxGapMs: 120000}
	for _, c := range []struct {
		name   string
		change func(*RecordInfo)
		replay float64
		away   float64
		why    string
	}{
		{"usable record", func(*RecordInfo) {}, 60000, 4000, "down for 4.0 s"},
		{"short run", func(f *RecordInfo) { f.SpanMs = 9000 }, 9000, 4000, "the last 9 s"},
		{"first start", func(f *RecordInfo) { f.Runs = 0 }, 0, 0, "no record found"},
		{"another format", func(f *RecordInfo) { f.SameFormat = false }, 0, 0, "another format"},
		{"another version of the planner", func(f *RecordInfo) { f.SamePlanner = false }, 0, 0, "another version of the planner"},
		{"other settings", func(f *RecordInfo) { f.SameSettings = false }, 0, 0, "other planner settings"},
		{"old record", func(f *RecordInfo) { f.GapMs = 300000 }, 0, 0, "300 s old"},
		{"clock set back by an hour", func(f *RecordInfo) { f.GapMs = -3.6e6 }, 60000, 0, "set back"},
		{"torn end", func(f *RecordInfo) { f.Torn = true }, 60000, 4000, "torn"},
		{"torn at the beginning", func(f *RecordInfo) { f.Torn, f.Turns = true, 0 }, 0, 0, "no readable turn"},
		{"two failed starts", func(f *RecordInfo) { f.FailedStarts = 2 }, 60000, 4000, "recovered"},
		{"five failed starts", func(f *RecordInfo) { f.FailedStarts = 5 }, 0, 0, "5 starts in a row"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := RecordInfo{
				Runs:         2,
				SameFormat:   true,
				SamePlanner:  true,
				SameSettings: true,
				Turns:        900,
				GapMs:        4000,
				SpanMs:       500000,
			}
			c.change(&f)
			v := Decide(f, limits)
			assert.Equal(t, c.replay, v.ReplayMs)
			assert.Equal(t, c.away, v.DowntimeMs)
			assert.Equal(t, c.replay == 0, v.Cold())
			assert.Contains(t, v.Reason, c.why)
		})
	}
}
