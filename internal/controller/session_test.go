package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// TestNames guards against a proxy that comes back while its old stream hangs, names without end, and strangers.
func TestNames(t *testing.T) {
	d, edge := &scriptedDecider{}, &fakeTransport{}
	c := NewCore(plan(d, edge))
	first, second := &fakeTransport{}, &fakeTransport{}
	c.Handle(0, []Input{Join{first, hello("p", "a")}})
	c.Handle(1, []Input{Join{second, hello("p", "a")}})
	assert.NotEmpty(t, first.closed)
	c.Handle(2, []Input{Leave{first}, Applied{first, wire.Done{Mark: 1}}}) // of no stream that lives
	assert.Equal(t, 1, c.sessions.len())
	assert.Equal(t, []planner.Note{
		planner.Joined{Rate: 2, Fresh: true},
		planner.Left{},
		planner.Joined{Rate: 2, Fresh: true},
	}, d.notes)
	stranger := &fakeTransport{}
	c.Handle(3, []Input{Join{stranger, hello("q", "nowhere")}})
	assert.Equal(t, "unknown zone", stranger.closed)
	for i := range 4 {
		c.Handle(4, []Input{Join{&fakeTransport{}, hello(fmt.Sprint("r", i), "a")}})
	}
	assert.Equal(t, 3, c.sessions.len())
}
