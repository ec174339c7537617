package record

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/brain"
	"indigousher/internal/pilot"
)

// TestFingerprint shows that modules are told apart by what they do.
func TestFingerprint(t *testing.T) {
	module := func(seed int64, terms map[string]any) pilot.Decider { return brain.New(seed, terms) }
	assert.Equal(t, Fingerprint(module), Fingerprint(module))
	other := func(seed int64, terms map[string]any) pilot.Decider {
		terms["cross_zone"] = 0.3
		return brain.New(seed, terms)
	}
	assert.NotEqual(t, Fingerprint(module), Fingerprint(other))
}
