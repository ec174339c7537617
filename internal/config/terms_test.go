package config

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/wire"
)

const good = `zones    = ["a", "b"]
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

// TestText guards the way back: terms that were written are read as they were.
func TestText(t *testing.T) {
	p := Defaults()
	p.Zones, p.Machines, p.Zone, p.ListAddress, p.Plain = []string{"a", "b"}, []string{"std"}, "b", "127.0.0.1:1", true
	p.Peers, p.Rank, p.Instances = map[string]string{"0": "127.0.0.1:2"}, 1, 2
	p.Kinds = []RequestClass{{Name: "book", Repeats: "uniqued", Group: "zone", OnlyZones: []string{"b"}, Writes: true,
		ResponseTarget: 300 * time.Millisecond, ClientTimeout: time.Second, Payoff: 2.5, LatePayoff: 0.5, Window: time.Minute}}
	back, err := Parse("text", p.Text())
	require.NoError(t, err, "%s", p.Text())
	assert.Equal(t, &p, back)
}

func TestComplaints(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"not HCL", `zones = [`, "f.hcl:1:10"},
		{"zones are missing", strings.Replace(good, "zones ", "zone ", 1), `"zones" is missing`},
		{"a name that is not known", good + `pilot { raank = 1 }`, `f.hcl:12:9: "raank" is not known here`},
		{"a block that is not known", good + `pilots {}`, `f.hcl:12:1: block "pilots" is not known here`},
		{"a block twice", good + "rules {}\nrules {}", `f.hcl:13:1: "rules" stands here once too often`},
		{"a block without its name", good + `req_kind {}`, `f.hcl:12:1: "req_kind" takes 1 names`},
		{"a number below its range", good + "channel {\n  lines_per_s = 0\n}", "f.hcl:13:17: lines_per_s: 0 is outside"},
		{"a span without a unit", good + `rules { drain_grace = "2" }`, `f.hcl:12:23: drain_grace: a span such as`},
		{"a word that is none of its list", good + `proxies { pick = "any" }`, `f.hcl:12:18: pick: "any" is none of`},
		{"a text for a number", good + `pilot { rank = "first" }`, "f.hcl:12:16: rank: a number is required"},
		{"a variable", good + `pilot { rank = first }`, "f.hcl:12:16: rank:"},
		{"a machine that is not listed", strings.Replace(good, `["big"]`, `["bigger"]`, 1), `only_machines: "bigger" is not listed`},
		{"a req kind twice", good + `req_kind "read" {}`, `f.hcl:12:17: req_kind "read" stands here twice`},
		{"no req kind", "zones = [\"a\"]\nmachines = []\nlist { file = \"x\" }\nkeys { plain = true }\n", "no req_kind is told"},
		{"a zone of its own", good + `pilot { zone = "c" }`, `the pilot's zone "c" is not among the zones`},
		{"two sources of the list", strings.Replace(good, "file =", "\n  address = \"x\"\n  file =", 1), "one of file and address"},
		{"a rank too high", good + `pilot { rank = 1 }`, "rank 1 of 1 instances"},
		{"neither keys nor plain", strings.Replace(good, "plain = true", "", 1), "or plain = true"},
		{"plain beyond loopback", good + `pilot { listen = "0.0.0.0:1" }`, "0.0.0.0:1 is no loopback address"},
		{"a usual repeat of what may not be repeated", good + `proxies { try_again = 2 }
req_kind "pay" { repeats = "non-replayable" }`, `repeat "pay" by themselves`},
		{"a zone twice", strings.Replace(good, `["a", "b"]`, `["a", "a", "b"]`, 1), `zones: "a" stands here twice`},
		{"a zone without a name", strings.Replace(good, `["a", "b"]`, `["a", ""]`, 1), "a name of 0 bytes"},
		{"a long name", good + `pilot { name = "` + strings.Repeat("x", 256) + `" }`, "a name of 256 bytes"},
		{"a list without an end", strings.Replace(good, `["a", "b"]`, `["a"`+strings.Repeat(`, "z"`, 32768)+"]", 1), "f.hcl:1:12: zones: 32769 elements"},
		{"more tables than there are numbers", strings.Replace(good, `["a", "b"]`, manyZones(4000), 1) + manyKinds(), "want 124000 tables"},
		{"a number without an end", good + `channel { backlog = 1e308 }`, "f.hcl:12:21: backlog: 1e+308 is outside"},
		{"beyond a float", good + `channel { backlog = 1e400 }`, "f.hcl:12:21: backlog:"},
		{"a span without an end", good + `rules { cold = "1e30s" }`, "f.hcl:12:16: cold: a span such as"},
		{"a negative span", good + `rules { cold = "-1s" }`, "f.hcl:12:16: cold: -1 is outside"},
		{"nested without an end", good + strings.Repeat("pilot {\n", 100000), "nested deeper than"},
		{"not UTF-8", good + "pilot { name = \"\xff\" }", "f.hcl:12:17: Invalid"},
		{"empty", "", `f.hcl:1:1: "zones" is missing`},
		{"a peer that is no rank", good + `peers { addresses = { x = "127.0.0.1:1" } }`, `"x" is no rank`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f.hcl", []byte(c.text))
			assert.ErrorContains(t, err, c.want)
		})
	}
	_, err := ReadPilot(filepath.Join(t.TempDir(), "none.hcl"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

func manyZones(n int) string {
	var names []string
	for i := range n {
		names = append(names, strconv.Quote("z"+strconv.Itoa(i)))
	}
	return "[" + strings.Join(names, ", ") + "]"
}

func manyKinds() (text string) {
	for i := range 29 {
		text += "req_kind \"k" + strconv.Itoa(i) + "\" {}\n"
	}
	return text
}

// TestCutOff guards against terms that are cut off anywhere: they are read as a whole or not at all.
func TestCutOff(t *testing.T) {
	for n := range len(good) - 1 {
		_, err := Parse("f.hcl", []byte(good[:n]))
		assert.ErrorContains(t, err, "f.hcl:", "after %d bytes", n)
	}
}

func TestForModule(t *testing.T) {
	p, err := Parse("f.hcl", []byte(good))
	require.NoError(t, err)
	m := p.PlannerSettings(0)
	kinds := m["req_kinds"].([]any)
	assert.Equal(t, []any{1.0}, kinds[1].(map[string]any)["only_machines"])
	assert.Equal(t, 1000.0, kinds[0].(map[string]any)["response_target"])
	assert.Equal(t, 2000.0, m["drain_grace"])
	assert.Equal(t, "a", p.Zone)
}

// TestReload guards what may change while a pilot runs, and that the module hears of no more than that.
func TestReload(t *testing.T) {
	old, err := Parse("f.hcl", []byte(good))
	require.NoError(t, err)
	now, err := Parse("f.hcl", []byte(good+"channel { lines_per_s = 99 }\nrules { cold = \"9s\" }\npilot { listen = \"127.0.0.1:9\" }"))
	require.NoError(t, err)
	changed, restart := Reload(old, now)
	assert.Equal(t, []string{"LinesPerS", "Cold"}, changed)
	assert.Equal(t, []string{"Listen"}, restart)
	merged := Merge(old, now)
	assert.Equal(t, 99.0, merged.LinesPerS)
	assert.Equal(t, old.Listen, merged.Listen)
	assert.Equal(t, 9000.0, now.ReloadableSettings()["cold"])
	assert.NotContains(t, now.ReloadableSettings(), "req_kinds")
}

func TestParseList(t *testing.T) {
	for _, c := range []struct {
		name, text, want string
		entries          []wire.Entry
	}{
		{"two", "endpoint \"x:1\" {\n  zone = \"a\"\n}\nendpoint \"y:1\" {\n  zone = \"b\"\n  phase = \"draining\"\n  started = \"2026-01-02T03:04:05Z\"\n}",
			"", []wire.Entry{{Endpoint: "x:1", Zone: "a", Weight: 1}, {Endpoint: "y:1", Zone: "b", Weight: 1,
				Phase: wire.PhaseDraining, Started: uint64(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).UnixMilli())}}},
		{"empty", "", "l.hcl:1:1: no endpoint stands here", nil},
		{"cut off", "endpoint \"x\" {\n  zone = \"a\"\n", "l.hcl:1:14: Unclosed configuration block", nil},
		{"no name", "endpoint \"\" {\n  zone = \"a\"\n}", "l.hcl:1:13: a name of 0 bytes", nil},
		{"a long name", "endpoint \"" + strings.Repeat("x", 256) + "\" {\n  zone = \"a\"\n}", "a name of 256 bytes", nil},
		{"a huge weight", "endpoint \"x\" {\n  zone = \"a\"\n  weight = 1e308\n}", "l.hcl:3:12: weight: 1e+308 is outside", nil},
		{"a weight of next to nothing", "endpoint \"x\" {\n  zone = \"a\"\n  weight = 1e-300\n}", "weight 1e-300", nil},
		{"infinite", "endpoint \"x\" {\n  zone = \"a\"\n  weight = 1e400\n}", "l.hcl:3:12: weight:", nil},
		{"a negative cell", "endpoint \"x\" {\n  zone = \"a\"\n  cell = -1\n}", "l.hcl:3:10: cell: -1 is outside", nil},
		{"a cell beyond", "endpoint \"x\" {\n  zone = \"a\"\n  cell = 1e300\n}", "l.hcl:3:10: cell:", nil},
		{"wrong type", "endpoint \"x\" {\n  zone = [1]\n}", "l.hcl:2:10: zone:", nil},
		{"unknown", "endpoint \"x\" {\n  zone = \"a\"\n  zoen = 1\n}", "l.hcl:3:3: \"zoen\" is not known here", nil},
		{"not UTF-8", "endpoint \"\xff\" {\n  zone = \"a\"\n}", "l.hcl:1:11: Invalid", nil},
		{"nested blocks", strings.Repeat("a {\n", 100000), "l.hcl:201:3: nested deeper than 200", nil},
		{"nested lists", "x = " + strings.Repeat("[", 100000), "l.hcl:1:205: nested deeper than 200", nil},
		{"closed in texts", "x = " + strings.Repeat("[\"]\",", 100000), "nested deeper than 200", nil},
		{"nested templates", "x = " + strings.Repeat("\"${", 100000), "nested deeper than 200", nil},
		{"signs without an end", "x = " + strings.Repeat("!", 100000), "or more than 10000 signs", nil},
		{"questions without an end", "x = " + strings.Repeat("a?b:", 100000), "or more than 10000 signs", nil},
		{"long", strings.Repeat("#", MostBytes+1), "l.hcl:1:1: longer than 16777216 bytes", nil},
		{"twice", "endpoint \"x\" {\n  zone = \"a\"\n}\nendpoint \"x\" {\n  zone = \"a\"\n}", "l.hcl:4:14: endpoint \"x\" stands here twice", nil},
		{"a bad time", "endpoint \"x\" {\n  zone = \"a\"\n  started = \"noon\"\n}", "l.hcl:3:13: started:", nil},
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

// FuzzParseList guards the reader of lists against texts that crash it, and what it lets through against what proxies
// would not bear.
func FuzzParseList(f *testing.F) {
	f.Add([]byte("version = 3\nendpoint \"x:1\" {\n  zone = \"a\"\n  weight = 2\n  started = \"2026-01-02T03:04:05Z\"\n}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := ParseList("f.hcl", text)
		if err != nil {
			return
		}
		_, err = wire.Body(l)
		assert.NoError(t, err)
		for _, e := range l.Entries {
			assert.True(t, e.Endpoint != "" && len(e.Endpoint) <= wire.MaxText && e.Weight >= 0 && e.Weight <= 1e9, "%+v", e)
		}
	})
}

// FuzzParse guards the reader of terms against texts that crash it.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := Parse("f.hcl", text)
		if err == nil {
			assert.NotEmpty(t, p.Kinds)
		}
	})
}
