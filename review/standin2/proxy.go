package main

import (
	"slices"
	"time"
)

// table is a table as a proxy has applied it.
type table struct {
	lines  map[string]float64
	levels map[string]float64 // by class
	retry  map[string]int     // by class
}

func newTable() *table {
	return &table{lines: map[string]float64{}, levels: map[string]float64{}, retry: map[string]int{}}
}

// proxy is a proxy with one stream to the relay. It follows the simulator's page: it keeps what it holds when its stream
// breaks, and is bound to none of the pilot's tables after it has joined again.
type proxy struct {
	w       *world
	number  int
	zone    string
	joined  bool
	cold    bool // it holds no table that was ordered
	stream  int  // number of the stream
	since   float64
	bound   map[string]int    // at the relay: table of each class, since the stream was opened
	use     map[string]*table // applied: the table of each class
	current map[int]*table    // applied: tables of this stream by number
	earlier map[string]bool   // withdrawals of earlier streams
	out     map[string]bool   // withdrawals of this stream
	bareAt  map[string]float64
	sentAt  []float64 // messages of the stream
	knowsAt float64   // when its last message was sent
	counts  map[string][2]int
}

func newProxy(w *world, number int, zone string) *proxy {
	p := &proxy{w: w, number: number, zone: zone, counts: map[string][2]int{}}
	p.restart()
	return p
}

// restart gives the proxy a standing table of listed endpoints of its zone.
func (p *proxy) restart() {
	standing := newTable()
	var names []string
	for name, s := range p.w.servers {
		if s.zone == p.zone && s.status == "active" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	p.w.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:min(len(names), p.w.d.standing)] {
		standing.lines[name] = 1
	}
	p.use = map[string]*table{}
	for _, c := range p.w.d.classes {
		p.use[c.name] = standing
	}
	p.bound = map[string]int{}
	p.current = map[int]*table{}
	p.earlier = map[string]bool{}
	p.out = map[string]bool{}
	p.bareAt = map[string]float64{}
	p.cold = true
}

// join opens a new stream and tells of it. The caller must hold mu.
func (p *proxy) join() {
	if p.joined {
		return
	}
	p.joined = true
	p.stream++
	p.since = p.w.nowMs()
	p.sentAt = nil
	clear(p.bound)
	clear(p.bareAt)
	p.current = map[int]*table{}
	for e := range p.out {
		p.earlier[e] = true
	}
	p.out = map[string]bool{}
	p.w.log("proxy %d joined stream %d cold %v", p.number, p.stream, p.cold)
	p.w.relay.publish(p.joinedEvent())
}

// leave breaks the stream and tells of it. The caller must hold mu.
func (p *proxy) leave() {
	if !p.joined {
		return
	}
	p.joined = false
	p.stream++
	clear(p.bound)
	p.w.log("proxy %d left", p.number)
	p.w.relay.publish(p.leftEvent())
}

// pickable reports whether the proxy may send a class to an endpoint.
func (p *proxy) pickable(class, endpoint string) bool {
	return p.use[class].lines[endpoint] > 0 && !p.out[endpoint] && !p.earlier[endpoint]
}

// pick draws an endpoint by weight; "" if there is no line.
func (p *proxy) pick(class string) string {
	sum := 0.0
	var names []string
	for name := range p.use[class].lines {
		if p.pickable(class, name) {
			names = append(names, name)
			sum += p.use[class].lines[name]
		}
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	left := p.w.random.Float64() * sum
	for _, name := range names {
		if left -= p.use[class].lines[name]; left < 0 {
			return name
		}
	}
	return names[len(names)-1]
}

// drive sends requests until the world ends.
func (p *proxy) drive(stop <-chan struct{}) {
	for {
		wait := time.Duration(p.w.expDelay() * float64(time.Second) / p.w.d.ratePerProxy)
		select {
		case <-stop:
			return
		case <-time.After(wait):
			p.request()
		}
	}
}

// expDelay draws an exponential delay of mean 1.
func (w *world) expDelay() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.ExpFloat64()
}

// request sends one request of a drawn class, once.
func (p *proxy) request() {
	w := p.w
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.drawClass()
	n := p.counts[c.name]
	n[0]++
	if level, set := p.use[c.name].levels[c.name]; set && w.d.admission == "share" && w.random.Float64() >= level {
		w.requests["refused by level"]++
		p.counts[c.name] = n
		return
	}
	name := p.pick(c.name)
	if name == "" {
		w.requests["refused, no line"]++
		w.log("request of proxy %d %s refused: no line", p.number, c.name)
		n[1]++
		p.counts[c.name] = n
		return
	}
	p.counts[c.name] = n
	w.numbered++
	if s := w.servers[name]; w.send(p, c, s, w.numbered) {
		return
	}
	p.tryAgain(c, name, w.numbered)
}

// tryAgain resends a request that may have run but was not answered in time, if the proxy's table says so, or if it says
// nothing and that is what proxies usually do. The caller must hold mu.
func (p *proxy) tryAgain(c class, tried string, request int) {
	w := p.w
	mode, ordered := p.use[c.name].retry[c.name]
	if !ordered {
		mode = w.d.retryDefault
	}
	if mode < 2 || w.servers[tried].mode != "slow" {
		return
	}
	time.AfterFunc(time.Duration(firstWait*c.aimMs*float64(time.Millisecond)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for range 20 {
			name := p.pick(c.name)
			if name == "" || name == tried {
				continue
			}
			w.log("request %d of proxy %d %s is sent again: mode %d, ordered %v", request, p.number, c.name, mode, ordered)
			if w.send(p, c, w.servers[name], request) && ordered && c.idempotency == "non_idempotent" {
				w.breakRule("duplicate", "", "request %d of %s ran at %s and at %s: its pilot orders retry %d", request, c.name, tried,
					name, mode)
			}
			return
		}
	})
}

// firstWait is how long a try waits which another may follow, as a part of the aim.
const firstWait = 0.8

// drawClass draws a class by share. The caller must hold mu.
func (w *world) drawClass() class {
	left := w.random.Float64()
	for _, c := range w.d.classes {
		if left -= c.share; left < 0 {
			return c
		}
	}
	return w.d.classes[0]
}

// send passes a request to an endpoint, checks the rules on drains and on cold endpoints, and counts the answer. It
// returns whether the request was answered in time; a slow endpoint runs it and answers later. The caller must hold mu.
func (w *world) send(p *proxy, c class, s *server, request int) bool {
	w.requests["sent"]++
	t := s.count[p.zone]
	if t == nil {
		t = &tally{}
		s.count[p.zone] = t
	}
	t.total++
	w.checkDrain(p, s)
	w.checkCold(p, c, s)
	ok := s.mode == "" && s.status != "left"
	if ok {
		s.served++
		t.rttSum += 40
		w.requests["answered"]++
	} else {
		t.errors++
		n := p.counts[c.name]
		n[1]++
		p.counts[c.name] = n
		w.requests["failed"]++
	}
	if ok || s.mode == "slow" {
		w.log("request %d ran at %s", request, s.name)
	}
	w.log("request of proxy %d %s to %s %s ok %v", p.number, c.name, s.name, s.status, ok)
	return ok
}
