package discovery

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/wire"
)

// TestParseList checks that malformed entries are skipped and counted, and that a text without a list is an error.
func TestParseList(t *testing.T) {
	list, malformed, err := ParseList([]byte(`{"index":3,"snapshot":false,"endpoints":[
		{"name":"x","zone":"a","status":"left"},
		{"name":"","status":"active"},
		{"name":"y","status":"gone"},
		{"zone":"a"},
		7,
		{"name":"z","zone":"b","status":"leaving","weight":0.5,"since_ms":1700000000123.0}]}`))
	require.NoError(t, err)
	assert.Equal(t, 4, malformed)
	assert.Equal(t, []wire.Entry{
		{Endpoint: "x", Zone: "a", Phase: wire.PhaseGone, Weight: 1},
		{Endpoint: "z", Zone: "b", Phase: wire.PhaseDraining, Weight: 0.5, Started: 1700000000123},
	}, list.Entries)
	for _, text := range []string{
		"", "[]", "{}", `{"index":3}`, `{"index":"3","endpoints":[]}`, `{"index":3,"endpoints":[`,
	} {
		_, _, err := ParseList([]byte(text))
		assert.ErrorIs(t, err, ErrInvalidList, text)
	}
}
