package placement

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRequiresRestart checks which changed fields are reported as needing a restart.
func TestRequiresRestart(t *testing.T) {
	old, err := Parse([]byte(validFile))
	require.NoError(t, err)
	for name, c := range map[string]struct {
		from, to string
		want     []string
	}{
		"relay":     {`6400`, `6401`, nil},
		"discovery": {`8500`, `8501`, nil},
		"name":      {`"n3"`, `"n4"`, []string{"name"}},
		"settings":  {`"backlog":1200`, `"backlog":1300`, []string{"settings"}},
	} {
		t.Run(name, func(t *testing.T) {
			updated, err := Parse([]byte(strings.Replace(validFile, c.from, c.to, 1)))
			require.NoError(t, err)
			assert.Equal(t, c.want, RequiresRestart(old, updated))
		})
	}
}
