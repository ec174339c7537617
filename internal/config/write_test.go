package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestTextRoundTrip checks that Parse returns the settings that Text wrote, unchanged.
func TestTextRoundTrip(t *testing.T) {
	p := Defaults()
	p.Zones = []string{"a", "b"}
	p.Machines = []string{"std"}
	p.Zone = "b"
	p.ListAddress = "127.0.0.1:1"
	p.Plain = true
	p.Peers = map[string]string{"0": "127.0.0.1:2"}
	p.Rank = 1
	p.Instances = 2
	p.Kinds = []RequestClass{{
		Name:           "book",
		ResponseTarget: 300 * time.Millisecond,
		ClientTimeout:  time.Second,
		Payoff:         2.5,
		LatePayoff:     0.5,
		Repeats:        "uniqued",
		Group:          "zone",
		Window:         time.Minute,
		OnlyZones:      []string{"b"},
		Writes:         true,
	}}
	back, err := Parse("text", p.Text())
	require.NoError(t, err, "%s", p.Text())
	assert.Equal(t, &p, back)
}
