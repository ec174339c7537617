package controller

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// inboxSize is how many inputs may wait before Post blocks the transports.
	inboxSize = 4096
	// maxTurnInputs bounds the inputs that one turn handles, so that the channel is served in between.
	maxTurnInputs = 4096
	// maxWaitMs bounds the sleep of the loop: a timer that is far off or missing is looked at again after it.
	maxWaitMs = 1000
	// backlogWarnFraction is the part of the backlog limit from which waiting lines are logged.
	backlogWarnFraction = 0.8
	// backlogWarnInterval is the shortest time between two such log lines.
	backlogWarnInterval = time.Second
)

// Inbox is where transports put inputs: the loop, mostly.
type Inbox interface {
	Post(ctx context.Context, in Input) error
}

// Loop is the one goroutine that drives a Core: it takes inputs from a bounded inbox and wakes when something is due.
// Run is that goroutine; the caller starts it, and it ends with its context. Post and State may be called by others.
type Loop struct {
	core       *Core // touched by Run alone, but for reports, which have a lock of their own
	clock      Clock
	inbox      chan Input
	log        *zap.Logger
	start      time.Time // the moment 0 of the core's clock
	lastWarned time.Time // when the backlog was last logged

	mu    sync.Mutex // guards state
	state State
}

// State is what the loop shows of itself after each turn. Its JSON is shown by the admin listener.
type State struct {
	// Joined proxies and known endpoints.
	Proxies   int `json:"Proxies"`
	Endpoints int `json:"Endpoints"`

	// Lines that wait in the channel, the most that ever did, and the most messages to one proxy within the span of
	// the limit on them.
	Lines        int `json:"Lines"`
	MostLines    int `json:"MostLines"`
	MostMessages int `json:"MostMessages"`

	// Turns of the loop since its start.
	Turns int `json:"Turns"`

	// Sums of reports that wait to be passed on, and the most that ever did.
	Standing     int `json:"Standing"`
	MostStanding int `json:"MostStanding"`

	// Refused counts report lines by what became of them.
	Refused map[string]uint64 `json:"Refused"`

	// Listed is whether the endpoint list has arrived.
	Listed bool `json:"Listed"`

	// ReportStats counts the reports that were taken in.
	ReportStats ReportStats `json:"Believed"`

	// LastTurn is when the last turn ended.
	LastTurn time.Time `json:"LastTurn"`
}

// NewLoop returns a loop that has not started.
func NewLoop(core *Core, clock Clock, log *zap.Logger) *Loop {
	return &Loop{core: core, clock: clock, inbox: make(chan Input, inboxSize), log: log, start: clock.Now()}
}

// ResumeAt has the loop's time begin at a moment of a core that was recovered. It is called before Run.
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

// nowMs returns the time of the core's clock.
func (l *Loop) nowMs() float64 {
	return float64(l.clock.Now().Sub(l.start)) / float64(time.Millisecond)
}

// Run turns until ctx ends, which is no error. The decider hears of the start at once, with a first turn without input.
func (l *Loop) Run(ctx context.Context) error {
	var inputs []Input
	for {
		l.turn(inputs)
		inputs = inputs[:0]
		in, ended := l.wait(ctx)
		if ended {
			return nil
		}
		if in != nil {
			inputs = l.batchInputs(append(inputs, in))
		}
	}
}

// turn has the core handle what has come or is due, sends what may leave the channel, and publishes the state.
func (l *Loop) turn(inputs []Input) {
	now := l.nowMs()
	if len(inputs) > 0 || l.core.Due() <= now || l.State().Turns == 0 {
		l.core.Handle(now, inputs)
		l.core.options.Metrics.setInputs(len(inputs))
	}
	l.core.Channel.Send(l.nowMs())
	l.publish(inputs)
	l.warnBacklog()
}

// wait returns the next input, or nil when something is due, and whether ctx has ended.
func (l *Loop) wait(ctx context.Context) (in Input, ended bool) {
	waitMs := math.Min(l.core.Due(), l.core.Channel.Due()) - l.nowMs()
	waitMs = math.Max(0, math.Min(waitMs, maxWaitMs))
	fired, stop := l.clock.After(time.Duration(waitMs * float64(time.Millisecond)))
	defer stop()
	select {
	case in = <-l.inbox:
		return in, false
	case <-fired:
		return nil, false
	case <-ctx.Done():
		return nil, true
	}
}

// batchInputs takes what else has come, so that one turn handles it together.
func (l *Loop) batchInputs(inputs []Input) []Input {
	for len(inputs) < maxTurnInputs {
		select {
		case in := <-l.inbox:
			inputs = append(inputs, in)
		default:
			return inputs
		}
	}
	return inputs
}

// publish renews the state that others may look at.
func (l *Loop) publish(inputs []Input) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Turns++
	l.state.Proxies = l.core.sessions.len() + len(l.core.relayed.joined)
	l.state.Endpoints = l.core.endpoints.len()
	l.state.Lines = l.core.Channel.waitingLines
	l.state.MostLines = l.core.Channel.MaxLines
	l.state.MostMessages = l.core.Channel.MaxMessages
	if l.core.options.Relay == nil {
		l.state.Standing, l.state.MostStanding, l.state.Refused = l.core.reports.stats()
	}
	l.state.ReportStats = l.core.ReportStats
	l.state.LastTurn = l.clock.Now()
	for _, in := range inputs {
		if _, ok := in.(EndpointsListed); ok {
			l.state.Listed = true
		}
	}
}

// warnBacklog logs, at most once in backlogWarnInterval, that the channel nears its backlog limit.
func (l *Loop) warnBacklog() {
	channel := l.core.Channel
	if channel.backlog <= 0 || float64(channel.waitingLines) <= backlogWarnFraction*channel.backlog {
		return
	}
	now := l.clock.Now()
	if now.Sub(l.lastWarned) <= backlogWarnInterval {
		return
	}
	l.lastWarned = now
	l.log.Warn("channel near its limit", zap.Int("lines", channel.waitingLines), zap.Float64("backlog", channel.backlog))
}
