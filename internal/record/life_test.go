package record

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLifeJSON guards the stored form of lives, which other versions of the program read and write.
func TestLifeJSON(t *testing.T) {
	started := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	full := Life{
		Format:             2,
		ID:                 "i",
		Pilot:              "p",
		Seed:               7,
		PlannerFingerprint: "m",
		Settings:           "t",
		LatestSettings:     "n",
		Started:            started,
		RestoredFrom:       "a",
		TailMs:             1.5,
	}
	for want, life := range map[string]Life{
		`{"Format":2,"ID":"i","Pilot":"p","Seed":7,"Module":"m","Terms":"t","Now":"n",` +
			`"Started":"2026-03-01T12:00:00Z","After":"a","TailMs":1.5}`: full,
		`{"Format":0,"ID":"","Pilot":"","Seed":0,"Module":"","Terms":"",` +
			`"Started":"2026-03-01T12:00:00Z","After":"","TailMs":0}`: {Started: started},
	} {
		got, err := json.Marshal(life)
		require.NoError(t, err)
		assert.Equal(t, want, string(got))
	}
}
