package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// wholePath requests the whole list, changesFrom the changes from a version.
const wholePath = "/catalog/members"

func changesFrom(version int) string {
	return fmt.Sprintf("/catalog/members?index=%d&wait=1000", version)
}

// TestWatch checks that each call starts from the current version, however the one before ended, and that each list
// is posted once.
func TestWatch(t *testing.T) {
	for name, c := range map[string]struct {
		steps    []string
		versions []int    // handed over
		paths    []string // asked for
	}{
		"whole, then changes": {
			[]string{list(4, true, "x"), list(5, false, "y"), list(6, false)},
			[]int{4, 5},
			[]string{wholePath, changesFrom(4), changesFrom(5), changesFrom(6)},
		},
		"whole after a gap": {
			[]string{list(4, true, "x"), list(9, true, "y")},
			[]int{4, 9},
			[]string{wholePath, changesFrom(4), changesFrom(9)},
		},
		"reset": {
			[]string{"reset", list(4, true, "x"), "reset", list(5, false, "y")},
			[]int{4, 5},
			[]string{wholePath, wholePath, changesFrom(4), changesFrom(4)},
		},
		"silent": {
			[]string{list(4, true, "x"), "silent", list(5, false, "y")},
			[]int{4, 5},
			[]string{wholePath, changesFrom(4), changesFrom(4)},
		},
		"changes where the whole list was asked for": {
			[]string{list(4, false, "x"), list(4, true, "x", "y"), list(5, false, "y")},
			[]int{4, 4, 5},
			[]string{wholePath, wholePath, changesFrom(4), changesFrom(5)},
		},
		"a version gone back": {
			[]string{list(9, true, "x"), list(3, false, "y"), list(3, true, "y"), list(4, false, "z")},
			[]int{9, 3, 3, 4},
			[]string{wholePath, changesFrom(9), wholePath, changesFrom(3), changesFrom(4)},
		},
		"a whole list of a version gone back": {
			[]string{list(9, true, "x"), list(3, true, "y")},
			[]int{9, 3},
			[]string{wholePath, changesFrom(9), changesFrom(3)},
		},
		"an empty whole list": {
			[]string{list(4, true, "x"), list(5, true)},
			[]int{4, 5},
			[]string{wholePath, changesFrom(4), changesFrom(5)},
		},
		"an answer that breaks half way": {
			[]string{"half", list(4, true, "x")},
			[]int{4},
			[]string{wholePath, wholePath, changesFrom(4)},
		},
		"an answer in single bytes": {
			[]string{"bytes" + list(4, true, "x")},
			[]int{4},
			[]string{wholePath, changesFrom(4)},
		},
		"no list": {
			[]string{`{"error":1}`, `<html>`, list(4, true, "x")},
			[]int{4},
			[]string{wholePath, wholePath, wholePath},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedAgent(t, c.steps...)
			b := &inbox{}
			run(t, New(s.address(), true, b, zap.NewNop()))
			require.Eventually(t, func() bool { return len(s.asked()) > len(c.steps) }, 10*time.Second, time.Millisecond)
			assert.Equal(t, c.versions, b.versions())
			assert.Equal(t, c.paths, s.asked()[:len(c.paths)])
		})
	}
}
