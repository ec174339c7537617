package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// TestExclusionReachesAllHolders checks that an exclusion is sent to every proxy that holds the endpoint: in an
// assigned table, in the tables that it had when it joined, or in both.
func TestExclusionReachesAllHolders(t *testing.T) {
	assign := func(proxy int) planner.Command { return planner.AssignTable{Table: 5, Proxy: proxy, Classes: 1} }
	d := &scriptedDecider{commands: [][]planner.Command{
		nil,
		nil,
		{planner.SetWeight{Table: 5, Endpoint: 0, Weight: 1}, assign(0), assign(1)},
		{planner.SetExcluded{Endpoint: 0, Excluded: true}},
		{planner.SetExcluded{Endpoint: 0}},
	}}
	p := newOptions(d, &fakeTransport{})
	p.MaxProxies = 5
	c := NewCore(p)
	c.Handle(0, []Input{listed(true, entry("x", 0), entry("y", 0))})
	var streams []*fakeTransport
	var joins []Input
	for i, holds := range [][]string{{"x"}, {"y"}, {"x", "y"}, {"y"}, {"x"}} {
		streams = append(streams, &fakeTransport{})
		joins = append(joins, ProxyJoined{streams[i], hello(fmt.Sprint("p", i), "a", holds...)})
	}
	c.Handle(1, joins)
	for step, excluded := range []bool{false, true, false} {
		c.Handle(float64(2+step), []Input{GossipReceived{1, "next"}})
		c.Channel.Send(float64(2 + step))
		for i, s := range streams {
			received := 0
			for _, m := range s.sent {
				for _, op := range m.Ops {
					if op.Kind == wire.OpSetExcluded && op.Endpoint == "x" && op.Remove == excluded {
						received++
					}
				}
			}
			s.sent = nil
			assert.Equal(t, step > 0 && i != 3, received == 1, "proxy %d at step %d", i, step)
		}
	}
}
