package recovery

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDecide(t *testing.T) {
	bounds := Limits{MaxReplayMs: 60000, MaxGapMs: 120000}
	for _, c := range []struct {
		name   string
		change func(*Facts)
		replay float64
		away   float64
		why    string
	}{
		{"all well", func(*Facts) {}, 60000, 4000, "away for 4.0 s"},
		{"a short life", func(f *Facts) { f.SpanMs = 9000 }, 9000, 4000, "the last 9 s"},
		{"the first start", func(f *Facts) { f.Runs = 0 }, 0, 0, "no record"},
		{"of a later format", func(f *Facts) { f.SameFormat = false }, 0, 0, "another format"},
		{"another module", func(f *Facts) { f.SameModule = false }, 0, 0, "another module"},
		{"other terms", func(f *Facts) { f.SameSettings = false }, 0, 0, "other terms"},
		{"too old", func(f *Facts) { f.GapMs = 300000 }, 0, 0, "300 s old"},
		{"the clock set back an hour", func(f *Facts) { f.GapMs = -3.6e6 }, 60000, 0, "set back"},
		{"a torn end", func(f *Facts) { f.Torn = true }, 60000, 4000, "torn"},
		{"nothing but torn", func(f *Facts) { f.Torn, f.Turns = true, 0 }, 0, 0, "no turn"},
		{"twice died at its beginning", func(f *Facts) { f.FailedStarts = 2 }, 60000, 4000, "recovered"},
		{"five times", func(f *Facts) { f.FailedStarts = 5 }, 0, 0, "5 starts in a row"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := Facts{
				Runs:         2,
				SameFormat:   true,
				SameModule:   true,
				SameSettings: true,
				Turns:        900,
				GapMs:        4000,
				SpanMs:       500000,
			}
			c.change(&f)
			v := Decide(f, bounds)
			assert.Equal(t, c.replay, v.ReplayMs)
			assert.Equal(t, c.away, v.DowntimeMs)
			assert.Equal(t, c.replay == 0, v.Cold())
			assert.Contains(t, v.Reason, c.why)
		})
	}
}
