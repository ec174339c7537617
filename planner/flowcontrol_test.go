package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStalledChannel guards the channel's backlog limit while the channel accepts no commands. Commands issued
// meanwhile are all sent when it accepts commands again; when they were assumed to have left the channel, the limit was
// exceeded (simulated scenario split+mass, seed 2: 5308 lines with a limit of 4800). Lines of a call that is repeated
// after a timeout may be delivered twice.
func TestStalledChannel(t *testing.T) {
	for name, c := range map[string]struct {
		stall      func(second, number int) Event // event of each second; number is that of the latest ack request
		later      Event                          // event 1 ms after stall
		minWritten float64                        // least lines written in 30 s, as a multiple of the backlog
		maxWritten float64                        // most lines written in 30 s, as a multiple of the backlog
	}{
		"open":    {func(int, int) Event { return nil }, nil, 1.5, 9},
		"stalled": {func(int, int) Event { return ChannelStalled{ForMs: 700} }, nil, 0.1, 1},
		"open for 2 s in 10": {func(second, _ int) Event {
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
			number := -1             // of the latest request for an acknowledgement
			for second := range 30 { // the endpoint's listed weight changes each second
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
			assert.GreaterOrEqual(t, written, c.minWritten*4800, "lines are written")
			assert.LessOrEqual(t, written, c.maxWritten*4800)
		})
	}
}

// linesOfTable returns how many weights of a table the commands set.
func linesOfTable(commands []Command, table int) float64 {
	lines := 0.0
	for _, command := range commands {
		if set, ok := command.(SetWeight); ok && set.Table == table {
			lines++
		}
	}
	return lines
}
