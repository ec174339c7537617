package simulator

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// spawn contains the events that start an instance and give it an endpoint list with one endpoint.
const spawn = `{"kind":"spawn","i":"pilot/0","rng_seed":5,"setup":{"dcs":["a","b"],"kinds":["m"],"instances":1,` +
	`"zone":"b","profiles":[{"name":"read","aim":1000000000,"importance":2,"only_kinds":["m"]}],` +
	`"extra":{"envelope":4}}},` +
	`{"kind":"discovery","i":"pilot/0","mode":"warm_copy","hosts":[{"endpoint":"x:1","zone":"a",` +
	`"generation_hw":"m","mode":"live","heft":2}]}`

// joined contains the events of spawn and one that connects a proxy to the instance.
const joined = spawn + `,{"kind":"stream_up","i":"pilot/0","edge":4,"zone":"a","heft":1}`

// batchOf returns an input line: a batch of the given events.
func batchOf(clockNs int, events string) string {
	return fmt.Sprintf(`{"sim_time":%d,"batch":1,"happened":[%s]}`, clockNs, events)
}

// TestServe checks the reply or the error for inputs of one batch.
func TestServe(t *testing.T) {
	for name, c := range map[string]struct{ in, want, fails string }{
		"empty batch":   {`{"sim_time":5,"batch":3,"happened":[]}`, `{"batch":3,"orders":[]}`, ""},
		"sets weights":  {batchOf(5, joined), `"endpoint":"x:1"`, ""},
		"exact timer":   {batchOf(1000000007, spawn), `"due_at":1500000007`, ""},
		"binds a proxy": {batchOf(5, joined), `"edge":4`, ""},
		"ended":         {batchOf(5, spawn+`,{"kind":"teardown","i":"pilot/0"}`), `{"batch":1,"orders":[]}`, ""},
		"malformed":     {`{"batch":`, "", "line 1: malformed batch"},
		"unknown event": {batchOf(0, spawn+`,{"kind":"fog","i":"pilot/0"}`), "", `unknown event type "fog"`},
		"no instance":   {batchOf(0, `{"kind":"bell","i":"pilot/9"}`), "", `unknown instance "pilot/9"`},
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

// withLoad returns an input in which an endpoint reports the given load and the planner then computes new weights.
func withLoad(load string) string {
	return batchOf(5, joined) + `
{"sim_time":1600000005,"batch":2,"happened":[{"kind":"tally","i":"pilot/0","endpoint":"x:1","zone":"a","count":9,` +
		`"feedback":` + load + `},{"kind":"bell","i":"pilot/0","ref":"gather"}]}
{"sim_time":2600000005,"batch":3,"happened":[{"kind":"bell","i":"pilot/0","ref":"gather"}]}
`
}

// TestHostileInput checks that truncated, overlong and deeply nested inputs end in an error and not in a panic, and
// that load values out of range do not result in weights that cannot be encoded.
func TestHostileInput(t *testing.T) {
	for name, c := range map[string]struct{ in, fails string }{
		"nested":          {`{"batch":1,"happened":` + strings.Repeat("[", 20000), "line 1: malformed batch"},
		"not UTF-8":       {"{\"batch\":1,\"happened\":[{\"kind\":\"\xff\",\"i\":\"x\"}]}", "unknown instance"},
		"beyond a float":  {`{"batch":1,"happened":[{"kind":"stream_up","heft":1e400}]}`, "malformed event 1"},
		"wrong type":      {`{"batch":"one"}`, "malformed batch"},
		"huge rate":       {batchOf(0, spawn+`,{"kind":"stream_up","i":"pilot/0","heft":1e308}`), "out of range"},
		"negative weight": {batchOf(0, strings.Replace(spawn, `"heft":2`, `"heft":-2`, 1)), "out of range"},
		"huge load":       {withLoad(`{"cpu_share":1e308}`), ""},
		"huge queue":      {withLoad(`{"pending":1e308}`), ""},
		"negative queue":  {withLoad(`{"busy_reqs":-1}`), ""},
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
	good := withLoad(`{"cpu_share":0.5}`)
	for n := range len(good) { // truncated input must not cause a panic
		_ = Serve(strings.NewReader(good[:n]), io.Discard)
	}
	endless := io.MultiReader(strings.NewReader(`{"batch":"`), io.LimitReader(zeros{}, maxLineBytes+1))
	assert.ErrorIs(t, Serve(endless, io.Discard), errLineTooLong)
}

// zeros is a reader that returns the digit 0 without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return copy(b, bytes.Repeat([]byte{'0'}, len(b))), nil }

// FuzzServe checks that the planner does not panic on arbitrary input.
func FuzzServe(f *testing.F) {
	f.Add([]byte(withLoad(`{"cpu_share":0.5}`)))
	f.Fuzz(func(t *testing.T, in []byte) {
		var out bytes.Buffer
		_ = Serve(bytes.NewReader(in), &out)
		assert.NotContains(t, out.String(), `"kind":"broken"`)
	})
}
