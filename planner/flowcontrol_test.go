package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStalledChannel guards the backlog (rule 5) when the channel is cut off: what is commanded meanwhile goes out at once when
// it is back, and was taken for gone (split+mass of seed 2: 5308 lines where 4800 may wait). What is repeated after a call
// that nobody answered crosses twice.
func TestStalledChannel(t *testing.T) {
	for name, c := range map[string]struct {
		stall func(second, number int) Event
		after Event   // a moment later
		least float64 // parts of the backlog that are written in 30 s
		most  float64
	}{
		"open":           {func(int, int) Event { return nil }, nil, 1.5, 9},
		"cut off":        {func(int, int) Event { return ChannelStalled{ForMs: 700} }, nil, 0.1, 1},
		"back for a bit": {func(s, _ int) Event { return ChannelStalled{ForMs: pick(s%10 < 8, 700, 0)} }, nil, 0.1, 1.3},
		"repeated":       {func(_, number int) Event { return ChannelStalled{ForMs: 1, Repeated: []int{number}} }, ChannelStalled{}, 0.1, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(settings map[string]any, _ []Entry) {
				settings["proxy_count"], settings["backlog"], settings["lines_per_s"] = 100.0, 4800.0, 800.0
			})
			for i := 2; i < 100; i++ {
				h.step(ProxyJoined{Proxy: i, Zone: 0, Rate: 1})
			}
			h.rounds(20, nil)
			require.Len(t, h.assigned, 100)
			written, number := 0.0, -1
			for s := range 30 { // what it wants changes all the time
				h.now += roundMs
				lines := 0.0
				for _, o := range h.step(c.stall(s, number), EndpointUpdate{Entries: []Entry{{Weight: float64(2 + 9*(s%2))}}}, TimerFired{"gather"}) {
					switch o := o.(type) {
					case SetWeight:
						lines += pick(o.Table == 0, 1, 0)
					case AckRequest:
						number = o.Number
					}
				}
				written += pick(lines > 0, 99*(lines+5), 0)
				h.now++
				h.step(c.after)
			}
			assert.GreaterOrEqual(t, written, c.least*4800, "there is something to write")
			assert.LessOrEqual(t, written, c.most*4800)
		})
	}
}
