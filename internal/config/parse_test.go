package config

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// validSettings contains all required settings. It has 11 lines: the tests append text and check the line number of
// errors.
const validSettings = `zones    = ["a", "b"]
machines = ["std", "big"]
req_kind "read" {}
req_kind "book" {
  only_machines = ["big"]
  repeats       = "non-replayable"
}
list {
  file = "endpoints.hcl"
}
keys { plain = true }
`

// TestParseErrors checks the text and position of errors for invalid settings.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"syntax error", `zones = [`, "f.hcl:1:10"},
		{"missing attribute", strings.Replace(validSettings, "zones ", "zone ", 1), `"zones" is missing`},
		{"unknown attribute", validSettings + `pilot { raank = 1 }`, `f.hcl:12:9: "raank" is not known here`},
		{"unknown block", validSettings + `pilots {}`, `f.hcl:12:1: block "pilots" is not known here`},
		{"duplicate block", validSettings + "rules {}\nrules {}", `f.hcl:13:1: too many "rules" blocks`},
		{"block without its label", validSettings + `req_kind {}`, `f.hcl:12:1: block "req_kind" must have 1 labels`},
		{
			"number below its minimum",
			validSettings + "channel {\n  lines_per_s = 0\n}",
			"f.hcl:13:17: lines_per_s: 0 is outside",
		},
		{
			"duration without a unit",
			validSettings + `rules { drain_grace = "2" }`,
			`f.hcl:12:23: drain_grace: must be a duration such as`,
		},
		{
			"string that is not in its list",
			validSettings + `proxies { pick = "any" }`,
			`f.hcl:12:18: pick: "any" is none of`,
		},
		{"string for a number", validSettings + `pilot { rank = "first" }`, "f.hcl:12:16: rank: a number is required"},
		{"variable", validSettings + `pilot { rank = first }`, "f.hcl:12:16: rank:"},
		{
			"unlisted machine type",
			strings.Replace(validSettings, `["big"]`, `["bigger"]`, 1),
			`only_machines: "bigger" is not listed`,
		},
		{
			"duplicate request class",
			validSettings + `req_kind "read" {}`,
			`f.hcl:12:17: duplicate req_kind "read"`,
		},
		{
			"no request class",
			"zones = [\"a\"]\nmachines = []\nlist { file = \"x\" }\nkeys { plain = true }\n",
			"no req_kind block",
		},
		{
			"unlisted zone of the pilot",
			validSettings + `pilot { zone = "c" }`,
			`the pilot's zone "c" is not among the zones`,
		},
		{
			"two sources of the endpoint list",
			strings.Replace(validSettings, "file =", "\n  address = \"x\"\n  file =", 1),
			"one of file and address",
		},
		{"rank beyond the instances", validSettings + `pilot { rank = 1 }`, "rank 1 of 1 instances"},
		{"neither keys nor plain", strings.Replace(validSettings, "plain = true", "", 1), "or plain = true"},
		{
			"plain on another address than loopback",
			validSettings + `pilot { listen = "0.0.0.0:1" }`,
			"0.0.0.0:1 is not a loopback address",
		},
		{"default retry of a class that is not idempotent", validSettings + `proxies { try_again = 2 }
req_kind "pay" { repeats = "non-replayable" }`, `repeat requests of class "pay"`},
		{"default retry beyond the group of the idempotency keys", validSettings + `proxies { try_again = 2 }
req_kind "pay" {
  repeats = "uniqued"
  group   = "cell"
}`, `repeat requests of class "pay"`},
		{"default retry after the window of the idempotency keys", validSettings + `proxies { try_again = 2 }
req_kind "pay" {
  repeats        = "uniqued"
  client_timeout = "6s"
}`, `repeat requests of class "pay"`},
		{
			"duplicate zone",
			strings.Replace(validSettings, `["a", "b"]`, `["a", "a", "b"]`, 1),
			`zones: duplicate name "a"`,
		},
		{"empty zone name", strings.Replace(validSettings, `["a", "b"]`, `["a", ""]`, 1), "name has 0 bytes"},
		{"name too long", validSettings + `pilot { name = "` + strings.Repeat("x", 256) + `" }`, "name has 256 bytes"},
		{
			"list too long",
			strings.Replace(validSettings, `["a", "b"]`, `["a"`+strings.Repeat(`, "z"`, 32768)+"]", 1),
			"f.hcl:1:12: zones: 32769 elements",
		},
		{
			"more tables than table numbers",
			strings.Replace(validSettings, `["a", "b"]`, zoneList(4000), 1) + requestClassBlocks(),
			"need 124000 tables",
		},
		{
			"number above the default maximum",
			validSettings + `channel { backlog = 1e308 }`,
			"f.hcl:12:21: backlog: 1e+308 is outside",
		},
		{"number beyond float64", validSettings + `channel { backlog = 1e400 }`, "f.hcl:12:21: backlog:"},
		{
			"duration beyond its type",
			validSettings + `rules { cold = "1e30s" }`,
			"f.hcl:12:16: cold: must be a duration such as",
		},
		{"negative duration", validSettings + `rules { cold = "-1s" }`, "f.hcl:12:16: cold: -1 is outside"},
		{"nested too deeply", validSettings + strings.Repeat("pilot {\n", 100000), "nested deeper than"},
		{"not UTF-8", validSettings + "pilot { name = \"\xff\" }", "f.hcl:12:17: Invalid"},
		{"empty", "", `f.hcl:1:1: "zones" is missing`},
		{
			"peer whose key is not a rank",
			validSettings + `peers { addresses = { x = "127.0.0.1:1" } }`,
			`"x" is not a rank`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f.hcl", []byte(c.text))
			assert.ErrorContains(t, err, c.want)
		})
	}
	_, err := ReadPilot(filepath.Join(t.TempDir(), "none.hcl"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// zoneList returns an HCL list of n zone names.
func zoneList(n int) string {
	var names []string
	for i := range n {
		names = append(names, strconv.Quote("z"+strconv.Itoa(i)))
	}
	return "[" + strings.Join(names, ", ") + "]"
}

// requestClassBlocks returns 29 req_kind blocks, which with the two of validSettings make the maximum of 31 classes.
func requestClassBlocks() (text string) {
	for i := range 29 {
		text += "req_kind \"k" + strconv.Itoa(i) + "\" {}\n"
	}
	return text
}

// TestParseTruncated checks that settings are rejected when they are truncated at any byte.
func TestParseTruncated(t *testing.T) {
	for n := range len(validSettings) - 1 {
		_, err := Parse("f.hcl", []byte(validSettings[:n]))
		assert.ErrorContains(t, err, "f.hcl:", "after %d bytes", n)
	}
}

// FuzzParse checks that no input crashes the parser, and that accepted settings have at least one request class.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := Parse("f.hcl", text)
		if err == nil {
			assert.NotEmpty(t, p.Kinds)
		}
	})
}
