package proxy

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
)

const (
	// streamTimeoutBeats is after how many beats without a message, or with one that can't be written, a stream has
	// broken.
	streamTimeoutBeats = 3
	// maxQueuedAcks is how many acks may wait for the sending goroutine.
	maxQueuedAcks = 16
	// stopReadingPoll is how often a proxy that does not read looks whether it may again.
	stopReadingPoll = 20 * time.Millisecond
)

// maintainStream keeps a stream to one pilot at a time until the process ends. After a stream it dials the home pilot
// first; each dial that fails goes on to the next one.
func (p *process) maintainStream() {
	for next := 0; p.ctx.Err() == nil; next++ {
		pilots := p.Pilots()
		if len(pilots) > 0 && p.runStream(pilots[next%len(pilots)]) {
			next = -1 // the home pilot, after the increment
		}
		if p.ctx.Err() != nil {
			return
		}
		p.pauseBeforeRedial()
	}
}

// pauseBeforeRedial waits for between a half and one and a half of the mean pause, or until the process ends.
func (p *process) pauseBeforeRedial() {
	timer := time.NewTimer(time.Duration((0.5 + p.random.Float64()) * float64(p.RedialPause)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

// hello returns what the proxy says of itself at the start of a stream.
func (p *process) hello() *wire.Hello {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &wire.Hello{
		Version: wire.Version,
		Proxy:   p.Name,
		Zone:    p.Zone,
		Boot:    uint64(p.incarnation),
		Rate:    p.Rate,
		Fresh:   p.router.Fresh(),
		Holds:   p.router.Endpoints(),
		Tables:  p.router.HeldTables(),
	}
}

// runStream joins a pilot, holds the stream to its end, and returns whether there was one.
func (p *process) runStream(address string) bool {
	stream, welcome, err := p.join(p.ctx, p.Dial, address, p.hello())
	if err != nil {
		return false // logged nowhere: the pilot may be down, as tests have it
	}
	defer stream.Close()
	p.streamJoined(stream)
	if p.ctx.Err() != nil {
		return false
	}
	p.events.Add(eventlog.Event{What: eventlog.Join, Peer: welcome.Pilot, Kind: p.Zone})
	defer p.events.Add(eventlog.Event{What: eventlog.Leave, Peer: welcome.Pilot})
	newSession(p, stream, welcome).run()
	return true
}

// streamJoined makes a stream the one that counts.
func (p *process) streamJoined(stream Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.currentStream = stream
	p.router.StreamJoined()
	p.reportRequest = routing.ReportRequest{}
}

// session is one stream to a pilot from its welcome to its end.
type session struct {
	*process
	stream   Stream
	pilot    string
	beat     time.Duration
	acks     chan wire.Message // from the receiving to the sending goroutine
	seen     atomic.Uint32     // number of the last message that was dealt with
	periodMs atomic.Int64      // of load reports
}

func newSession(p *process, stream Stream, welcome *wire.Welcome) *session {
	s := &session{
		process: p,
		stream:  stream,
		pilot:   welcome.Pilot,
		beat:    time.Duration(welcome.HeartbeatMs) * time.Millisecond,
		acks:    make(chan wire.Message, maxQueuedAcks),
	}
	s.periodMs.Store(int64(welcome.ReportPeriodMs))
	return s
}

// run receives in this goroutine and sends in another. Whichever ends first closes the stream, which ends the other:
// a stream that can't be written to has ended, also for a proxy that does not read.
func (s *session) run() {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	var sending sync.WaitGroup
	sending.Go(func() {
		defer cancel()
		defer s.stream.Close()
		s.sendLoop(ctx)
	})
	s.receiveLoop(ctx)
	cancel()
	s.stream.Close()
	sending.Wait()
}

// sendLoop sends beats, load reports and acks until the stream breaks or ctx ends.
func (s *session) sendLoop(ctx context.Context) {
	beats := time.NewTicker(max(s.beat, time.Millisecond))
	defer beats.Stop()
	reports := time.NewTimer(s.reportPeriod())
	defer reports.Stop()
	for {
		var message wire.Message
		select {
		case <-ctx.Done():
			return
		case message = <-s.acks:
		case <-beats.C:
			message = &wire.Heartbeat{LastProcessed: s.seen.Load()}
		case <-reports.C:
			reports.Reset(s.reportPeriod())
			message = s.report()
		}
		if err := s.stream.Write(message, streamTimeoutBeats*s.beat); err != nil {
			return
		}
	}
}

// reportPeriod returns how long after a report the next one is due.
func (s *session) reportPeriod() time.Duration {
	period := time.Duration(max(s.periodMs.Load(), 1)) * time.Millisecond
	if s.ReportFactor != nil {
		period = time.Duration(float64(period) / s.ReportFactor())
	}
	return period
}

func (s *session) report() *wire.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Report(s.events.Now()+s.ClockOffsetMs, s.reportRequest)
}

// receiveLoop carries out what the pilot sends until the stream breaks or the pilot ends it.
func (s *session) receiveLoop(ctx context.Context) {
	for {
		for s.StopReading != nil && s.StopReading() && ctx.Err() == nil {
			time.Sleep(stopReadingPoll)
		}
		message, err := s.stream.Read(streamTimeoutBeats * s.beat)
		if err != nil {
			return
		}
		if !s.receive(ctx, message) {
			return
		}
		s.seen.Store(s.stream.Last())
	}
}

// receive carries out one message and returns whether the stream goes on.
func (s *session) receive(ctx context.Context, message wire.Message) bool {
	switch m := message.(type) {
	case *wire.Commands:
		return s.receiveOrders(ctx, m)
	case *wire.Pace:
		s.setReportRequest(m)
	case *wire.Redirect, *wire.Refuse:
		return false
	}
	return true
}

// receiveOrders applies the lines of a message and hands the acks that it asks for to the sending goroutine.
func (s *session) receiveOrders(ctx context.Context, m *wire.Commands) bool {
	arrived := time.Now()
	s.events.Add(eventlog.Event{What: eventlog.Got, Peer: s.pilot, N: m.CostLines, Value: m.AgeMs, Since: m.AtMs})
	for _, number := range s.apply(m) {
		tookMs := float64(time.Since(arrived)) / float64(time.Millisecond)
		select {
		case s.acks <- &wire.Done{Mark: number, TookMs: tookMs}:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (s *session) setReportRequest(m *wire.Pace) {
	if s.IgnoreReportRequests {
		return
	}
	s.mu.Lock()
	s.reportRequest = routing.ReportRequest{MaxEndpoints: m.MaxLines, ChangesOnly: m.ChangedOnly}
	s.mu.Unlock()
	s.periodMs.Store(int64(m.PeriodMs))
}

// apply applies the lines of a message, with no request routed for as long as they take, and returns the numbers of
// the acks that it asks for.
func (p *process) apply(m *wire.Commands) (ackRequests []int) {
	p.applying.Lock()
	defer p.applying.Unlock()
	if p.ApplyPerLine > 0 {
		time.Sleep(time.Duration(len(m.Ops)) * p.ApplyPerLine)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ackRequests = p.router.Apply(m.Ops)
	p.logEligible()
	p.retireUnusedPools()
	return ackRequests
}

// retireUnusedPools lets go of the connections to endpoints that no table names any longer. The caller holds mu.
func (p *process) retireUnusedPools() {
	used := p.router.Endpoints()
	for endpoint, connections := range p.pools {
		if !slices.Contains(used, endpoint) {
			connections.retire()
			delete(p.pools, endpoint)
		}
	}
}
