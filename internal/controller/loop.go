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
	// inboxSize is the capacity of the inbox. When it is full, Post blocks.
	inboxSize = 4096
	// maxTurnInputs is the maximum number of inputs in one turn. It ensures that the channel is served regularly under
	// load.
	maxTurnInputs = 4096
	// maxWaitMs is the longest time in ms for which the loop sleeps, even if the next timer is later or there is none.
	maxWaitMs = 1000
	// backlogWarnFraction is the fraction of the backlog limit above which the loop logs a warning.
	backlogWarnFraction = 0.8
	// backlogWarnInterval is the minimum time between two warnings about the backlog.
	backlogWarnInterval = time.Second
)

// Inbox accepts inputs from transports. Loop is the usual implementation.
type Inbox interface {
	// Post adds an input. It may block; it returns an error if ctx ends first.
	Post(ctx context.Context, in Input) error
}

// Loop drives a Core in a live process: it takes inputs from a bounded inbox and runs a turn when there is input or a
// timer is due. The caller starts Run in a goroutine. Post and State are safe for concurrent use.
type Loop struct {
	core       *Core // used only by Run, except for Core.Report, which has its own lock
	clock      Clock
	inbox      chan Input
	log        *zap.Logger
	start      time.Time // time 0 of the core's clock
	lastWarned time.Time // time of the last warning about the backlog

	mu    sync.Mutex // guards state
	state State
}

// State is a snapshot of the loop's state after a turn. The admin listener serves it as JSON.
type State struct {
	// Proxies and Endpoints count the joined proxies and the endpoint indices in use.
	Proxies   int `json:"Proxies"`
	Endpoints int `json:"Endpoints"`

	// Lines is the number of lines that wait in the channel, and MaxLines its maximum so far. MaxMessages is the
	// highest number of messages sent to one proxy within the period of the message limit (Options.MessageWindowMs).
	Lines       int `json:"Lines"`
	MaxLines    int `json:"MostLines"`
	MaxMessages int `json:"MostMessages"`

	// Turns counts the iterations of the loop since its start.
	Turns int `json:"Turns"`

	// PendingSums is the number of aggregated sums that wait to be passed to the decider, and MaxPendingSums its maximum
	// so far.
	PendingSums    int `json:"Standing"`
	MaxPendingSums int `json:"MostStanding"`

	// ReportLines counts report lines by what was done with them, for example "merged"; see telemetry.Reason.
	ReportLines map[string]uint64 `json:"Refused"`

	// Listed is true once an endpoint list has been received.
	Listed bool `json:"Listed"`

	// ReportStats counts accepted reports and malformed input.
	ReportStats ReportStats `json:"Believed"`

	// LastTurn is the time at which the last turn ended.
	LastTurn time.Time `json:"LastTurn"`
}

// NewLoop returns a loop for a core. Time 0 of the core's clock is the time of this call. The loop starts with Run.
func NewLoop(core *Core, clock Clock, log *zap.Logger) *Loop {
	return &Loop{core: core, clock: clock, inbox: make(chan Input, inboxSize), log: log, start: clock.Now()}
}

// ResumeAt sets the current time on the core's clock, in ms, so that a recovered core continues from its last turn. It
// must be called before Run.
func (l *Loop) ResumeAt(atMs float64) {
	l.start = l.clock.Now().Add(-time.Duration(atMs * float64(time.Millisecond)))
}

// Post adds an input to the loop's inbox. It blocks while the inbox is full, which slows down the connection that the
// input comes from, and returns an error if ctx ends first. Load reports bypass the inbox: they are aggregated in the
// caller's goroutine.
func (l *Loop) Post(ctx context.Context, in Input) error {
	if r, ok := in.(LoadReported); ok {
		l.core.Report(l.nowMs(), r.Stream, r.Sums)
		return nil
	}
	select {
	case l.inbox <- in:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("post %T to the loop: %w", in, context.Cause(ctx))
	}
}

// State returns the state after the last turn.
func (l *Loop) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// nowMs returns the current time on the core's clock, in ms.
func (l *Loop) nowMs() float64 {
	return float64(l.clock.Now().Sub(l.start)) / float64(time.Millisecond)
}

// Run runs turns until ctx ends, and then returns nil. The first turn runs immediately and without input, so that the
// decider can set its timers.
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

// turn runs a turn of the core if there is input or a timer is due, sends the messages that are due in the channel, and
// publishes the state.
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

// wait waits for the next input and returns it. It returns nil if the core or the channel is due first, and ended is
// true if ctx has ended.
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

// batchInputs appends the inputs that already wait in the inbox, up to maxTurnInputs, so that one turn handles them
// together.
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

// publish updates the state returned by State.
func (l *Loop) publish(inputs []Input) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Turns++
	l.state.Proxies = l.core.sessions.len() + len(l.core.relayed.joined)
	l.state.Endpoints = l.core.endpoints.len()
	l.state.Lines = l.core.Channel.waitingLines
	l.state.MaxLines = l.core.Channel.MaxLines
	l.state.MaxMessages = l.core.Channel.MaxMessages
	if l.core.options.Relay == nil {
		l.state.PendingSums, l.state.MaxPendingSums, l.state.ReportLines = l.core.reports.stats()
	}
	l.state.ReportStats = l.core.ReportStats
	l.state.LastTurn = l.clock.Now()
	for _, in := range inputs {
		if _, ok := in.(EndpointsListed); ok {
			l.state.Listed = true
		}
	}
}

// warnBacklog logs a warning if the channel is near its backlog limit, at most once per backlogWarnInterval.
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
