package controller

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/planner"
)

// TestShares checks that shares are computed by zone, weighted by the proxies' rates, and without excluded endpoints.
func TestShares(t *testing.T) {
	d := &scriptedDecider{commands: [][]planner.Command{nil, {
		planner.SetWeight{Table: 1, Endpoint: 0, Weight: 1},
		planner.SetWeight{Table: 1, Endpoint: 1, Weight: 3},
		planner.SetWeight{Table: 2, Endpoint: 0, Weight: 1},
		planner.SetWeight{Table: 2, Endpoint: 2, Weight: 1},
		planner.SetExcluded{Endpoint: 2, Excluded: true},
		planner.AssignTable{Table: 1, Proxy: 0},
		planner.AssignTable{Table: 2, Proxy: 1},
	}}}
	c := NewCore(newOptions(d, &fakeTransport{}))
	c.Handle(0, []Input{listed(true, entry("x", 0), entry("y", 0), entry("z", 0))})
	often := hello("often", "a")
	often.Rate = 3
	seldom := hello("seldom", "a")
	seldom.Rate = 1
	c.Handle(1, []Input{ProxyJoined{&fakeTransport{}, often}, ProxyJoined{&fakeTransport{}, seldom}})
	assert.Equal(t, map[int]map[int]float64{0: {0: (3*0.25 + 1) / 4, 1: 3 * 0.75 / 4}}, c.Shares())
}
