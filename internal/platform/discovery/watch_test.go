package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// wholePath requests the whole list, changesPath the changes from a version.
const wholePath = "/catalog/members"

func changesPath(version int) string {
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
			[]string{listResponse(4, true, "x"), listResponse(5, false, "y"), listResponse(6, false)},
			[]int{4, 5},
			[]string{wholePath, changesPath(4), changesPath(5), changesPath(6)},
		},
		"whole after a gap": {
			[]string{listResponse(4, true, "x"), listResponse(9, true, "y")},
			[]int{4, 9},
			[]string{wholePath, changesPath(4), changesPath(9)},
		},
		"reset": {
			[]string{"reset", listResponse(4, true, "x"), "reset", listResponse(5, false, "y")},
			[]int{4, 5},
			[]string{wholePath, wholePath, changesPath(4), changesPath(4)},
		},
		"silent": {
			[]string{listResponse(4, true, "x"), "silent", listResponse(5, false, "y")},
			[]int{4, 5},
			[]string{wholePath, changesPath(4), changesPath(4)},
		},
		"changes where the whole list was asked for": {
			[]string{listResponse(4, false, "x"), listResponse(4, true, "x", "y"), listResponse(5, false, "y")},
			[]int{4, 4, 5},
			[]string{wholePath, wholePath, changesPath(4), changesPath(5)},
		},
		"a version gone back": {
			[]string{listResponse(9, true, "x"), listResponse(3, false, "y"), listResponse(3, true, "y"), listResponse(4, false, "z")},
			[]int{9, 3, 3, 4},
			[]string{wholePath, changesPath(9), wholePath, changesPath(3), changesPath(4)},
		},
		"a whole list of a version gone back": {
			[]string{listResponse(9, true, "x"), listResponse(3, true, "y")},
			[]int{9, 3},
			[]string{wholePath, changesPath(9), changesPath(3)},
		},
		"an empty whole list": {
			[]string{listResponse(4, true, "x"), listResponse(5, true)},
			[]int{4, 5},
			[]string{wholePath, changesPath(4), changesPath(5)},
		},
		"an answer that breaks half way": {
			[]string{"half", listResponse(4, true, "x")},
			[]int{4},
			[]string{wholePath, wholePath, changesPath(4)},
		},
		"an answer in single bytes": {
			[]string{"bytes" + listResponse(4, true, "x")},
			[]int{4},
			[]string{wholePath, changesPath(4)},
		},
		"no list": {
			[]string{`{"error":1}`, `<html>`, listResponse(4, true, "x")},
			[]int{4},
			[]string{wholePath, wholePath, wholePath},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedAgent(t, c.steps...)
			b := &inbox{}
			startClient(t, New(s.address(), true, b, zap.NewNop()))
			require.Eventually(t, func() bool { return len(s.requestedPaths()) > len(c.steps) }, 10*time.Second, time.Millisecond)
			assert.Equal(t, c.versions, b.versions())
			assert.Equal(t, c.paths, s.requestedPaths()[:len(c.paths)])
		})
	}
}
