package controller

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Clock is the pilot's own clock; nothing of another machine's counts.
type Clock interface {
	Now() time.Time
	// After sends once the time has passed, unless stop is called first.
	After(time.Duration) (fired <-chan time.Time, stop func() bool)
}

// RealClock is the machine's clock.
type RealClock struct{}

// Now returns the time with the machine's monotonic reading.
func (RealClock) Now() time.Time { return time.Now() }

// After starts a timer.
func (RealClock) After(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(d)
	return t.C, t.Stop
}

// Sizes of the loop: inputs that may wait before edges are held up, and inputs of one turn.
const (
	inboxSize = 4096
	turnSize  = 4096
)

// Loop is the one goroutine that drives a Core: it takes inputs from a bounded inbox and wakes when something is due.
type Loop struct {
	core   *Core
	clock  Clock
	inbox  chan Input
	log    *zap.Logger
	start  time.Time
	warned time.Time
	mu     sync.Mutex
	state  State
}

// Inbox is where edges put inputs: the loop, mostly.
type Inbox interface {
	Post(ctx context.Context, in Input) error
}

// State is what the loop shows of itself after each turn.
type State struct {
	Proxies      int               `json:"Proxies"`
	Endpoints    int               `json:"Endpoints"`
	Lines        int               `json:"Lines"`
	MostLines    int               `json:"MostLines"`
	MostMessages int               `json:"MostMessages"`
	Turns        int               `json:"Turns"`
	Standing     int               `json:"Standing"`     // sums that wait in the intake
	MostStanding int               `json:"MostStanding"` // sums that wait in the intake
	Refused      map[string]uint64 `json:"Refused"`
	Listed       bool              `json:"Listed"`
	ReportStats  ReportStats       `json:"Believed"`
	LastTurn     time.Time         `json:"LastTurn"`
}

// NewLoop returns a loop that has not started.
func NewLoop(core *Core, clock Clock, log *zap.Logger) *Loop {
	return &Loop{core: core, clock: clock, inbox: make(chan Input, inboxSize), log: log, start: clock.Now()}
}

// ResumeAt has the loop's time begin at a moment of a core that was recovered.
func (l *Loop) ResumeAt(atMs float64) {
	l.start = l.clock.Now().Add(-time.Duration(atMs * float64(time.Millisecond)))
}

// Post hands an input to the loop. It waits while the inbox is full, so a source that brings too much is slowed by
// its own connection; it ends with ctx. Reports don't pass the inbox: they are taken in where they are read.
func (l *Loop) Post(ctx context.Context, in Input) error {
	if r, ok := in.(LoadReported); ok {
		l.core.Report(l.nowMs(), r.Stream, r.Sums)
		return nil
	}
	select {
	case l.inbox <- in:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("hand %T to the loop: %w", in, context.Cause(ctx))
	}
}

// State returns what the last turn left.
func (l *Loop) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

func (l *Loop) nowMs() float64 {
	return float64(l.clock.Now().Sub(l.start)) / float64(time.Millisecond)
}

// Run turns until ctx ends. The module hears of the start at once, with a first turn without input.
func (l *Loop) Run(ctx context.Context) error {
	var inputs []Input
	for {
		now := l.nowMs()
		if len(inputs) > 0 || l.core.Due() <= now || l.State().Turns == 0 {
			l.core.Handle(now, inputs)
			l.core.plan.Metrics.took(len(inputs))
		}
		l.core.Channel.Send(l.nowMs())
		l.show(inputs)
		inputs = inputs[:0]
		in, err := l.wait(ctx)
		if err != nil {
			return nil // asked to stop: no fault of the loop
		}
		if in != nil {
			inputs = l.gather(append(inputs, in))
		}
	}
}

// wait returns the next input, or nil when something is due.
func (l *Loop) wait(ctx context.Context) (Input, error) {
	due := math.Min(l.core.Due(), l.core.Channel.Due()) - l.nowMs()
	// a far or missing alarm is looked at again in a second
	fired, stop := l.clock.After(time.Duration(math.Max(0, math.Min(due, 1000)) * float64(time.Millisecond)))
	defer stop()
	select {
	case in := <-l.inbox:
		return in, nil
	case <-fired:
		return nil, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// gather takes what else has come, so that one turn handles it together.
func (l *Loop) gather(inputs []Input) []Input {
	for len(inputs) < turnSize {
		select {
		case in := <-l.inbox:
			inputs = append(inputs, in)
		default:
			return inputs
		}
	}
	return inputs
}

// show publishes the state and warns, at most once a second, when a limit of the channel is near.
func (l *Loop) show(inputs []Input) {
	c := l.core.Channel
	l.mu.Lock()
	l.state.Turns++
	l.state.Proxies, l.state.Endpoints = len(l.core.sessions)+len(l.core.relayed), l.core.endpoints.Len()
	l.state.Lines, l.state.MostLines, l.state.MostMessages = c.lines, c.MaxLines, c.MaxMessages
	if l.core.plan.Relay == nil {
		l.state.Standing, l.state.MostStanding, l.state.Refused = l.core.gate.state()
	}
	l.state.ReportStats = l.core.ReportStats
	l.state.LastTurn = l.clock.Now()
	for _, in := range inputs {
		if _, ok := in.(EndpointsListed); ok {
			l.state.Listed = true
		}
	}
	l.mu.Unlock()
	if c.backlog > 0 && float64(c.lines) > nearPart*c.backlog && l.clock.Now().Sub(l.warned) > time.Second {
		l.warned = l.clock.Now()
		l.log.Warn("channel near its limit", zap.Int("lines", c.lines), zap.Float64("backlog", c.backlog))
	}
}
