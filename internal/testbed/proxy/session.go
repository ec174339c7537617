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
	// streamTimeoutBeats is the read and write timeout of a stream, as a multiple of the heartbeat interval. The stream
	// is closed when it expires.
	streamTimeoutBeats = 3
	// maxQueuedAcks is the maximum number of acks queued for the sending goroutine; beyond it receiving blocks.
	maxQueuedAcks = 16
	// stopReadingPoll is the interval at which Options.StopReading is polled while it returns true.
	stopReadingPoll = 20 * time.Millisecond
)

// maintainStream keeps a stream to one pilot at a time until the process ends. After a stream has ended it dials the
// home pilot first; after each failed dial it dials the next pilot.
func (p *process) maintainStream() {
	for next := 0; p.ctx.Err() == nil; next++ {
		pilots := p.Pilots()
		if len(pilots) > 0 && p.runStream(pilots[next%len(pilots)]) {
			next = -1 // incremented to 0, the index of the home pilot
		}
		if p.ctx.Err() != nil {
			return
		}
		p.pauseBeforeRedial()
	}
}

// pauseBeforeRedial waits for a random time between 0.5 and 1.5 times RedialPause, or until the process ends.
func (p *process) pauseBeforeRedial() {
	timer := time.NewTimer(time.Duration((0.5 + p.random.Float64()) * float64(p.RedialPause)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

// hello returns the hello message that the proxy sends at the start of a stream.
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

// runStream joins the pilot at an address and runs the stream until it ends. It returns false if the proxy could not
// join the pilot.
func (p *process) runStream(address string) bool {
	stream, welcome, err := p.join(p.ctx, p.Dial, address, p.hello())
	if err != nil {
		return false // not logged, because tests stop pilots on purpose
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

// streamJoined makes a stream the current one and resets the state that belonged to the previous stream.
func (p *process) streamJoined(stream Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.currentStream = stream
	p.router.StreamJoined()
	p.reportRequest = routing.ReportRequest{}
}

// session handles one stream to a pilot, from the welcome until the stream ends.
type session struct {
	*process
	stream            Stream
	pilot             string            // name of the pilot
	heartbeatInterval time.Duration     // heartbeat interval
	acks              chan wire.Message // acks from the receiving to the sending goroutine
	lastProcessed     atomic.Uint32     // number of the last message that was processed
	reportPeriodMs    atomic.Int64      // interval between load reports, in ms
}

func newSession(p *process, stream Stream, welcome *wire.Welcome) *session {
	s := &session{
		process:           p,
		stream:            stream,
		pilot:             welcome.Pilot,
		heartbeatInterval: time.Duration(welcome.HeartbeatMs) * time.Millisecond,
		acks:              make(chan wire.Message, maxQueuedAcks),
	}
	s.reportPeriodMs.Store(int64(welcome.ReportPeriodMs))
	return s
}

// run receives messages in the calling goroutine and sends messages in another. The goroutine that ends first closes
// the stream, which ends the other. In particular, a write timeout ends the session even if the proxy has stopped
// reading.
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

// sendLoop sends heartbeats, load reports and acks until the stream fails or ctx is done.
func (s *session) sendLoop(ctx context.Context) {
	beats := time.NewTicker(max(s.heartbeatInterval, time.Millisecond))
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
			message = &wire.Heartbeat{LastProcessed: s.lastProcessed.Load()}
		case <-reports.C:
			reports.Reset(s.reportPeriod())
			message = s.report()
		}
		if err := s.stream.Write(message, streamTimeoutBeats*s.heartbeatInterval); err != nil {
			return
		}
	}
}

// reportPeriod returns the interval between load reports, including the injected fault ReportFactor.
func (s *session) reportPeriod() time.Duration {
	period := time.Duration(max(s.reportPeriodMs.Load(), 1)) * time.Millisecond
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

// receiveLoop processes messages from the pilot until the stream fails or the pilot ends it.
func (s *session) receiveLoop(ctx context.Context) {
	for {
		for s.StopReading != nil && s.StopReading() && ctx.Err() == nil {
			time.Sleep(stopReadingPoll)
		}
		message, err := s.stream.Read(streamTimeoutBeats * s.heartbeatInterval)
		if err != nil {
			return
		}
		if !s.receive(ctx, message) {
			return
		}
		s.lastProcessed.Store(s.stream.Last())
	}
}

// receive processes one message from the pilot. It returns false if the stream must be closed.
func (s *session) receive(ctx context.Context, message wire.Message) bool {
	switch m := message.(type) {
	case *wire.Commands:
		return s.receiveCommands(ctx, m)
	case *wire.Pace:
		s.setReportRequest(m)
	case *wire.Redirect, *wire.Refuse:
		return false
	}
	return true
}

// receiveCommands applies the commands of a message and queues the requested acks for the sending goroutine. It returns
// false if ctx is done first.
func (s *session) receiveCommands(ctx context.Context, m *wire.Commands) bool {
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
	s.reportPeriodMs.Store(int64(m.PeriodMs))
}

// apply applies the operations of a message and returns the numbers of the requested acks. No request is routed while
// the operations are applied, which takes ApplyPerLine for each of them.
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

// retireUnusedPools retires the connections to endpoints that are no longer in any table. The caller must hold mu.
func (p *process) retireUnusedPools() {
	used := p.router.Endpoints()
	for endpoint, connections := range p.pools {
		if !slices.Contains(used, endpoint) {
			connections.retire()
			delete(p.pools, endpoint)
		}
	}
}
