// Package proxy is a stand-in for a plain proxy on sockets: it serves clients, keeps a stream to one pilot at a time and
// picks endpoints as internal/standin/follow says.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/network"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options is what a proxy is made of.
type Options struct {
	Name, Zone   string
	Routing       routing.Policy
	Rate         float64 // reqs a second that ordinarily come
	StaticTable     func() []string
	Pilots       func() []string // addresses to dial, the home pilot first
	Dial         Dial            // to pilots and endpoints
	DialTimeout  time.Duration
	RedialPause       time.Duration // mean wait before dialling again
	ApplyPerLine time.Duration // for which it stands still
	FirstAttemptShare    float64       // part of the response target that a try which may be followed waits
	LatencyObjectives      []time.Duration
	ClientTimeouts       []time.Duration // client timeout by class
	Seed         uint64
	// Faults of the stand-in itself, for tests.
	StopReading func() bool    // does not read its stream while true
	NewJoiner      func() Joiner  // made anew for each process; nil: the framed wire in plain
	IgnoreReportRequests  bool           // reports as ever, whatever it is asked for
	ReportFactor   func() float64 // as many times as often
	ClockOffsetMs   float64
}

// Proxy is one proxy; its process can die and come back.
type Proxy struct {
	Options
	events    *eventlog.Stream
	mu      sync.Mutex
	address string
	process    *process
	starts   int
}

// process is one process.
type process struct {
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	applying   sync.RWMutex // held while lines are applied
	mu      sync.Mutex   // guards follower and below
	router  *routing.Router
	pools   map[string]*pool
	clients map[net.Conn]bool
	stream  Stream
	join    Joiner
	eligible   []int
	random     *rand.Rand
	reportRequest    routing.ReportRequest
}

// New returns a proxy that has not started.
func New(m Options, book *eventlog.Stream) *Proxy { return &Proxy{Options: m, events: book} }

// Start begins a process: a standing table is drawn and a pilot dialled.
func (p *Proxy) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		return fmt.Errorf("start %s: it runs", p.Name)
	}
	l, err := network.Listen(p.address)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.address = l.Addr().String()
	p.starts++
	proc := &process{router: routing.NewRouter(p.Routing, p.StaticTable(), p.Seed+uint64(p.starts)), pools: map[string]*pool{},
		clients: map[net.Conn]bool{}, eligible: make([]int, len(p.Routing.Classes)),
		random: rand.New(rand.NewPCG(p.Seed, uint64(p.starts)))}
	for k := range proc.eligible {
		proc.eligible[k] = -1
	}
	if proc.join = Framed(nil); p.NewJoiner != nil {
		proc.join = p.NewJoiner()
	}
	proc.ctx, proc.cancel = context.WithCancel(context.Background())
	p.process = proc
	p.events.Add(eventlog.Event{What: eventlog.Start, N: p.starts, Text: p.Zone})
	proc.logEligible(p)
	context.AfterFunc(proc.ctx, func() { _ = l.Close() })
	proc.wg.Go(func() { p.accept(proc, l) })
	boot := p.starts
	proc.wg.Go(func() { p.maintainStream(proc, boot) })
	return nil
}

// Kill ends the process: all its sockets close.
func (p *Proxy) Kill() {
	p.mu.Lock()
	proc := p.process
	p.process = nil
	p.mu.Unlock()
	if proc == nil {
		return
	}
	p.events.Add(eventlog.Event{What: eventlog.Stop})
	proc.cancel()
	proc.mu.Lock()
	for c := range proc.clients {
		_ = c.Close()
	}
	for _, pl := range proc.pools {
		pl.close()
	}
	if proc.stream != nil {
		proc.stream.Close()
	}
	proc.mu.Unlock()
	proc.wg.Wait()
}

// DropStream breaks its stream to the pilot.
func (p *Proxy) DropStream() {
	p.mu.Lock()
	proc := p.process
	p.mu.Unlock()
	if proc == nil {
		return
	}
	proc.mu.Lock()
	defer proc.mu.Unlock()
	if proc.stream != nil {
		proc.stream.Close()
	}
}

// Address returns where clients ask.
func (p *Proxy) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// logEligible notes how many lines each class has, where that has changed. The caller holds proc.mu or owns proc.
func (proc *process) logEligible(p *Proxy) {
	for k, name := range p.Routing.Classes {
		if n := proc.router.EligibleCount(k); n != proc.eligible[k] {
			proc.eligible[k] = n
			p.events.Add(eventlog.Event{What: eventlog.Lines, Kind: name, N: n})
		}
	}
}

// maintainStream keeps a stream to one pilot at a time.
func (p *Proxy) maintainStream(proc *process, boot int) {
	for try := 0; proc.ctx.Err() == nil; try++ {
		pilots := p.Pilots()
		if len(pilots) > 0 && p.runStream(proc, boot, pilots[try%len(pilots)]) {
			try = -1 // it had a pilot: home first again
		}
		if proc.ctx.Err() != nil {
			return
		}
		wait := time.Duration((0.5 + proc.random.Float64()) * float64(p.RedialPause))
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-proc.ctx.Done():
		}
		t.Stop()
	}
}

// runStream holds one stream to its end and returns whether there was one.
func (p *Proxy) runStream(proc *process, boot int, address string) bool {
	proc.mu.Lock()
	hello := &wire.Hello{Version: wire.Version, Proxy: p.Name, Zone: p.Zone, Boot: uint64(boot), Rate: p.Rate,
		Fresh: proc.router.Fresh(), Holds: proc.router.Endpoints(), Tables: proc.router.HeldTables()}
	proc.mu.Unlock()
	line, welcome, err := proc.join(proc.ctx, p.Dial, address, hello)
	if err != nil {
		return false
	}
	defer line.Close()
	proc.mu.Lock()
	proc.stream = line
	proc.router.StreamJoined()
	proc.reportRequest = routing.ReportRequest{}
	proc.mu.Unlock()
	if proc.ctx.Err() != nil {
		return false
	}
	p.events.Add(eventlog.Event{What: eventlog.Join, Peer: welcome.Pilot, Kind: p.Zone})
	defer p.events.Add(eventlog.Event{What: eventlog.Leave, Peer: welcome.Pilot})
	ctx, cancel := context.WithCancel(proc.ctx)
	defer cancel()
	out := make(chan wire.Message, 16)
	beat := time.Duration(welcome.BeatMs) * time.Millisecond
	var wg sync.WaitGroup
	var seen atomic.Uint32
	var period atomic.Int64
	period.Store(int64(welcome.PeriodMs))
	wg.Go(func() {
		defer cancel() // a stream that can't be written to has ended, also for a proxy that does not read
		defer line.Close()
		p.sendLoop(ctx, proc, line, out, &seen, beat, &period)
	})
	p.receiveLoop(ctx, proc, line, out, beat, welcome.Pilot, &seen, &period)
	cancel()
	line.Close()
	wg.Wait()
	return true
}

// sendLoop sends beats, sums and marks.
func (p *Proxy) sendLoop(ctx context.Context, proc *process, line Stream, out <-chan wire.Message,
	seen *atomic.Uint32, beat time.Duration, period *atomic.Int64) {
	every := func() time.Duration {
		d := time.Duration(max(period.Load(), 1)) * time.Millisecond
		if p.ReportFactor != nil {
			d = time.Duration(float64(d) / p.ReportFactor())
		}
		return d
	}
	beats, sums := time.NewTicker(max(beat, time.Millisecond)), time.NewTimer(every())
	defer beats.Stop()
	defer sums.Stop()
	for {
		var m wire.Message
		select {
		case <-ctx.Done():
			return
		case m = <-out:
		case <-beats.C:
			m = &wire.Beat{Seen: seen.Load()}
		case <-sums.C:
			sums.Reset(every())
			proc.mu.Lock()
			m = proc.router.Report(p.events.Now()+p.ClockOffsetMs, proc.reportRequest)
			proc.mu.Unlock()
		}
		if err := line.Write(m, 3*beat); err != nil {
			return
		}
	}
}

// receiveLoop applies what the pilot orders.
func (p *Proxy) receiveLoop(ctx context.Context, proc *process, line Stream, out chan<- wire.Message,
	beat time.Duration, pilot string, seen *atomic.Uint32, period *atomic.Int64) {
	for {
		for p.StopReading != nil && p.StopReading() && ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
		}
		m, err := line.Read(3 * beat)
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *wire.Orders:
			came := time.Now()
			p.events.Add(eventlog.Event{What: eventlog.Got, Peer: pilot, N: m.Lines, Value: m.AgeMs, Since: m.AtMs})
			marks := p.apply(proc, m)
			for _, n := range marks {
				took := float64(time.Since(came)) / float64(time.Millisecond)
				select {
				case out <- &wire.Done{Mark: n, TookMs: took}:
				case <-ctx.Done():
					return
				}
			}
		case *wire.Pace:
			if !p.IgnoreReportRequests {
				proc.mu.Lock()
				proc.reportRequest = routing.ReportRequest{MaxEndpoints: m.Lines, ChangesOnly: m.Changes}
				proc.mu.Unlock()
				period.Store(int64(m.PeriodMs))
			}
		case *wire.Redirect, *wire.Refuse:
			return
		}
		seen.Store(line.Last())
	}
}

// apply stands still for as long as the lines take.
func (p *Proxy) apply(proc *process, m *wire.Orders) []int {
	proc.applying.Lock()
	defer proc.applying.Unlock()
	if p.ApplyPerLine > 0 {
		time.Sleep(time.Duration(len(m.Ops)) * p.ApplyPerLine)
	}
	proc.mu.Lock()
	defer proc.mu.Unlock()
	marks := proc.router.Apply(m.Ops)
	proc.logEligible(p)
	holds := proc.router.Endpoints()
	for name, pl := range proc.pools {
		if !slices.Contains(holds, name) {
			pl.retire()
			delete(proc.pools, name)
		}
	}
	return marks
}

func (p *Proxy) accept(proc *process, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		proc.mu.Lock()
		if proc.ctx.Err() != nil {
			proc.mu.Unlock()
			_ = c.Close()
			return
		}
		proc.clients[c] = true
		proc.mu.Unlock()
		proc.wg.Go(func() { p.serve(proc, c) })
	}
}

// serve answers one client's connection.
func (p *Proxy) serve(proc *process, c net.Conn) {
	defer func() {
		proc.mu.Lock()
		delete(proc.clients, c)
		proc.mu.Unlock()
		_ = c.Close()
	}()
	var mu sync.Mutex
	w, r := wire.NewWriter(c), wire.NewReader(c, 1<<16)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		m, err := r.Read()
		if err != nil {
			return
		}
		req, ok := m.(*wire.Req)
		if !ok {
			return
		}
		wg.Go(func() {
			a := p.handle(proc, req)
			a.Number = req.Number
			mu.Lock()
			defer mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := w.Write(a); err != nil {
				_ = c.Close()
			}
		})
	}
}

// handle takes one req through its tries.
func (p *Proxy) handle(proc *process, req *wire.Req) *wire.Answer {
	class := slices.Index(p.Routing.Classes, req.Kind)
	if class < 0 {
		return &wire.Answer{Outcome: wire.Denied}
	}
	until := time.Now().Add(min(p.ClientTimeouts[class], time.Duration(req.LimitMs*float64(time.Millisecond))))
	proc.applying.RLock() // a proxy that applies lines stands still
	proc.mu.Lock()
	proc.router.RequestArrived(class, req.Key)
	admitted := proc.router.Admit(class)
	proc.mu.Unlock()
	proc.applying.RUnlock()
	if !admitted {
		p.events.Add(eventlog.Event{What: eventlog.Refuse, Kind: req.Kind, Req: req.Name, Text: "level"})
		return &wire.Answer{Outcome: wire.Denied, ComeBackMs: routing.RetryAfterMs}
	}
	var tried []string
	ran := false
	for {
		name, again := p.pickEndpoint(proc, req, class, tried)
		if name == "" {
			p.events.Add(eventlog.Event{What: eventlog.Refuse, Kind: req.Kind, Req: req.Name, Text: "no line"})
			break
		}
		tried = append(tried, name)
		a, err := p.attempt(proc, name, class, req, len(tried), p.attemptTimeout(again, class, len(tried), until))
		if err == nil && a.Outcome == wire.Fine {
			return &wire.Answer{Outcome: wire.Fine}
		}
		proof := errors.Is(err, errNotSent) || err == nil && a.Outcome == wire.Denied
		ran = ran || !proof
		if !routing.RetryAllowed(again, len(tried), proof) || !time.Now().Before(until) || proc.ctx.Err() != nil {
			break
		}
	}
	if !ran {
		return &wire.Answer{Outcome: wire.Denied, ComeBackMs: routing.RetryAfterMs}
	}
	proc.mu.Lock()
	proc.router.RequestUnanswered(class, req.Key)
	proc.mu.Unlock()
	return &wire.Answer{Outcome: wire.Errored}
}

func (p *Proxy) pickEndpoint(proc *process, req *wire.Req, class int, tried []string) (string, int) {
	proc.applying.RLock()
	defer proc.applying.RUnlock()
	proc.mu.Lock()
	defer proc.mu.Unlock()
	name := proc.router.Pick(p.events.Now(), class, req.Key, tried)
	if name != "" {
		proc.router.AttemptStarted(name)
		// noted here: what picks and what counts as sent must not be parted by a message that is applied between
		p.events.Add(eventlog.Event{What: eventlog.Send, Peer: name, Kind: req.Kind, Req: req.Name, Text: req.Key,
			N: len(tried) + 1})
	}
	return name, proc.router.RetryMode(class)
}

// attemptTimeout is how long a try waits: what is left, less where another may follow.
func (p *Proxy) attemptTimeout(again, class, try int, until time.Time) time.Duration {
	return routing.AttemptTimeout(again, try, time.Until(until), time.Duration(p.FirstAttemptShare*float64(p.LatencyObjectives[class])))
}

// errNotSent proves that a try never ran.
var errNotSent = errors.New("the try never left")

func (p *Proxy) attempt(proc *process, name string, class int, req *wire.Req, n int, wait time.Duration) (*wire.Answer, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(proc.ctx, wait)
	defer cancel()
	proc.mu.Lock()
	pl := proc.pools[name]
	if pl == nil {
		pl = &pool{address: name, dial: p.Dial, timeout: p.DialTimeout}
		proc.pools[name] = pl
	}
	proc.mu.Unlock()
	a, err := pl.roundTrip(ctx, &wire.Req{Name: req.Name, Kind: req.Kind, Key: req.Key, From: p.Name, WorkMs: req.WorkMs,
		LimitMs: float64(wait) / float64(time.Millisecond)})
	good := err == nil && a.Outcome == wire.Fine
	var load []wire.Figure
	if a != nil {
		load = a.Load
	}
	proc.mu.Lock()
	proc.router.AttemptFinished(p.events.Now(), name, good, float64(time.Since(start))/float64(time.Millisecond), load)
	proc.mu.Unlock()
	return a, err
}
