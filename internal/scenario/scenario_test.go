package scenario

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// small is a valid scenario of 14 lines.
const small = `zones    = ["a", "b"]
machines = ["std"]
req_kind "read" {}
fleet {
  pilots  = ["a", "b"]
  proxies = ["a", "b"]
  times   = 3
}
demand "read" {}
endpoints "std" {
  zone = "a"
}
trouble "hang" { at = "20s" }
trouble "crash" { at = "10s" }
`

// TestNamesLoad checks that all embedded scenarios are valid.
func TestNamesLoad(t *testing.T) {
	names := Names()
	require.NotEmpty(t, names)
	for _, name := range names {
		s, err := Load(name)
		require.NoError(t, err, name)
		assert.Equal(t, name, s.Name)
	}
}

// TestLoadFile checks that a path loads a file, and that an unknown name gives an error that wraps os.ErrNotExist.
func TestLoadFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "small.hcl")
	require.NoError(t, os.WriteFile(file, []byte(small), 0o600))
	s, err := Load(file)
	require.NoError(t, err)
	assert.Equal(t, "small", s.Name)

	_, err = Load("no-such-scenario")
	assert.ErrorIs(t, err, os.ErrNotExist)
	assert.ErrorContains(t, err, `"no-such-scenario" is neither an embedded scenario`)
}

// TestRead checks the fields that Read derives from the settings of a file.
func TestRead(t *testing.T) {
	s, err := Read("days/small.hcl", []byte(small))
	require.NoError(t, err)
	assert.Equal(t, []string{"a", "b", "a", "b", "a", "b"}, s.ProxyZones)
	assert.Equal(t, 6, s.Proxies)
	assert.Equal(t, 2, s.Instances)
	assert.Equal(t, []string{"crash", "hang"}, []string{s.Faults[0].Type, s.Faults[1].Type}, "sorted by time")
}

// TestInherit checks that a scenario inherits everything from another one except its faults.
func TestInherit(t *testing.T) {
	base, err := Load("bad-day")
	require.NoError(t, err)
	require.NotEmpty(t, base.Faults)
	s, err := Read("other.hcl", []byte("like = \"bad-day\"\nlength = \"5s\"\n"))
	require.NoError(t, err)
	assert.Equal(t, "other", s.Name)
	assert.Equal(t, "bad-day", s.Base)
	assert.Equal(t, 5*time.Second, s.Length)
	assert.Empty(t, s.About)
	assert.Empty(t, s.Faults)
	assert.Equal(t, base.Common, s.Common)
	assert.Equal(t, base.ProxyZones, s.ProxyZones)
	assert.Equal(t, base.Groups, s.Groups)
	assert.Equal(t, base.Demands, s.Demands)
}

// TestReadErrors checks the text and the position of errors.
func TestReadErrors(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"empty", "", `s.hcl:1:1: "zones" is missing`},
		{"unknown base", `like = "no-such"`, `s.hcl:1:8: like: "no-such" is none of`},
		{"no fleet", "zones = [\"a\"]\nmachines = []\n", "a scenario needs proxies, endpoints and demand"},
		{"unknown attribute", small + `zone = "c"`, `s.hcl:15:1: "zone" is not known here`},
		{
			"unknown zone of a proxy",
			strings.Replace(small, `proxies = ["a", "b"]`, `proxies = ["c"]`, 1),
			`"c" is not a zone of this scenario`,
		},
		{"unknown zone of a group", small + `endpoints "std" { zone = "c" }`, `s.hcl:15:26: zone: "c" is none of a, b`},
		{"unknown class", small + `demand "write" {}`, `demand for "write", which is not a req_kind`},
		{"unknown fault", small + `trouble "flood" {}`, `unknown trouble "flood", want one of hang,`},
		{
			"fault after the end",
			small + `trouble "hang" { at = "41s" }`,
			`trouble "hang" starts after the end of the scenario`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Read("s.hcl", []byte(c.text))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// TestTargets checks which names a fault affects, and how many.
func TestTargets(t *testing.T) {
	names := []string{"a-1", "a-2", "a-3", "b-1"}
	for _, c := range []struct {
		name  string
		fault Fault
		among []string
		count int
	}{
		{"all", Fault{}, names, 4},
		{"by pattern", Fault{TargetPatterns: []string{"a-*"}}, names[:3], 3},
		{"by name or pattern", Fault{TargetPatterns: []string{"b-1", "*-3"}}, names[2:], 2},
		{"malformed pattern", Fault{TargetPatterns: []string{"["}}, nil, 0},
		{"fraction, rounded up", Fault{TargetPatterns: []string{"a-*"}, Fraction: 0.5}, names[:3], 2},
		{"number", Fault{Count: 3}, names, 3},
		{"number before fraction", Fault{Count: 1, Fraction: 1}, names, 1},
		{"number beyond all", Fault{Count: 9}, names, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			targets := c.fault.Targets(names, rand.New(rand.NewPCG(1, 2)))
			assert.Len(t, targets, c.count)
			assert.Subset(t, c.among, targets)
			again := c.fault.Targets(names, rand.New(rand.NewPCG(1, 2)))
			assert.Equal(t, targets, again, "the same seed must select the same names")
		})
	}
}

// TestFaultString checks the one-line description of a fault.
func TestFaultString(t *testing.T) {
	fault := Fault{Type: "zone_loss", TargetPatterns: []string{"x", "y"}, Zone: "a", Class: "read", Duration: 2 * time.Second}
	assert.Equal(t, "zone_loss x,y a read for 2s", fault.String())
	assert.Equal(t, "hang", Fault{Type: "hang"}.String())
}
