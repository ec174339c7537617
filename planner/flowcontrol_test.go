package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStalledChannel guards the backlog (rule 5) when the channel is cut off: what is commanded meanwhile goes out at
// once when it is back, and was taken for gone (split+mass of seed 2: 5308 lines where 4800 may wait). What is
// repeated after a call that nobody answered crosses twice.
func TestStalledChannel(t *testing.T) {
	for name, c := range map[string]struct {
		stall      func(second, number int) Event
		later      Event   // a moment later
		minWritten float64 // parts of the backlog that are written in 30 s
		maxWritten float64
	}{
		"open":    {func(int, int) Event { return nil }, nil, 1.5, 9},
		"cut off": {func(int, int) Event { return ChannelStalled{ForMs: 700} }, nil, 0.1, 1},
		"back for a bit": {func(second, _ int) Event {
			if second%10 < 8 {
				return ChannelStalled{ForMs: 700}
			}
			return ChannelStalled{}
		}, nil, 0.1, 1.3},
		"repeated": {func(_, number int) Event {
			return ChannelStalled{ForMs: 1, Repeated: []int{number}}
		}, ChannelStalled{}, 0.1, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(settings map[string]any, _ []Entry) {
				settings["proxy_count"] = 100.0
				settings["backlog"] = 4800.0
				settings["lines_per_s"] = 800.0
			})
			h.join(2, 100, 0, 1)
			h.rounds(20, nil)
			require.Len(t, h.assigned, 100)
			written := 0.0
			number := -1             // of the last request for an acknowledgement
			for second := range 30 { // what it wants changes all the time
				h.now += roundMs
				update := EndpointUpdate{Entries: []Entry{{Weight: float64(2 + 9*(second%2))}}}
				commands := h.step(c.stall(second, number), update, TimerFired{roundTimer})
				if lines := linesOfTable(commands, 0); lines > 0 {
					written += 99 * (lines + 5)
				}
				if numbers := ackRequests(commands); len(numbers) > 0 {
					number = numbers[len(numbers)-1]
				}
				h.now++
				h.step(c.later)
			}
			assert.GreaterOrEqual(t, written, c.minWritten*4800, "there is something to write")
			assert.LessOrEqual(t, written, c.maxWritten*4800)
		})
	}
}

// linesOfTable returns how many weights of a table are set by commands.
func linesOfTable(commands []Command, table int) float64 {
	lines := 0.0
	for _, command := range commands {
		if set, ok := command.(SetWeight); ok && set.Table == table {
			lines++
		}
	}
	return lines
}
