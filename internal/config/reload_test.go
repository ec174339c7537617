package config

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDiff checks which fields a reload changes, and that the planner's reloadable settings contain no others.
func TestDiff(t *testing.T) {
	current, err := Parse("f.hcl", []byte(validSettings))
	require.NoError(t, err)
	updated, err := Parse("f.hcl", []byte(validSettings+`channel { lines_per_s = 99 }
rules { cold = "9s" }
pilot { listen = "127.0.0.1:9" }`))
	require.NoError(t, err)

	changed, restart := Diff(current, updated)
	assert.Equal(t, []string{"LinesPerS", "Cold"}, changed)
	assert.Equal(t, []string{"Listen"}, restart)

	merged := MergeReloadable(current, updated)
	assert.Equal(t, 99.0, merged.LinesPerS)
	assert.Equal(t, current.Listen, merged.Listen)

	assert.Equal(t, 9000.0, updated.ReloadableSettings()["cold"])
	assert.NotContains(t, updated.ReloadableSettings(), "req_kinds")
}
