package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestWatch guards that the version held is asked from, whatever befalls a call, and that each list is told once.
func TestWatch(t *testing.T) {
	for name, c := range map[string]struct {
		steps    []string
		versions []int
		paths    []string
	}{
		"whole, then changes": {[]string{list(4, true, "x"), list(5, false, "y"), list(6, false)}, []int{4, 5},
			[]string{"/catalog/members", "/catalog/members?index=4&wait=1000", "/catalog/members?index=5&wait=1000", "/catalog/members?index=6&wait=1000"}},
		"whole after a gap": {[]string{list(4, true, "x"), list(9, true, "y")}, []int{4, 9},
			[]string{"/catalog/members", "/catalog/members?index=4&wait=1000", "/catalog/members?index=9&wait=1000"}},
		"reset": {[]string{"reset", list(4, true, "x"), "reset", list(5, false, "y")}, []int{4, 5},
			[]string{"/catalog/members", "/catalog/members", "/catalog/members?index=4&wait=1000", "/catalog/members?index=4&wait=1000"}},
		"silent": {[]string{list(4, true, "x"), "silent", list(5, false, "y")}, []int{4, 5}, []string{"/catalog/members", "/catalog/members?index=4&wait=1000", "/catalog/members?index=4&wait=1000"}},
		"changes where the whole list was asked for": {[]string{list(4, false, "x"), list(4, true, "x", "y"), list(5, false, "y")}, []int{4, 4, 5},
			[]string{"/catalog/members", "/catalog/members", "/catalog/members?index=4&wait=1000", "/catalog/members?index=5&wait=1000"}},
		"a version gone back": {[]string{list(9, true, "x"), list(3, false, "y"), list(3, true, "y"), list(4, false, "z")}, []int{9, 3, 3, 4},
			[]string{"/catalog/members", "/catalog/members?index=9&wait=1000", "/catalog/members", "/catalog/members?index=3&wait=1000", "/catalog/members?index=4&wait=1000"}},
		"a whole list of a version gone back": {[]string{list(9, true, "x"), list(3, true, "y")}, []int{9, 3},
			[]string{"/catalog/members", "/catalog/members?index=9&wait=1000", "/catalog/members?index=3&wait=1000"}},
		"an empty whole list":            {[]string{list(4, true, "x"), list(5, true)}, []int{4, 5}, []string{"/catalog/members", "/catalog/members?index=4&wait=1000", "/catalog/members?index=5&wait=1000"}},
		"an answer that breaks half way": {[]string{"half", list(4, true, "x")}, []int{4}, []string{"/catalog/members", "/catalog/members", "/catalog/members?index=4&wait=1000"}},
		"an answer in single bytes":      {[]string{"bytes" + list(4, true, "x")}, []int{4}, []string{"/catalog/members", "/catalog/members?index=4&wait=1000"}},
		"no list":                        {[]string{`{"error":1}`, `<html>`, list(4, true, "x")}, []int{4}, []string{"/catalog/members", "/catalog/members", "/catalog/members"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, b := newScriptedAgent(t, c.steps...), &inbox{}
			run(t, New(s.l.Addr().String(), true, b, zap.NewNop()))
			require.Eventually(t, func() bool { return len(s.asked()) > len(c.steps) }, 10*time.Second, time.Millisecond)
			assert.Equal(t, c.versions, b.versions())
			assert.Equal(t, c.paths, s.asked()[:len(c.paths)])
		})
	}
}
