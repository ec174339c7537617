package planner

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// fullFleet simulates a fleet of 300 endpoints in three zones and 200 proxies at one pilot, with a channel of 4000
// lines per second.
type fullFleet struct {
	*harness
	list []Entry

	queue    float64     // lines in the channel
	acks     []Event     // acknowledgements to be delivered once the channel is empty
	perProxy map[int]int // number of messages by proxy
	all      []Command   // commands of all ticks so far
}

const (
	fullFleetTickMs       = 50
	fullFleetBacklog      = 8000.0
	fullFleetLinesPerTick = 4000 * 0.05
	fullFleetChangeTick   = 200 // when half of the proxies join and a tenth of the endpoints leave
	fullFleetRoundTicks   = 20
)

// newFullFleet returns the fleet before the first tick.
func newFullFleet(t *testing.T) *fullFleet {
	f := &fullFleet{perProxy: map[int]int{}}
	for i := range 300 {
		f.list = append(f.list, Entry{Endpoint: i, Zone: i % 3, Weight: 3})
	}
	f.harness = newEmptyHarness(t, map[string]any{
		"lines_per_s": 4000.0, "head_lines": 4.0, "backlog": fullFleetBacklog, "messages_most": 30.0,
		"messages_over": 10000.0, "proxy_count": 200.0, "req_kinds": []any{map[string]any{}},
	})
	return f
}

// joining returns the events with which the proxies with indices from (inclusive) to below (exclusive) join.
func (f *fullFleet) joining(from, below int) (events []Event) {
	for i := from; i < below; i++ {
		events = append(events, ProxyJoined{Proxy: i, Zone: i % 3, Rate: 10})
	}
	return events
}

// events returns the events of a tick, without acknowledgements.
func (f *fullFleet) events(tick int) []Event {
	switch {
	case tick == 0:
		return append([]Event{EndpointUpdate{Mode: Cached, Entries: f.list}}, f.joining(0, 100)...)
	case tick == fullFleetChangeTick:
		gone := slices.Clone(f.list[:30])
		for i := range gone {
			gone[i].Phase = Gone
		}
		return append(f.joining(100, 200), EndpointUpdate{Mode: Delta, Entries: gone})
	case tick%fullFleetRoundTicks == 0:
		failed := 0
		if tick < 100 { // endpoint 33 is ejected and later put on trial
			failed = 5
		}
		events := append(attempts(0, 3, 0, 0.5, 99, 102), attempts(0, 5-failed, failed, 0.1, 33)...)
		return append(events, TimerFired{roundTimer})
	}
	return nil
}

// tick simulates 50 ms: it delivers events, and puts the resulting commands into the channel.
func (f *fullFleet) tick(tick int) {
	f.now = float64(tick) * fullFleetTickMs
	events := []Event{TimerFired{assignmentTimer}}
	if f.queue == 0 { // all messages have left the channel
		events = append(events, f.acks...)
		f.acks = nil
	}
	commands := f.step(append(events, f.events(tick)...)...)
	f.all = append(f.all, commands...)
	for _, command := range commands {
		f.sendToChannel(tick, command)
	}
	assert.Less(f.t, f.queue, fullFleetBacklog, "tick %d", tick)
	f.queue = math.Max(0, f.queue-fullFleetLinesPerTick)
}

// sendToChannel adds the messages of a command to the channel.
func (f *fullFleet) sendToChannel(tick int, command Command) {
	switch command := command.(type) {
	case AckRequest:
		f.acks = append(f.acks, Ack{Number: command.Number})
	case AssignTable:
		f.queue += 5 + float64(len(f.weights[command.Table]))
		f.perProxy[command.Proxy]++
	case SetWeight:
		for proxy, assignments := range f.assigned {
			if assignments[0].Table != command.Table {
				continue
			}
			f.queue++
			if tick%fullFleetRoundTicks == 0 {
				f.perProxy[proxy] += 1 / max(1, f.written)
			}
		}
	}
}

// run simulates 20 s and returns all commands.
func (f *fullFleet) run() []Command {
	for tick := range 400 {
		f.tick(tick)
	}
	assert.Len(f.t, f.assigned, 200, "all proxies have tables in the end")
	for _, messages := range f.perProxy {
		assert.LessOrEqual(f.t, messages, 30)
	}
	for i := range 30 {
		assert.Zero(f.t, f.weights[i%3][i], "endpoints that are gone are in no table")
	}
	assert.NotZero(f.t, f.weights[0][33], "the line of an endpoint on trial has a small weight, but is sent")
	return f.all
}

// TestFullSize checks that the channel's backlog and the proxies' message limit hold for a full-size fleet, and that
// two runs produce the same commands.
func TestFullSize(t *testing.T) {
	assert.Equal(t, newFullFleet(t).run(), newFullFleet(t).run())
}

// TestMalformedInput checks that events of unknown endpoints, proxies and lists, with few settings or none, do not
// cause a panic or an invalid weight.
func TestMalformedInput(t *testing.T) {
	round := TimerFired{roundTimer}
	oneClass := map[string]any{"req_kinds": []any{map[string]any{}}}
	for name, c := range map[string]struct {
		settings map[string]any
		events   []Event
	}{
		"no settings":      {map[string]any{}, []Event{ProxyJoined{Proxy: 1, Zone: 2}, round, ProxyLeft{Proxy: 7}}},
		"no endpoint":      {oneClass, []Event{ProxyJoined{}, round, EndpointUpdate{Mode: Snapshot}}},
		"weight 0":         {oneClass, []Event{EndpointUpdate{Mode: Snapshot, Entries: []Entry{{}}}, ProxyJoined{}, ProxyJoined{}, round}},
		"all draining":     {oneClass, []Event{EndpointUpdate{Entries: []Entry{{Phase: Draining}}}, ProxyJoined{}, round}},
		"unknown endpoint": {oneClass, []Event{EndpointStats{Endpoint: 9, Zone: 3, Attempts: 5}, HealthCheckResult{Endpoint: 4}, round}},
		"stats of unknown proxies": {oneClass, []Event{
			RequestStats{Proxy: 9, Requests: 500, SpanMs: 1000},
			Ack{Proxy: 9, Number: 70000},
			Gossip{},
			HealthCheckResult{Endpoint: 900, Load: Load{"util": 1, "rate": 5}},
			round,
		}},
		"slices": {
			map[string]any{"slices": 64.0, "req_kinds": []any{map[string]any{}}},
			[]Event{ProxyJoined{}, SliceAssignment{}, SliceWeight{}, round},
		},
		"failed list update": {map[string]any{"discovery": "on_request"}, []Event{EndpointUpdate{Mode: UpdateFailed}}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newEmptyHarness(t, c.settings)
			h.step(c.events...)
			h.now = -5
			h.rounds(3, nil)
			if c.settings["slices"] != nil {
				assert.Empty(t, h.assigned)
			}
		})
	}
}

// TestSameEventsSameCommands checks that the planner is deterministic: the same events produce the same commands.
func TestSameEventsSameCommands(t *testing.T) {
	run := func() (all []Command) {
		h := newHarness(t, nil)
		for round := range 15 {
			h.now += roundMs
			events := attempts(round%2, 7, round%4, 0.2*float64(round%6), 0, 1, 2, 3, 4, 5)
			all = append(all, h.step(append(events, TimerFired{roundTimer})...)...)
		}
		return all
	}
	assert.Equal(t, run(), run())
}
