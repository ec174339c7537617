package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/routing"
)

// unknownCount is the initial value in process.loggedEligible. It differs from every real count, so that the first
// count is always logged.
const unknownCount = -1

// process is one run of a proxy, from a start to a kill. Its goroutines are tracked by wg and end once ctx is done.
type process struct {
	*Options
	events      *eventlog.Stream
	incarnation int // number of the start, counted from 1
	join        Joiner
	random      *rand.Rand // used only by the goroutine that runs maintainStream
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	// applying is locked for writing while commands are applied, so that no request is routed during that time. It must
	// be locked before mu.
	applying sync.RWMutex

	mu             sync.Mutex // guards the fields below
	router         *routing.Router
	pools          map[string]*pool // by endpoint
	clients        map[net.Conn]bool
	currentStream  Stream // current or last stream to a pilot; nil before the first
	loggedEligible []int  // by class: last logged number of endpoints to pick from
	reportRequest  routing.ReportRequest
}

// newProcess returns a process that has not been started.
func newProcess(p *Proxy, incarnation int) *process {
	proc := &process{
		Options:        &p.Options,
		events:         p.events,
		incarnation:    incarnation,
		join:           Framed(nil),
		random:         rand.New(rand.NewPCG(p.Seed, uint64(incarnation))),
		router:         routing.NewRouter(p.Routing, p.StaticTable(), p.Seed+uint64(incarnation)),
		pools:          map[string]*pool{},
		clients:        map[net.Conn]bool{},
		loggedEligible: make([]int, len(p.Routing.Classes)),
	}
	for class := range proc.loggedEligible {
		proc.loggedEligible[class] = unknownCount
	}
	if p.NewJoiner != nil {
		proc.join = p.NewJoiner()
	}
	proc.ctx, proc.cancel = context.WithCancel(context.Background())
	return proc
}

// start starts the goroutines that serve clients and maintain the stream to a pilot. They run until kill.
func (p *process) start(listener net.Listener) {
	p.events.Add(eventlog.Event{What: eventlog.Start, N: p.incarnation, Text: p.Zone})
	p.logEligible()
	context.AfterFunc(p.ctx, func() { _ = listener.Close() })
	p.wg.Go(func() { p.accept(listener) })
	p.wg.Go(p.maintainStream)
}

// kill closes all sockets of the process and waits for its goroutines.
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

// logEligible logs the number of endpoints that each class can be sent to, if it has changed. The caller must hold mu,
// unless no other goroutine has been started.
func (p *process) logEligible() {
	for class, name := range p.Routing.Classes {
		if n := p.router.EligibleCount(class); n != p.loggedEligible[class] {
			p.loggedEligible[class] = n
			p.events.Add(eventlog.Event{What: eventlog.Lines, Kind: name, N: n})
		}
	}
}
