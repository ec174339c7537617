package main

import (
	"fmt"
	"math/rand"
	"time"
)

// proxy forwards the requests of one client process as its tables say. World.mu guards it.
type proxy struct {
	world  *world
	number int
	zone   string
	random *rand.Rand

	relay    *relay // of the pilot that it is joined to; nil if it is joined to none
	joins    int
	joinedAt time.Time
	cold     bool

	static    map[string]float64
	tables    map[int]*table
	bound     map[string]int // table of a class, as applied
	ordered   map[string]int // table of a class, as ordered over the present stream
	withdrawn map[string]bool

	out   map[string]int // own requests out, by endpoint
	fails map[string]int // own failures in a row
	away  map[string]time.Time

	usage map[string][2]int // total and errors of each class since the last sums
	bare  map[string]time.Time
}

// newProxy returns a proxy that has just started, with a standing table drawn from the list.
func newProxy(w *world, number int, zone string, seed int64) *proxy {
	p := &proxy{
		world: w, number: number, zone: zone, random: rand.New(rand.NewSource(seed)), cold: true,
		static: map[string]float64{}, tables: map[int]*table{}, bound: map[string]int{}, ordered: map[string]int{},
		withdrawn: map[string]bool{}, out: map[string]int{}, fails: map[string]int{}, away: map[string]time.Time{},
		usage: map[string][2]int{}, bare: map[string]time.Time{},
	}
	var own, all []string
	for _, m := range w.d.endpoints {
		all = append(all, m.name)
		if m.zone == zone {
			own = append(own, m.name)
		}
	}
	from := all
	if len(own) >= 3 {
		from = own
	}
	p.random.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	for _, name := range from[:min(len(from), w.d.standing)] {
		p.static[name] = 1
	}
	return p
}

// joinedEvent returns the news of its joining.
func (p *proxy) joinedEvent() string {
	return fmt.Sprintf(`{"type":"joined","object":{"node":%d,"locality":%q,"w":%.1f,"cold":%t}}`, p.number, p.zone,
		p.world.d.rate, p.cold)
}

// set applies a line of a table.
func (p *proxy) set(number int, endpoint string, weight float64, out bool) {
	t := p.tables[number]
	if t == nil {
		t = newTable()
		p.tables[number] = t
	}
	if weight > 0 {
		t.lines[endpoint] = weight
		if out {
			p.withdrawn[endpoint] = true
		}
	} else {
		delete(t.lines, endpoint)
	}
}

// use applies a whole table for some classes. A proxy that was bound heeds the withdrawals of this pilot alone.
func (p *proxy) use(number int, classes []string, t *table, out []string) {
	first := true
	for _, c := range classes {
		if _, known := p.bound[c]; known {
			first = false
		}
	}
	if first || p.cold {
		p.withdrawn = map[string]bool{}
	}
	p.cold = false
	p.tables[number] = t
	for _, c := range classes {
		p.bound[c] = number
	}
	for _, e := range out {
		p.withdrawn[e] = true
	}
}

// lines returns the lines that it can pick for a class: those of its table that are not withdrawn and that the class is
// open to.
func (p *proxy) lines(c class) map[string]float64 {
	from := p.static
	if number, ok := p.bound[c.name]; ok {
		from = p.tables[number].lines
	}
	usable := map[string]float64{}
	for e, weight := range from {
		if !p.withdrawn[e] && p.world.mayServe(c, e, p.zone) {
			usable[e] = weight
		}
	}
	return usable
}

// admission returns the level and the way of trying again for a class.
func (p *proxy) admission(c class) level {
	if number, ok := p.bound[c.name]; ok {
		if l, ok := p.tables[number].levels[c.name]; ok {
			return l
		}
	}
	return level{1, 1}
}

// pick draws two lines by weight and returns the one with fewer own requests out, without those that it keeps away from
// as long as others are left.
func (p *proxy) pick(lines map[string]float64, not string) string {
	var names []string
	for _, name := range sortedNames(lines) {
		if name != not && time.Now().After(p.away[name]) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		for _, name := range sortedNames(lines) {
			if name != not {
				names = append(names, name)
			}
		}
	}
	if len(names) == 0 {
		return ""
	}
	draw := func() string {
		sum := 0.0
		for _, n := range names {
			sum += lines[n]
		}
		at := p.random.Float64() * sum
		for _, n := range names {
			if at -= lines[n]; at <= 0 {
				return n
			}
		}
		return names[len(names)-1]
	}
	a, b := draw(), draw()
	if p.out[b] < p.out[a] {
		return b
	}
	return a
}

// run sends requests until the run ends.
func (p *proxy) run() {
	for {
		p.world.mu.Lock()
		wait := p.random.ExpFloat64() / p.world.d.rate
		p.world.mu.Unlock()
		select {
		case <-p.world.ended:
			return
		case <-time.After(time.Duration(min(wait, 5) * float64(time.Second))):
		}
		go p.request()
	}
}

// request forwards one request.
func (p *proxy) request() {
	w := p.world
	w.mu.Lock()
	w.requests++
	id := w.requests
	c := w.drawClass(p.random)
	work := float64(c.work.Milliseconds()) * (0.6 + 0.8*p.random.Float64())
	l := p.admission(c)
	if l.share < 1 && p.random.Float64() >= l.share {
		p.count(c, false)
		w.log.line("req %d %s proxy %d: denied by level %.2f", id, c.name, p.number, l.share)
		w.mu.Unlock()
		return
	}
	lines := p.lines(c)
	endpoint := p.pick(lines, "")
	w.mu.Unlock()
	tries, end := 0, time.Now().Add(c.deadline)
	for endpoint != "" {
		tries++
		ran, err := p.try(id, c, endpoint, work, time.Until(end))
		if err == nil {
			w.mu.Lock()
			p.count(c, false)
			w.answered[c.name]++
			w.mu.Unlock()
			return
		}
		again := l.retry == 1 && !ran && tries < 2 || l.retry == 2 && tries < 2 || l.retry == 3 && tries < 3
		if !again || time.Now().After(end) {
			w.mu.Lock()
			p.count(c, true)
			w.failed[c.name]++
			w.log.line("req %d %s proxy %d: failed after %d tries", id, c.name, p.number, tries)
			w.mu.Unlock()
			return
		}
		w.mu.Lock()
		if ran && c.idempotency == "non_idempotent" {
			w.broken("no effect twice: req %d of class %s was sent again by retry mode %d after a try that may have run",
				id, c.name, l.retry)
		}
		endpoint = p.pick(p.lines(c), endpoint)
		w.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p.count(c, true)
	w.refused[c.name]++
	w.log.line("req %d %s proxy %d: refused, no endpoint to pick", id, c.name, p.number)
}

// count adds a request to the sums.
func (p *proxy) count(c class, unanswered bool) {
	u := p.usage[c.name]
	u[0]++
	if unanswered {
		u[1]++
	}
	p.usage[c.name] = u
}

// try sends a request to an endpoint. ran tells whether it may have run there.
func (p *proxy) try(id int, c class, endpoint string, work float64, limit time.Duration) (ran bool, err error) {
	w := p.world
	w.mu.Lock()
	address := w.servers[endpoint].entry.Address
	p.out[endpoint]++
	relay := p.relay
	w.sent(p, endpoint, id, c)
	w.mu.Unlock()
	began := time.Now()
	load, ran, err := ask(address, id, c.name, work, limit)
	w.mu.Lock()
	defer w.mu.Unlock()
	p.out[endpoint]--
	if err != nil {
		p.fails[endpoint]++
		if w.d.ejects > 0 && p.fails[endpoint] >= w.d.ejects {
			p.fails[endpoint] = 0
			p.away[endpoint] = time.Now().Add(w.d.keepAway)
		}
	} else {
		p.fails[endpoint] = 0
	}
	outcome := "answered"
	if err != nil {
		outcome = "no answer"
	}
	w.log.line("req %d %s proxy %d -> %s: %s in %d ms", id, c.name, p.number, endpoint, outcome, time.Since(began).Milliseconds())
	if relay != nil {
		relay.pilot.met(p.zone, endpoint, err != nil, time.Since(began), load)
	}
	return ran, err
}
