package controller

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStateJSON checks the JSON field names that the admin listener serves under /state; they must not change.
func TestStateJSON(t *testing.T) {
	text, err := json.Marshal(State{ReportLines: map[string]uint64{"a": 1}})
	require.NoError(t, err)
	assert.Equal(t, `{"Proxies":0,"Endpoints":0,"Lines":0,"MostLines":0,"MostMessages":0,"Turns":0,"Standing":0,`+
		`"MostStanding":0,"Refused":{"a":1},"Listed":false,"Believed":{"Reports":0,"Odd":0,"SpanMs":0,"Listed":0},`+
		`"LastTurn":"0001-01-01T00:00:00Z"}`, string(text))
}
