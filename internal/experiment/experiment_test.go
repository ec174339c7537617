package experiment

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/record"
)

const planText = `about = "a test"
day = "day.hcl"
repeats = 3
budget = "2m"
policies = ["indigousher", "even", "two", "subset", "aperture", "inverse", "feedback", "oracle", "standing"]
factor "load" {
  levels = ["0.5", "1"]
}
`

func readPlan(t *testing.T, text string) *Plan {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "day.hcl"), []byte("like = \"quiet\"\nlength = \"6s\"\ntrouble \"hang\" {\n at = \"2s\"\n for = \"3s\"\n part = 0.1\n}\n"), 0o600))
	path := filepath.Join(dir, "test.hcl")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	p, err := Read(path)
	require.NoError(t, err)
	return p
}

// tableText returns a table as text, without the metrics of real time, which differ between runs.
func tableText(t *testing.T, x *Table) string {
	for _, cell := range x.Results {
		for _, r := range cell {
			r.PilotMs, r.TookMs = 0, 0
		}
	}
	var b bytes.Buffer
	require.NoError(t, x.Print(&b))
	return b.String()
}

// TestResumed checks that an interrupted experiment can be resumed: finished runs are reused, and the table is the same
// as without the interruption. It also checks that results of another program are not reused.
func TestResumed(t *testing.T) {
	p := readPlan(t, planText)
	whole := &Runner{Plan: p, Store: filepath.Join(t.TempDir(), "whole.db"), Program: "one"}
	want, err := whole.Run(t.Context())
	require.NoError(t, err)
	assert.Zero(t, want.LeftOut+want.Reused)
	ctx, cancel := context.WithCancel(t.Context())
	broken := &Runner{Plan: p, Store: filepath.Join(t.TempDir(), "broken.db"), Program: "one", Workers: 1, Progress: func(done, _ int) {
		if done == 5 {
			cancel()
		}
	}}
	_, err = broken.Run(ctx)
	require.ErrorIs(t, err, context.Canceled)
	broken.Progress = nil
	got, err := broken.Run(t.Context())
	require.NoError(t, err)
	assert.GreaterOrEqual(t, got.Reused, 4)
	assert.Less(t, got.Reused, 10)
	assert.Equal(t, tableText(t, want), tableText(t, got))
	broken.Program = "another"
	got, err = broken.Run(t.Context())
	require.NoError(t, err)
	assert.Zero(t, got.Reused)
	p.Budget = time.Nanosecond
	broken.Program = "a third"
	got, err = broken.Run(t.Context())
	require.NoError(t, err)
	assert.Equal(t, 54, got.LeftOut)
	var b bytes.Buffer
	require.NoError(t, got.Print(&b))
	assert.Contains(t, b.String(), "54 runs were left out")
}

// TestTornStore checks that a truncated or partly overwritten store is reported with its file name. Such a store used
// to end the experiment in a panic. Every page of the store is damaged in turn.
func TestTornStore(t *testing.T) {
	p := readPlan(t, planText)
	r := &Runner{Plan: p, Store: filepath.Join(t.TempDir(), "x.db"), Program: "one"}
	_, err := r.Run(t.Context())
	require.NoError(t, err)
	whole, err := os.ReadFile(r.Store)
	require.NoError(t, err)
	torn := 0
	for n := 4096; n < len(whole); n += 4096 {
		b := append([]byte(nil), whole...)
		for i := n; i < n+64; i++ {
			b[i] ^= 0x5a
		}
		for _, text := range [][]byte{whole[:n], b} {
			r.Store = filepath.Join(t.TempDir(), "x.db") // a new path, because a panic can leave a file locked
			require.NoError(t, os.WriteFile(r.Store, text, 0o600))
			if db, err := record.OpenFile(r.Store, true); err == nil { // damage to an unused page is harmless
				require.NoError(t, db.Close())
				continue
			}
			torn++
			require.NoError(t, os.WriteFile(r.Store+".again", text, 0o600))
			r.Store += ".again"
			_, err := r.Run(t.Context())
			assert.ErrorIs(t, err, record.ErrCorrupt)
			assert.ErrorContains(t, err, r.Store)
		}
	}
	assert.Greater(t, torn, 3)
}

// TestReport checks that the report is self-contained: it contains the charts and no links that need a network.
func TestReport(t *testing.T) {
	p := readPlan(t, strings.Replace(planText, "repeats = 3", "repeats = 2", 1))
	x, err := (&Runner{Plan: p, Store: filepath.Join(t.TempDir(), "x.db"), Program: "one"}).Run(t.Context())
	require.NoError(t, err)
	var b bytes.Buffer
	require.NoError(t, x.Report(&b))
	assert.Greater(t, strings.Count(b.String(), "<svg"), 4)
	for _, address := range regexp.MustCompile(`(src|href)="[^"#]*"`).FindAllString(b.String(), -1) {
		assert.Fail(t, "the report links to another resource", address)
	}
	ours, even := -1, -1
	for i, c := range x.Cells {
		if c.Levels[0] == 1 && c.Policy == Planner {
			ours = i
		} else if c.Levels[0] == 1 && c.Policy == "even" {
			even = i
		}
	}
	assert.Greater(t, x.Figure(ours, Metrics[0]).Mean, x.Figure(even, Metrics[0]).Mean,
		"the planner loses less service to a hanging endpoint than even weights")
	assert.Negative(t, x.Difference(even, Metrics[0]).Mean)
}

// TestFigure checks the confidence interval for five values, for which Student's t is 2.776 in statistical tables.
func TestFigure(t *testing.T) {
	f := newFigure([]float64{1, 2, 3, 4, 5})
	assert.InDelta(t, 3, f.Mean, 1e-9)
	assert.InDelta(t, 2.776*1.5811/2.2361, f.HalfWidth, 1e-3)
}

// TestWrong checks that files with unknown factors, policies or scenarios, or with malformed levels, are rejected.
func TestWrong(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"load"`, `"lode"`, `factor "lode" is not known`},
		{`"even"`, `"evn"`, `policy "evn" is not known`},
		{`"0.5"`, `"half"`, "not a number"},
		{`"day.hcl"`, `"none.hcl"`, "none.hcl"},
	} {
		path := filepath.Join(t.TempDir(), "wrong.hcl")
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(planText, c.from, c.to, 1)), 0o600))
		_, err := Read(path)
		assert.ErrorContains(t, err, c.want)
	}
}
