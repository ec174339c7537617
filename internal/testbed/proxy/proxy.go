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
	Habits       routing.Policy
	Rate         float64 // reqs a second that ordinarily come
	Standing     func() []string
	Pilots       func() []string // addresses to dial, the home pilot first
	Dial         Dial            // to pilots and endpoints
	DialTimeout  time.Duration
	Redial       time.Duration // mean wait before dialling again
	ApplyPerLine time.Duration // for which it stands still
	FirstWait    float64       // part of the response target that a try which may be followed waits
	Targets      []time.Duration
	Limits       []time.Duration // client timeout by kind
	Seed         uint64
	// Faults of the stand-in itself, for tests.
	MuteReads func() bool    // does not read its stream while true
	Join      func() Joiner  // made anew for each process; nil: the framed wire in plain
	Heedless  bool           // reports as ever, whatever it is asked for
	Reports   func() float64 // as many times as often
	ClockMs   float64
}

// Proxy is one proxy; its process can die and come back.
type Proxy struct {
	Options
	book    *eventlog.Stream
	mu      sync.Mutex
	address string
	life    *life
	boots   int
}

// life is one process.
type life struct {
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	still   sync.RWMutex // held while lines are applied
	mu      sync.Mutex   // guards follower and below
	follow  *routing.Follower
	conns   map[string]*pool
	clients map[net.Conn]bool
	stream  Line
	join    Joiner
	lines   []int
	rnd     *rand.Rand
	wish    routing.ReportRequest
}

// New returns a proxy that has not started.
func New(m Options, book *eventlog.Stream) *Proxy { return &Proxy{Options: m, book: book} }

// Start begins a process: a standing table is drawn and a pilot dialled.
func (p *Proxy) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.life != nil {
		return fmt.Errorf("start %s: it runs", p.Name)
	}
	l, err := network.Listen(p.address)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.address = l.Addr().String()
	p.boots++
	li := &life{follow: routing.NewFollower(p.Habits, p.Standing(), p.Seed+uint64(p.boots)), conns: map[string]*pool{},
		clients: map[net.Conn]bool{}, lines: make([]int, len(p.Habits.Kinds)),
		rnd: rand.New(rand.NewPCG(p.Seed, uint64(p.boots)))}
	for k := range li.lines {
		li.lines[k] = -1
	}
	if li.join = Framed(nil); p.Join != nil {
		li.join = p.Join()
	}
	li.ctx, li.cancel = context.WithCancel(context.Background())
	p.life = li
	p.book.Add(eventlog.Event{What: eventlog.Start, N: p.boots, Text: p.Zone})
	li.showLines(p)
	context.AfterFunc(li.ctx, func() { _ = l.Close() })
	li.wg.Go(func() { p.accept(li, l) })
	boot := p.boots
	li.wg.Go(func() { p.keepStream(li, boot) })
	return nil
}

// Kill ends the process: all its sockets close.
func (p *Proxy) Kill() {
	p.mu.Lock()
	li := p.life
	p.life = nil
	p.mu.Unlock()
	if li == nil {
		return
	}
	p.book.Add(eventlog.Event{What: eventlog.Stop})
	li.cancel()
	li.mu.Lock()
	for c := range li.clients {
		_ = c.Close()
	}
	for _, pl := range li.conns {
		pl.close()
	}
	if li.stream != nil {
		li.stream.Close()
	}
	li.mu.Unlock()
	li.wg.Wait()
}

// Drop breaks its stream to the pilot.
func (p *Proxy) Drop() {
	p.mu.Lock()
	li := p.life
	p.mu.Unlock()
	if li == nil {
		return
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.stream != nil {
		li.stream.Close()
	}
}

// Address returns where clients ask.
func (p *Proxy) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// showLines notes how many lines each kind has, where that has changed. The caller holds li.mu or owns li.
func (li *life) showLines(p *Proxy) {
	for k, name := range p.Habits.Kinds {
		if n := li.follow.Lines(k); n != li.lines[k] {
			li.lines[k] = n
			p.book.Add(eventlog.Event{What: eventlog.Lines, Kind: name, N: n})
		}
	}
}

// keepStream keeps a stream to one pilot at a time.
func (p *Proxy) keepStream(li *life, boot int) {
	for try := 0; li.ctx.Err() == nil; try++ {
		pilots := p.Pilots()
		if len(pilots) > 0 && p.stream(li, boot, pilots[try%len(pilots)]) {
			try = -1 // it had a pilot: home first again
		}
		if li.ctx.Err() != nil {
			return
		}
		wait := time.Duration((0.5 + li.rnd.Float64()) * float64(p.Redial))
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-li.ctx.Done():
		}
		t.Stop()
	}
}

// stream holds one stream to its end and returns whether there was one.
func (p *Proxy) stream(li *life, boot int, address string) bool {
	li.mu.Lock()
	hello := &wire.Hello{Version: wire.Version, Proxy: p.Name, Zone: p.Zone, Boot: uint64(boot), Rate: p.Rate,
		Fresh: li.follow.Fresh(), Holds: li.follow.Holds(), Tables: li.follow.Tables()}
	li.mu.Unlock()
	line, welcome, err := li.join(li.ctx, p.Dial, address, hello)
	if err != nil {
		return false
	}
	defer line.Close()
	li.mu.Lock()
	li.stream = line
	li.follow.Joined()
	li.wish = routing.ReportRequest{}
	li.mu.Unlock()
	if li.ctx.Err() != nil {
		return false
	}
	p.book.Add(eventlog.Event{What: eventlog.Join, Peer: welcome.Pilot, Kind: p.Zone})
	defer p.book.Add(eventlog.Event{What: eventlog.Leave, Peer: welcome.Pilot})
	ctx, cancel := context.WithCancel(li.ctx)
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
		p.speak(ctx, li, line, out, &seen, beat, &period)
	})
	p.hear(ctx, li, line, out, beat, welcome.Pilot, &seen, &period)
	cancel()
	line.Close()
	wg.Wait()
	return true
}

// speak sends beats, sums and marks.
func (p *Proxy) speak(ctx context.Context, li *life, line Line, out <-chan wire.Message,
	seen *atomic.Uint32, beat time.Duration, period *atomic.Int64) {
	every := func() time.Duration {
		d := time.Duration(max(period.Load(), 1)) * time.Millisecond
		if p.Reports != nil {
			d = time.Duration(float64(d) / p.Reports())
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
			li.mu.Lock()
			m = li.follow.Sums(p.book.Now()+p.ClockMs, li.wish)
			li.mu.Unlock()
		}
		if err := line.Write(m, 3*beat); err != nil {
			return
		}
	}
}

// hear applies what the pilot orders.
func (p *Proxy) hear(ctx context.Context, li *life, line Line, out chan<- wire.Message,
	beat time.Duration, pilot string, seen *atomic.Uint32, period *atomic.Int64) {
	for {
		for p.MuteReads != nil && p.MuteReads() && ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
		}
		m, err := line.Read(3 * beat)
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *wire.Orders:
			came := time.Now()
			p.book.Add(eventlog.Event{What: eventlog.Got, Peer: pilot, N: m.Lines, Value: m.AgeMs, Since: m.AtMs})
			marks := p.apply(li, m)
			for _, n := range marks {
				took := float64(time.Since(came)) / float64(time.Millisecond)
				select {
				case out <- &wire.Done{Mark: n, TookMs: took}:
				case <-ctx.Done():
					return
				}
			}
		case *wire.Pace:
			if !p.Heedless {
				li.mu.Lock()
				li.wish = routing.ReportRequest{Lines: m.Lines, Changes: m.Changes}
				li.mu.Unlock()
				period.Store(int64(m.PeriodMs))
			}
		case *wire.Redirect, *wire.Refuse:
			return
		}
		seen.Store(line.Last())
	}
}

// apply stands still for as long as the lines take.
func (p *Proxy) apply(li *life, m *wire.Orders) []int {
	li.still.Lock()
	defer li.still.Unlock()
	if p.ApplyPerLine > 0 {
		time.Sleep(time.Duration(len(m.Ops)) * p.ApplyPerLine)
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	marks := li.follow.Apply(m.Ops)
	li.showLines(p)
	holds := li.follow.Holds()
	for name, pl := range li.conns {
		if !slices.Contains(holds, name) {
			pl.retire()
			delete(li.conns, name)
		}
	}
	return marks
}

func (p *Proxy) accept(li *life, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		li.mu.Lock()
		if li.ctx.Err() != nil {
			li.mu.Unlock()
			_ = c.Close()
			return
		}
		li.clients[c] = true
		li.mu.Unlock()
		li.wg.Go(func() { p.serve(li, c) })
	}
}

// serve answers one client's connection.
func (p *Proxy) serve(li *life, c net.Conn) {
	defer func() {
		li.mu.Lock()
		delete(li.clients, c)
		li.mu.Unlock()
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
			a := p.handle(li, req)
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
func (p *Proxy) handle(li *life, req *wire.Req) *wire.Answer {
	kind := slices.Index(p.Habits.Kinds, req.Kind)
	if kind < 0 {
		return &wire.Answer{Outcome: wire.Denied}
	}
	until := time.Now().Add(min(p.Limits[kind], time.Duration(req.LimitMs*float64(time.Millisecond))))
	li.still.RLock() // a proxy that applies lines stands still
	li.mu.Lock()
	li.follow.Came(kind, req.Key)
	admitted := li.follow.Admit(kind)
	li.mu.Unlock()
	li.still.RUnlock()
	if !admitted {
		p.book.Add(eventlog.Event{What: eventlog.Refuse, Kind: req.Kind, Req: req.Name, Text: "level"})
		return &wire.Answer{Outcome: wire.Denied, ComeBackMs: routing.ComeBackMs}
	}
	var tried []string
	ran := false
	for {
		name, again := p.choose(li, req, kind, tried)
		if name == "" {
			p.book.Add(eventlog.Event{What: eventlog.Refuse, Kind: req.Kind, Req: req.Name, Text: "no line"})
			break
		}
		tried = append(tried, name)
		a, err := p.try(li, name, kind, req, len(tried), p.patience(again, kind, len(tried), until))
		if err == nil && a.Outcome == wire.Fine {
			return &wire.Answer{Outcome: wire.Fine}
		}
		proof := errors.Is(err, errNever) || err == nil && a.Outcome == wire.Denied
		ran = ran || !proof
		if !routing.TryFollows(again, len(tried), proof) || !time.Now().Before(until) || li.ctx.Err() != nil {
			break
		}
	}
	if !ran {
		return &wire.Answer{Outcome: wire.Denied, ComeBackMs: routing.ComeBackMs}
	}
	li.mu.Lock()
	li.follow.Unanswered(kind, req.Key)
	li.mu.Unlock()
	return &wire.Answer{Outcome: wire.Errored}
}

func (p *Proxy) choose(li *life, req *wire.Req, kind int, tried []string) (string, int) {
	li.still.RLock()
	defer li.still.RUnlock()
	li.mu.Lock()
	defer li.mu.Unlock()
	name := li.follow.Pick(p.book.Now(), kind, req.Key, tried)
	if name != "" {
		li.follow.Sent(name)
		// noted here: what picks and what counts as sent must not be parted by a message that is applied between
		p.book.Add(eventlog.Event{What: eventlog.Send, Peer: name, Kind: req.Kind, Req: req.Name, Text: req.Key,
			N: len(tried) + 1})
	}
	return name, li.follow.Again(kind)
}

// patience is how long a try waits: what is left, less where another may follow.
func (p *Proxy) patience(again, kind, try int, until time.Time) time.Duration {
	return routing.Patience(again, try, time.Until(until), time.Duration(p.FirstWait*float64(p.Targets[kind])))
}

// errNever proves that a try never ran.
var errNever = errors.New("the try never left")

func (p *Proxy) try(li *life, name string, kind int, req *wire.Req, n int, wait time.Duration) (*wire.Answer, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(li.ctx, wait)
	defer cancel()
	li.mu.Lock()
	pl := li.conns[name]
	if pl == nil {
		pl = &pool{address: name, dial: p.Dial, timeout: p.DialTimeout}
		li.conns[name] = pl
	}
	li.mu.Unlock()
	a, err := pl.do(ctx, &wire.Req{Name: req.Name, Kind: req.Kind, Key: req.Key, From: p.Name, WorkMs: req.WorkMs,
		LimitMs: float64(wait) / float64(time.Millisecond)})
	good := err == nil && a.Outcome == wire.Fine
	var load []wire.Figure
	if a != nil {
		load = a.Load
	}
	li.mu.Lock()
	li.follow.Back(p.book.Now(), name, good, float64(time.Since(start))/float64(time.Millisecond), load)
	li.mu.Unlock()
	return a, err
}
