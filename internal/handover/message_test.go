package handover

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestMessageJSON guards the encoding of messages, because the predecessor may run an earlier version of the program.
func TestMessageJSON(t *testing.T) {
	for want, m := range map[string]message{
		`{"Version":1,"Step":"offer","Names":["proxies","admin"]}`: {
			Version: 1, Step: "offer", Names: []string{"proxies", "admin"},
		},
		`{"Version":1,"Step":"take"}`: {Version: 1, Step: "take"},
	} {
		got, err := json.Marshal(m)
		require.NoError(t, err)
		assert.Equal(t, want, string(got))
	}
}
