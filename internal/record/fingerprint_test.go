package record

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/internal/controller"
	"indigousher/planner"
)

// TestFingerprint checks that equal planners have equal fingerprints and that other decisions give another one.
func TestFingerprint(t *testing.T) {
	shipped := func(seed int64, settings map[string]any) controller.Decider { return planner.New(seed, settings) }
	assert.Equal(t, Fingerprint(shipped), Fingerprint(shipped))
	other := func(seed int64, settings map[string]any) controller.Decider {
		settings["cross_zone"] = 0.3
		return planner.New(seed, settings)
	}
	assert.NotEqual(t, Fingerprint(shipped), Fingerprint(other))
}
