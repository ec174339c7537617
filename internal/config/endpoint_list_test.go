package config

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/wire"
)

// TestParseList checks the entries of valid lists, and the text and position of errors for invalid ones.
func TestParseList(t *testing.T) {
	for _, c := range []struct {
		name, text, want string
		entries          []wire.Entry
	}{
		{
			"two endpoints",
			"endpoint \"x:1\" {\n  zone = \"a\"\n}\n" +
				"endpoint \"y:1\" {\n  zone = \"b\"\n  phase = \"draining\"\n  started = \"2026-01-02T03:04:05Z\"\n}",
			"",
			[]wire.Entry{{Endpoint: "x:1", Zone: "a", Weight: 1}, {
				Endpoint: "y:1", Zone: "b", Weight: 1,
				Phase: wire.PhaseDraining, Started: uint64(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).UnixMilli()),
			}},
		},
		{"empty", "", "l.hcl:1:1: the list has no endpoints", nil},
		{"truncated", "endpoint \"x\" {\n  zone = \"a\"\n", "l.hcl:1:14: Unclosed configuration block", nil},
		{"empty address", "endpoint \"\" {\n  zone = \"a\"\n}", "l.hcl:1:13: name has 0 bytes", nil},
		{
			"address too long",
			"endpoint \"" + strings.Repeat("x", 256) + "\" {\n  zone = \"a\"\n}",
			"name has 256 bytes",
			nil,
		},
		{
			"weight above the maximum",
			"endpoint \"x\" {\n  zone = \"a\"\n  weight = 1e308\n}",
			"l.hcl:3:12: weight: 1e+308 is outside",
			nil,
		},
		{"weight below the minimum", "endpoint \"x\" {\n  zone = \"a\"\n  weight = 1e-300\n}", "weight 1e-300", nil},
		{"weight beyond float64", "endpoint \"x\" {\n  zone = \"a\"\n  weight = 1e400\n}", "l.hcl:3:12: weight:", nil},
		{"negative cell", "endpoint \"x\" {\n  zone = \"a\"\n  cell = -1\n}", "l.hcl:3:10: cell: -1 is outside", nil},
		{"cell beyond int", "endpoint \"x\" {\n  zone = \"a\"\n  cell = 1e300\n}", "l.hcl:3:10: cell:", nil},
		{"wrong type", "endpoint \"x\" {\n  zone = [1]\n}", "l.hcl:2:10: zone:", nil},
		{
			"unknown attribute",
			"endpoint \"x\" {\n  zone = \"a\"\n  zoen = 1\n}",
			"l.hcl:3:3: \"zoen\" is not known here",
			nil,
		},
		{"not UTF-8", "endpoint \"\xff\" {\n  zone = \"a\"\n}", "l.hcl:1:11: Invalid", nil},
		{"nested blocks", strings.Repeat("a {\n", 100000), "l.hcl:201:3: nested deeper than 200", nil},
		{"nested lists", "x = " + strings.Repeat("[", 100000), "l.hcl:1:205: nested deeper than 200", nil},
		{"closing brackets in strings only", "x = " + strings.Repeat("[\"]\",", 100000), "nested deeper than 200", nil},
		{"nested templates", "x = " + strings.Repeat("\"${", 100000), "nested deeper than 200", nil},
		{"too many operators", "x = " + strings.Repeat("!", 100000), "or more than 10000 operators", nil},
		{"too many conditionals", "x = " + strings.Repeat("a?b:", 100000), "or more than 10000 operators", nil},
		{"text too long", strings.Repeat("#", MaxBytes+1), "l.hcl:1:1: longer than 16777216 bytes", nil},
		{
			"duplicate endpoint",
			"endpoint \"x\" {\n  zone = \"a\"\n}\nendpoint \"x\" {\n  zone = \"a\"\n}",
			"l.hcl:4:14: duplicate endpoint \"x\"",
			nil,
		},
		{"malformed time", "endpoint \"x\" {\n  zone = \"a\"\n  started = \"noon\"\n}", "l.hcl:3:13: started:", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := ParseList("l.hcl", []byte(c.text))
			if c.want != "" {
				assert.ErrorContains(t, err, c.want)
				return
			}
			require.NoError(t, err)
			assert.True(t, l.Whole)
			assert.Equal(t, c.entries, l.Entries)
		})
	}
}

// FuzzParseList checks that no input crashes the parser, and that accepted lists can be encoded for the wire and are
// within the planner's limits.
func FuzzParseList(f *testing.F) {
	f.Add([]byte("version = 3\nendpoint \"x:1\" {\n  zone = \"a\"\n  weight = 2\n  started = \"2026-01-02T03:04:05Z\"\n}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := ParseList("f.hcl", text)
		if err != nil {
			return
		}
		_, err = wire.EncodeBody(l)
		assert.NoError(t, err)
		for _, e := range l.Entries {
			assert.True(t, e.Endpoint != "" && len(e.Endpoint) <= wire.MaxText && e.Weight >= 0 && e.Weight <= 1e9, "%+v", e)
		}
	})
}
