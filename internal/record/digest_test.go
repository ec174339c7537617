package record

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/internal/controller"
	"indigousher/planner"
)

// TestDigestBytes guards the digests in stored records: the digest of each command must be the one that commit 7c7c6c6
// computed, before any type or field was renamed.
func TestDigestBytes(t *testing.T) {
	for _, c := range []struct {
		command planner.Command
		want    string
	}{
		{planner.SetWeight{Table: 3, Endpoint: 17, Weight: 0.30000000000000004}, "cabd1f0e29bf2f36"},
		{planner.SetWeight{Table: 65000, Endpoint: 1, Weight: 1e21}, "5f8061f8931e4099"},
		{planner.SetWeight{Weight: 1e-9}, "71573af5b886bb70"},
		{planner.SetWeight{Weight: math.Inf(1)}, "6a84357acc5427ac"},
		{planner.SetWeight{Weight: math.Copysign(0, -1)}, "507eb88cbdc7d692"},
		{planner.ClearTable{Table: 9}, "2e576c316074bb43"},
		{planner.AssignTable{Table: 1, Proxy: 499, Classes: 5}, "66f140afc7e40c16"},
		{planner.SetExcluded{Endpoint: 12, Excluded: true}, "692943b0920b1dce"},
		{planner.SetExcluded{Endpoint: 12}, "20444ea590d593c4"},
		{planner.SetAdmission{Table: planner.EveryTable, Classes: 3, RetryMode: 2, Level: 0.85}, "c16fb26fecb0f704"},
		{planner.AckRequest{Number: 65534, All: true}, "7ad8336e02541273"},
		{planner.HealthCheck{Endpoint: 4}, "dcb838218010b0df"},
		{planner.SendGossip{Peer: -1, Text: "a b {c}"}, "0769613f2a275936"},
		{planner.SetTimer{AtMs: 123456.75, Name: "gather"}, "c309b2529546949c"},
		{planner.WatchEndpoints{On: true}, "0211d3fb2c006f8c"},
		{planner.FetchEndpoints{}, "46f9affef7c5009a"},
		{planner.Log{Text: "endpoint 3 zone 1: out, good 0.0 bad 9.0 all 0.10"}, "d8c0a69a3de3c6bb"},
	} {
		assert.Equal(t, c.want, fmt.Sprintf("%016x", Digest([]planner.Command{c.command})), "%v", c.command)
	}
	assert.Equal(t, "0000000000000000", fmt.Sprintf("%016x", Digest(nil)))
	all := []planner.Command{
		planner.SetWeight{Table: 1, Endpoint: 2, Weight: 0.5},
		planner.AssignTable{Table: 1, Proxy: 2},
		planner.AckRequest{Number: 1},
	}
	assert.Equal(t, "1ed775898c4325d5", fmt.Sprintf("%016x", Digest(all)))
}

// TestFingerprintUnchanged guards the fingerprint by which a pilot recognizes records of a planner that makes the same
// decisions. Commit 7c7c6c6 stored this value in its lives. The fingerprint changes with the planner's decisions, but
// must not change when a type or field is renamed.
func TestFingerprintUnchanged(t *testing.T) {
	newDecider := func(seed int64, settings map[string]any) controller.Decider { return planner.New(seed, settings) }
	assert.Equal(t, "701c66171943c29a", Fingerprint(newDecider))
}
