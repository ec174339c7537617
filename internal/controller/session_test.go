package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// TestRejoinAndRejectedJoins checks that a proxy that joins again replaces its old stream, and that joins with an
// unknown zone or beyond the maximum number of proxies are rejected.
func TestRejoinAndRejectedJoins(t *testing.T) {
	d, transport := &scriptedDecider{}, &fakeTransport{}
	c := NewCore(newOptions(d, transport))
	first, second := &fakeTransport{}, &fakeTransport{}
	c.Handle(0, []Input{ProxyJoined{first, hello("p", "a")}})
	c.Handle(1, []Input{ProxyJoined{second, hello("p", "a")}})
	assert.NotEmpty(t, first.closed)
	c.Handle(2, []Input{ProxyLeft{first}, Acked{first, wire.Done{Mark: 1}}}) // inputs from a replaced stream are ignored
	assert.Equal(t, 1, c.sessions.len())
	assert.Equal(t, []planner.Event{
		planner.ProxyJoined{Rate: 2, Fresh: true},
		planner.ProxyLeft{},
		planner.ProxyJoined{Rate: 2, Fresh: true},
	}, d.events)
	rejected := &fakeTransport{}
	c.Handle(3, []Input{ProxyJoined{rejected, hello("q", "nowhere")}})
	assert.Equal(t, "unknown zone", rejected.closed)
	for i := range 4 {
		c.Handle(4, []Input{ProxyJoined{&fakeTransport{}, hello(fmt.Sprint("r", i), "a")}})
	}
	assert.Equal(t, 3, c.sessions.len())
}
