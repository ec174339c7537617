package simulator

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

const spawn = `{"kind":"spawn","i":"pilot/0","rng_seed":5,"setup":{"dcs":["a","b"],"kinds":["m"],"instances":1,"zone":"b",` +
	`"profiles":[{"name":"read","aim":1000000000,"importance":2,"only_kinds":["m"]}],"extra":{"envelope":4}}},` +
	`{"kind":"discovery","i":"pilot/0","mode":"warm_copy","hosts":[{"endpoint":"x:1","zone":"a","generation_hw":"m","mode":"live","heft":2}]}`

func TestServe(t *testing.T) {
	for name, c := range map[string]struct{ in, want, fails string }{
		"empty batch":   {`{"sim_time":5,"batch":3,"happened":[]}`, `{"batch":3,"orders":[]}`, ""},
		"lays a table":  {`{"sim_time":5,"batch":1,"happened":[` + spawn + `,{"kind":"stream_up","i":"pilot/0","edge":4,"zone":"a","heft":1}]}`, `"endpoint":"x:1"`, ""},
		"exact timer":   {`{"sim_time":1000000007,"batch":1,"happened":[` + spawn + `]}`, `"due_at":1500000007`, ""},
		"binds a proxy": {`{"sim_time":5,"batch":1,"happened":[` + spawn + `,{"kind":"stream_up","i":"pilot/0","edge":4,"zone":"a","heft":1}]}`, `"edge":4`, ""},
		"killed":        {`{"sim_time":5,"batch":1,"happened":[` + spawn + `,{"kind":"teardown","i":"pilot/0"}]}`, `{"batch":1,"orders":[]}`, ""},
		"malformed":     {`{"batch":`, "", "line 1: malformed batch"},
		"unknown event": {`{"batch":1,"happened":[` + spawn + `,{"kind":"fog","i":"pilot/0"}]}`, "", `unknown kind of event "fog"`},
		"no instance":   {`{"batch":1,"happened":[{"kind":"bell","i":"pilot/9"}]}`, "", `unknown instance "pilot/9"`},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			err := Serve(strings.NewReader(c.in+"\n"), &out)
			if c.fails != "" {
				assert.ErrorContains(t, err, c.fails)
				return
			}
			assert.NoError(t, err)
			assert.Contains(t, out.String(), c.want)
		})
	}
}

// tally is a batch that feeds load reports.
func tally(load string) string {
	return `{"sim_time":5,"batch":1,"happened":[` + spawn + `,{"kind":"stream_up","i":"pilot/0","edge":4,"zone":"a","heft":1}]}
{"sim_time":1600000005,"batch":2,"happened":[{"kind":"tally","i":"pilot/0","endpoint":"x:1","zone":"a","count":9,"feedback":` + load + `},{"kind":"bell","i":"pilot/0","ref":"gather"}]}
{"sim_time":2600000005,"batch":3,"happened":[{"kind":"bell","i":"pilot/0","ref":"gather"}]}
`
}

// TestBadInput guards the adapter against lines that are cut, too long or nested without end, and against figures that
// would make not-a-number of the tables, which can't even be written to the reply.
func TestBadInput(t *testing.T) {
	for name, c := range map[string]struct{ in, fails string }{
		"nested":          {`{"batch":1,"happened":` + strings.Repeat("[", 20000), "line 1: malformed batch"},
		"not UTF-8":       {"{\"batch\":1,\"happened\":[{\"kind\":\"\xff\",\"i\":\"x\"}]}", "unknown instance"},
		"beyond a float":  {`{"batch":1,"happened":[{"kind":"stream_up","heft":1e400}]}`, "malformed event 1"},
		"wrong type":      {`{"batch":"one"}`, "malformed batch"},
		"huge rate":       {`{"batch":1,"happened":[` + spawn + `,{"kind":"stream_up","i":"pilot/0","heft":1e308}]}`, "out of range"},
		"negative weight": {`{"batch":1,"happened":[` + strings.Replace(spawn, `"heft":2`, `"heft":-2`, 1) + `]}`, "out of range"},
		"huge load":       {tally(`{"cpu_share":1e308}`), ""},
		"huge queue":      {tally(`{"pending":1e308}`), ""},
		"negative queue":  {tally(`{"busy_reqs":-1}`), ""},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			if err := Serve(strings.NewReader(c.in), &out); c.fails != "" {
				assert.ErrorContains(t, err, c.fails)
			} else {
				assert.NoError(t, err)
				assert.NotContains(t, out.String(), "broken")
			}
		})
	}
	good := tally(`{"cpu_share":0.5}`)
	for n := range len(good) { // cut off anywhere: an answer or an error, never an end of the process
		_ = Serve(strings.NewReader(good[:n]), io.Discard)
	}
	endless := io.MultiReader(strings.NewReader(`{"batch":"`), io.LimitReader(zeros{}, longest+1))
	assert.ErrorIs(t, Serve(endless, io.Discard), errLong)
}

// zeros is text without an end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return copy(b, bytes.Repeat([]byte{'0'}, len(b))), nil }

// FuzzServe guards the adapter's process against any input.
func FuzzServe(f *testing.F) {
	f.Add([]byte(tally(`{"cpu_share":0.5}`)))
	f.Fuzz(func(t *testing.T, in []byte) {
		var out bytes.Buffer
		_ = Serve(bytes.NewReader(in), &out)
		assert.NotContains(t, out.String(), `"kind":"broken"`)
	})
}
