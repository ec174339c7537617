package record

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestReplayStart checks the turn at which a replay starts. In the arguments of life, a negative time stands for a
// checkpoint at its absolute value.
func TestReplayStart(t *testing.T) {
	life := func(times ...float64) (turns []Turn) {
		for _, at := range times {
			turn := Turn{AtMs: max(at, -at)}
			if at < 0 {
				turn.Inputs = []Input{{Kind: KindCheckpoint}}
			}
			turns = append(turns, turn)
		}
		return turns
	}
	for _, c := range []struct {
		name  string
		turns []Turn
		tail  float64
		want  int
	}{
		{"no turns", nil, 60000, 0},
		{"a short life", life(0, 1000, 2000), 60000, 0},
		{"a long life", life(0, -15000, -30000, -45000, 50000), 20000, 2},
		{"a tail longer than the stored turns", life(-90000, -105000, 110000), 60000, 0},
		{"after a gap, without a checkpoint", life(90000, 91000), 60000, 2},
		{"after a gap, with a checkpoint", life(90000, -91000, 92000), 60000, 1},
	} {
		assert.Equal(t, c.want, ReplayStart(c.turns, c.tail), c.name)
	}
}

// TestReadTail guards the memory use of a recovery: of a long life, ReadTail must return exactly the turns that
// ReplayStart selects from the whole life.
func TestReadTail(t *testing.T) {
	s := openStore(t, t.TempDir())
	defer closeStore(t, s)
	w, err := NewWriter(s, Life{ID: "a"}, Limits{SegmentBytes: 1 << 12, CommitInterval: time.Hour}, zap.NewNop())
	require.NoError(t, err)
	var all []Turn
	var encoded []byte
	for i := range 3000 {
		turn := Turn{AtMs: float64(i) * 200}
		if i > 0 && i%75 == 0 {
			turn.Inputs = []Input{{Kind: KindCheckpoint}}
		}
		all = append(all, turn)
		encoded, err = AppendTurn(encoded, &turn)
		require.NoError(t, err)
		if i%50 == 49 {
			w.commit(encoded)
			encoded = encoded[:0]
		}
	}
	for _, tail := range []float64{0, 1000, 60_000, 1e9} {
		turns, damaged, err := ReadTail(s, "a", tail)
		require.NoError(t, err)
		assert.False(t, damaged)
		assert.Equal(t, all[ReplayStart(all, tail):], turns, "%g ms", tail)
	}
}
