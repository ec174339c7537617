package experiment

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/scenario"
)

// TestStoredNames checks that the JSON encodings of scenarios and results do not change. The JSON of a scenario is part
// of the key of its results, and results are stored as JSON, so a renamed field would lose stored results.
func TestStoredNames(t *testing.T) {
	sum := sha256.New()
	for _, name := range scenario.Names() {
		d, err := scenario.Load(name)
		require.NoError(t, err)
		text, err := json.Marshal(d)
		require.NoError(t, err)
		_, err = sum.Write(text)
		require.NoError(t, err)
	}
	assert.Equal(t, "f7ea2a0d0369f84e", fmt.Sprintf("%x", sum.Sum(nil)[:8]))
	text, err := json.Marshal(Result{Zones: map[string]float64{"a": 1}})
	require.NoError(t, err)
	assert.Equal(t, `{"Service":0,"Worst":0,"Windows":null,"Errored":0,"Denied":0,"TriesEach":0,"P50":0,"P99":0,"Spread":0,"LinesPerS":0,`+
		`"MostLines":0,"Broken":0,"Nearest":0,"RebuiltMs":0,"LinesAfter":0,"PilotMs":0,"Events":0,"TookMs":0,"Text":"",`+
		`"Quantiles":null,"Loads":null,"Zones":{"a":1}}`, string(text))
}
