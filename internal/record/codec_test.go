package record

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestTurnsRoundTrip guards against an encoding that loses data: every kind of input must decode to what was encoded.
func TestTurnsRoundTrip(t *testing.T) {
	b, err := AppendTurn(nil, sampleTurn(1))
	require.NoError(t, err)
	b, err = AppendTurn(b, sampleTurn(2.5))
	require.NoError(t, err)
	got, err := DecodeTurns(b)
	require.NoError(t, err)
	assert.Equal(t, []Turn{*sampleTurn(1), *sampleTurn(2.5)}, got)
	for n := range b { // truncated data gives whole turns or ErrCorrupt
		_, err := DecodeTurns(b[:n])
		if n > 0 && err != nil {
			assert.ErrorIs(t, err, ErrCorrupt)
		}
	}
}

// FuzzTurns guards against damaged data that makes DecodeTurns panic. Turns that can be decoded must encode again.
func FuzzTurns(f *testing.F) {
	b, err := AppendTurn(nil, sampleTurn(1))
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		turns, err := DecodeTurns(b)
		if err != nil {
			return
		}
		for i := range turns {
			_, err := AppendTurn(nil, &turns[i])
			assert.NoError(t, err)
		}
	})
}
