package simulator

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/planner"
)

// TestCommandBytes checks the JSON encoding of each command, including the order of its keys, because recorded
// conversations are compared byte by byte.
func TestCommandBytes(t *testing.T) {
	in := &instance{name: "pilot/0", originNs: 7, joined: map[int]bool{4: true}}
	endpoint := in.endpoints.Intern("x:1")
	for _, c := range []struct {
		command planner.Command
		want    string
	}{
		{
			planner.SetWeight{Table: 2, Endpoint: endpoint, Weight: 0.5},
			`{"endpoint":"x:1","heft":0.5,"i":"pilot/0","kind":"set_weight","tbl":2}`,
		},
		{
			planner.ClearTable{Table: 2},
			`{"i":"pilot/0","kind":"reset_table","tbl":2}`,
		},
		{
			planner.AssignTable{Table: 2, Proxy: 4, Classes: 3},
			`{"edge":4,"i":"pilot/0","kind":"use_table","lanes":3,"tbl":2}`,
		},
		{
			planner.SetExcluded{Endpoint: endpoint, Excluded: true},
			`{"active":true,"endpoint":"x:1","i":"pilot/0","kind":"withdraw"}`,
		},
		{
			planner.SetAdmission{Table: 2, Classes: 1, RetryMode: 2, Level: 0.25},
			`{"i":"pilot/0","kind":"gate_class","lanes":1,"level":0.25,"retry_mode":2,"tbl":2}`,
		},
		{
			planner.AckRequest{Number: 9, All: true},
			`{"active":true,"epoch":9,"i":"pilot/0","kind":"checkpoint"}`,
		},
		{
			planner.HealthCheck{Endpoint: endpoint},
			`{"endpoint":"x:1","i":"pilot/0","kind":"health_check"}`,
		},
		{
			planner.SendGossip{Peer: -1, Text: "a<b"},
			`{"contents":"a\u003cb","i":"pilot/0","kind":"memo_to","neighbour_id":-1}`,
		},
		{
			planner.SetTimer{AtMs: 1.5, Name: "gather"},
			`{"due_at":1500007,"i":"pilot/0","kind":"set_timer","ref":"gather"}`,
		},
		{
			planner.WatchEndpoints{On: true},
			`{"active":true,"i":"pilot/0","kind":"stream_changes"}`,
		},
		{
			planner.FetchEndpoints{},
			`{"i":"pilot/0","kind":"query_all"}`,
		},
		{
			planner.Log{Text: "so"},
			`{"body_text":"so","i":"pilot/0","kind":"print"}`,
		},
	} {
		encoded, err := in.encode(c.command)
		require.NoError(t, err)
		bytes, err := json.Marshal(encoded)
		require.NoError(t, err)
		assert.Equal(t, c.want, string(bytes))
	}
	bytes, err := json.Marshal(in.broken("index out of range"))
	require.NoError(t, err)
	assert.Equal(t, `{"body_text":"index out of range","i":"pilot/0","kind":"broken"}`, string(bytes))
}

// TestUnencodable checks the errors for commands that the simulator would count as protocol violations.
func TestUnencodable(t *testing.T) {
	in := &instance{name: "pilot/0", joined: map[int]bool{}}
	for _, c := range []struct {
		command planner.Command
		want    string
	}{
		{planner.SetWeight{Endpoint: 3}, "set_weight: no name is assigned to index 3"},
		{planner.SetExcluded{Endpoint: 3}, "withdraw: no name is assigned to index 3"},
		{planner.HealthCheck{Endpoint: 3}, "health_check: no name is assigned to index 3"},
		{planner.AssignTable{Proxy: 4}, "use_table: proxy 4 has not joined"},
		{nil, `unknown command "<nil>"`},
	} {
		_, err := in.encode(c.command)
		assert.EqualError(t, err, c.want)
	}
}
