package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// wholePath is the request path of the whole list.
const wholePath = "/catalog/members"

// changesPath returns the request path of the changes since a version.
func changesPath(version int) string {
	return fmt.Sprintf("/catalog/members?index=%d&wait=1000", version)
}

// TestWatch checks that each request asks for changes since the last received version, however the previous request
// ended, and that each list is posted once.
func TestWatch(t *testing.T) {
	for name, c := range map[string]struct {
		steps    []string
		versions []int    // of the posted lists
		paths    []string // of the requests
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
		"changes in place of the whole list": {
			[]string{listResponse(4, false, "x"), listResponse(4, true, "x", "y"), listResponse(5, false, "y")},
			[]int{4, 4, 5},
			[]string{wholePath, wholePath, changesPath(4), changesPath(5)},
		},
		"version decreases": {
			[]string{
				listResponse(9, true, "x"), listResponse(3, false, "y"), listResponse(3, true, "y"),
				listResponse(4, false, "z"),
			},
			[]int{9, 3, 3, 4},
			[]string{wholePath, changesPath(9), wholePath, changesPath(3), changesPath(4)},
		},
		"whole list with a lower version": {
			[]string{listResponse(9, true, "x"), listResponse(3, true, "y")},
			[]int{9, 3},
			[]string{wholePath, changesPath(9), changesPath(3)},
		},
		"empty whole list": {
			[]string{listResponse(4, true, "x"), listResponse(5, true)},
			[]int{4, 5},
			[]string{wholePath, changesPath(4), changesPath(5)},
		},
		"incomplete response": {
			[]string{"half", listResponse(4, true, "x")},
			[]int{4},
			[]string{wholePath, wholePath, changesPath(4)},
		},
		"response in single bytes": {
			[]string{"bytes" + listResponse(4, true, "x")},
			[]int{4},
			[]string{wholePath, changesPath(4)},
		},
		"response without a list": {
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
			require.Eventually(t, func() bool { return len(s.requestedPaths()) > len(c.steps) },
				10*time.Second, time.Millisecond)
			assert.Equal(t, c.versions, b.versions())
			assert.Equal(t, c.paths, s.requestedPaths()[:len(c.paths)])
		})
	}
}
