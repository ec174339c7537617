package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRequiresRestart(t *testing.T) {
	a, err := Parse([]byte(goodFile))
	require.NoError(t, err)
	for change, want := range map[string][]string{`6400`: nil, `8500`: nil, `"n3"`: {"name"}, `"backlog":1200`: {"settings"}} {
		b, err := Parse([]byte(strings.Replace(goodFile, change, map[string]string{`6400`: `6401`, `8500`: `8501`, `"n3"`: `"n4"`,
			`"backlog":1200`: `"backlog":1300`}[change], 1)))
		require.NoError(t, err)
		assert.Equal(t, want, Restart(a, b))
	}
}
