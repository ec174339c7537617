package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/routing"
)

// unknownCount is no count of lines, so that the first one is logged whatever it is.
const unknownCount = -1

// process is one process of a proxy. All its goroutines are in wg and end after ctx.
type process struct {
	*Options
	events      *eventlog.Stream
	incarnation int // counts the starts, from 1
	join        Joiner
	random      *rand.Rand // of the goroutine that keeps the stream
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	// applying is held for writing while lines are applied: no request is routed meanwhile. It is taken before mu.
	applying sync.RWMutex

	mu            sync.Mutex // guards what follows
	router        *routing.Router
	pools         map[string]*pool // by endpoint
	clients       map[net.Conn]bool
	currentStream Stream // to the pilot, or the last one; nil before the first
	eligible      []int  // by class: lines to pick from, as last logged
	reportRequest routing.ReportRequest
}

// newProcess makes a process that does nothing yet.
func newProcess(p *Proxy, incarnation int) *process {
	proc := &process{
		Options:     &p.Options,
		events:      p.events,
		incarnation: incarnation,
		join:        Framed(nil),
		random:      rand.New(rand.NewPCG(p.Seed, uint64(incarnation))),
		router:      routing.NewRouter(p.Routing, p.StaticTable(), p.Seed+uint64(incarnation)),
		pools:       map[string]*pool{},
		clients:     map[net.Conn]bool{},
		eligible:    make([]int, len(p.Routing.Classes)),
	}
	for class := range proc.eligible {
		proc.eligible[class] = unknownCount
	}
	if p.NewJoiner != nil {
		proc.join = p.NewJoiner()
	}
	proc.ctx, proc.cancel = context.WithCancel(context.Background())
	return proc
}

// start serves clients and dials pilots until kill.
func (p *process) start(listener net.Listener) {
	p.events.Add(eventlog.Event{What: eventlog.Start, N: p.incarnation, Text: p.Zone})
	p.logEligible()
	context.AfterFunc(p.ctx, func() { _ = listener.Close() })
	p.wg.Go(func() { p.accept(listener) })
	p.wg.Go(p.maintainStream)
}

// kill closes all sockets and waits for the goroutines.
func (p *process) kill() {
	p.events.Add(eventlog.Event{What: eventlog.Stop})
	p.cancel()
	p.closeSockets()
	p.wg.Wait()
}

func (p *process) closeSockets() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.clients {
		_ = conn.Close()
	}
	for _, endpoint := range p.pools {
		endpoint.close()
	}
	if p.currentStream != nil {
		p.currentStream.Close()
	}
}

func (p *process) dropStream() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.currentStream != nil {
		p.currentStream.Close()
	}
}

// logEligible logs how many lines each class can be sent by, where that has changed. The caller holds mu, or no other
// goroutine runs yet.
func (p *process) logEligible() {
	for class, name := range p.Routing.Classes {
		if n := p.router.EligibleCount(class); n != p.eligible[class] {
			p.eligible[class] = n
			p.events.Add(eventlog.Event{What: eventlog.Lines, Kind: name, N: n})
		}
	}
}
