package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// op is one order of a call.
type op struct {
	Verb     string  `json:"verb"`
	Cluster  any     `json:"cluster"`
	Endpoint string  `json:"endpoint"`
	W        float64 `json:"w"`
	Node     int     `json:"node"`
	Classes  any     `json:"classes"`
	Level    float64 `json:"level"`
	Retry    int     `json:"retry"`
	Ticket   int     `json:"ticket"`
	Set      int     `json:"set"`
}

// every stands for all tables.
const every = -1

// cluster returns the number of the table that an order names, or every.
func (o op) cluster() int {
	if n, ok := o.Cluster.(float64); ok {
		return int(n)
	}
	return every
}

// level is what a LIMIT sets for a class.
type level struct {
	share float64
	retry int
}

// table is a table as a pilot has ordered it.
type table struct {
	lines  map[string]float64
	levels map[string]level // by class
}

func newTable() *table { return &table{lines: map[string]float64{}, levels: map[string]level{}} }

func (t *table) clone() *table {
	c := newTable()
	for k, v := range t.lines {
		c.lines[k] = v
	}
	for k, v := range t.levels {
		c.levels[k] = v
	}
	return c
}

// relay holds the streams of the proxies that are joined to one pilot. World.mu guards its state.
type relay struct {
	world    *world
	pilot    *pilot
	listener *tracked
	server   *http.Server

	open      bool // the run has begun
	tables    map[int]*table
	withdrawn map[string]bool
	joined    map[int]*proxy
	streams   map[chan string]bool

	freeAt     time.Time // when the channel has sent all that waits
	waiting    int
	maxWaiting int
	epoch      int // start of the pilot that it serves
	fault      string
	noNewsTill time.Time // connections for news are reset until then
}

// newRelay starts a relay on a free port.
func newRelay(w *world, p *pilot) (*relay, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	r := &relay{world: w, pilot: p, listener: listener, joined: map[int]*proxy{}, streams: map[chan string]bool{}}
	r.reset()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/orders", r.orders)
	mux.HandleFunc("GET /v1/events", r.events)
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: 30 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

// reset forgets all that the pilot ordered, as when its process ends. The caller holds the world's lock.
func (r *relay) reset() {
	r.tables = map[int]*table{}
	r.withdrawn = map[string]bool{}
	r.freeAt = time.Time{}
	r.waiting = 0
	r.epoch++
	for s := range r.streams {
		close(s)
	}
	r.streams = map[chan string]bool{}
}

// orders carries out one call.
func (r *relay) orders(out http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	var call struct {
		Ops []op `json:"ops"`
	}
	answer := `{"error":"malformed"}`
	if err := json.Unmarshal(body, &call); err == nil && call.Ops != nil {
		if r.faulty(out, call.Ops) {
			return
		}
		r.world.mu.Lock()
		if r.open {
			answer = fmt.Sprintf(`{"ok_count":%d}`, r.execute(call.Ops))
		} else {
			answer = `{"error":"limit"}`
		}
		r.world.mu.Unlock()
	}
	_, _ = out.Write([]byte(answer))
}

// Faults of a relay.
const (
	lostAnswers  = "lost"   // calls are reset, half of them after they were carried out
	spoilt       = "spoilt" // calls are carried out, the answers cannot be read
	outOfReach   = "silent" // neither calls nor news pass
	noFault      = ""
	pollInterval = 20 * time.Millisecond
)

// faulty treats a call as the present fault wants and returns whether there is one.
func (r *relay) faulty(out http.ResponseWriter, ops []op) bool {
	w := r.world
	w.mu.Lock()
	fault := r.fault
	if fault == spoilt || fault == lostAnswers && w.random.Intn(2) == 0 {
		r.execute(ops)
	}
	if fault != noFault && len(ops) > 0 {
		w.log.line("call to the relay of %s meets fault %s", r.pilot.name, fault)
	}
	w.mu.Unlock()
	switch fault {
	case noFault:
		return false
	case spoilt:
		_, _ = out.Write([]byte(`{"ok_count":"none"}`))
		return true
	case outOfReach:
		for r.present() == outOfReach {
			time.Sleep(pollInterval)
		}
	}
	resetAnswer(out)
	return true
}

// resetAnswer resets the connection of a call.
func resetAnswer(out http.ResponseWriter) {
	if hijacker, ok := out.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			reset(conn)
		}
	}
}

// breakNews resets the connections for news, and new ones for a time.
func (r *relay) breakNews(span time.Duration) {
	w := r.world
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log.line("news connections of %s break for %v", r.pilot.name, span)
	w.excuse(4 * time.Second)
	r.noNewsTill = time.Now().Add(span)
	for s := range r.streams {
		close(s)
		delete(r.streams, s)
	}
}

// present returns the present fault.
func (r *relay) present() string {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	return r.fault
}

// breaks sets a fault for a time.
func (r *relay) breaks(fault string, span time.Duration) {
	w := r.world
	w.mu.Lock()
	r.fault = fault
	w.log.line("relay of %s: fault %s for %v", r.pilot.name, fault, span)
	switch fault {
	case lostAnswers:
		w.excuse(span + 500*time.Millisecond)
	default:
		w.excuse(span + 1500*time.Millisecond)
	}
	if fault == outOfReach {
		w.excuse(4 * time.Second)
	}
	w.mu.Unlock()
	time.Sleep(span)
	w.mu.Lock()
	r.fault = noFault
	w.mu.Unlock()
	if fault == outOfReach {
		r.listener.resetAll()
	}
}

// message is what one call brings to one proxy.
type message struct {
	to    *proxy
	join  int // the joining that it belongs to
	apply []func(*proxy)
	lines int
	marks []int
}

// execute carries out orders up to the first that cannot be used. The caller holds the world's lock.
func (r *relay) execute(ops []op) (done int) {
	messages := map[int]*message{}
	to := func(p *proxy) *message {
		if messages[p.number] == nil {
			messages[p.number] = &message{to: p, join: p.joins, lines: r.world.d.head}
		}
		return messages[p.number]
	}
	for _, o := range ops {
		if !r.usable(o) {
			r.world.log.line("order to %s cannot be used: %s node %d endpoint %s", r.pilot.name, o.Verb, o.Node, o.Endpoint)
			break
		}
		r.one(o, to, messages)
		done++
		r.world.log.line("order of %s: %s", r.pilot.name, o.text())
	}
	for _, number := range sortedKeys(messages) {
		r.send(messages[number])
	}
	return done
}

// text returns an order in short.
func (o op) text() string {
	switch o.Verb {
	case "SET":
		return fmt.Sprintf("SET table %d %s %.3g", o.cluster(), o.Endpoint, o.W)
	case "DEL":
		return fmt.Sprintf("DEL table %d", o.cluster())
	case "USE":
		return fmt.Sprintf("USE proxy %d table %d %v", o.Node, o.cluster(), o.Classes)
	case "LIMIT":
		return fmt.Sprintf("LIMIT table %d %v level %.2f retry %d", o.cluster(), o.Classes, o.Level, o.Retry)
	case "SYNC":
		return fmt.Sprintf("SYNC %d", o.Ticket)
	}
	return o.Verb + " " + o.Endpoint
}

// usable returns whether the relay can use an order.
func (r *relay) usable(o op) bool {
	switch o.Verb {
	case "SET":
		return o.cluster() >= 0 && o.W >= 0 && r.world.everListed[o.Endpoint]
	case "DEL":
		return o.cluster() >= 0
	case "USE":
		return r.joined[o.Node] != nil && o.cluster() >= 0
	case "OUT", "IN":
		return r.world.everListed[o.Endpoint]
	case "LIMIT":
		return o.Level >= 0
	case "SYNC":
		return true
	}
	return false
}

// one carries out one order. The caller holds the world's lock.
func (r *relay) one(o op, to func(*proxy) *message, messages map[int]*message) {
	add := func(p *proxy, change func(*proxy)) {
		m := to(p)
		m.apply = append(m.apply, change)
		m.lines++
	}
	number := o.cluster()
	switch o.Verb {
	case "SET":
		t := r.table(number)
		if o.W > 0 {
			t.lines[o.Endpoint] = o.W
		} else {
			delete(t.lines, o.Endpoint)
		}
		out := r.withdrawn[o.Endpoint]
		r.users(number, func(p *proxy) {
			add(p, func(p *proxy) { p.set(number, o.Endpoint, o.W, out) })
		})
	case "DEL":
		r.tables[number] = newTable()
		r.users(number, func(p *proxy) { add(p, func(p *proxy) { p.tables[number] = newTable() }) })
	case "USE":
		r.use(o, to)
	case "OUT", "IN":
		out := o.Verb == "OUT"
		r.withdrawn[o.Endpoint] = out
		if !out {
			delete(r.withdrawn, o.Endpoint)
		}
		for _, n := range sortedKeys(r.joined) {
			if p := r.joined[n]; r.holds(p, o.Endpoint) {
				add(p, func(p *proxy) { p.withdrawn[o.Endpoint] = out })
			}
		}
	case "LIMIT":
		set := func(t *table) {
			for _, c := range r.world.named(o.Classes) {
				t.levels[c] = level{o.Level, o.Retry}
			}
		}
		if number == every {
			for _, t := range r.tables {
				set(t)
			}
		} else {
			set(r.table(number))
		}
		r.users(number, func(p *proxy) {
			add(p, func(p *proxy) {
				for n, t := range p.tables {
					if number == every || n == number {
						set(t)
					}
				}
			})
		})
	case "SYNC":
		if o.Set == 1 {
			for _, p := range r.joined {
				to(p)
			}
		}
		for _, m := range messages {
			m.marks = append(m.marks, o.Ticket)
			m.lines++
		}
	}
}

// use carries out a USE. The caller holds the world's lock.
func (r *relay) use(o op, to func(*proxy) *message) {
	p := r.joined[o.Node]
	number := o.cluster()
	classes := r.world.named(o.Classes)
	for _, c := range classes {
		p.ordered[c] = number
	}
	t := r.table(number).clone()
	var out []string
	for e := range t.lines {
		if r.withdrawn[e] {
			out = append(out, e)
		}
	}
	m := to(p)
	m.lines += 1 + len(t.lines) + len(t.levels) + len(out)
	m.apply = append(m.apply, func(p *proxy) { p.use(number, classes, t, out) })
}

// table returns the table with a number. The caller holds the world's lock.
func (r *relay) table(number int) *table {
	if r.tables[number] == nil {
		r.tables[number] = newTable()
	}
	return r.tables[number]
}

// users calls a function for each joined proxy that is bound to a table. The caller holds the world's lock.
func (r *relay) users(number int, do func(*proxy)) {
	for _, n := range sortedKeys(r.joined) {
		p := r.joined[n]
		for _, t := range p.ordered {
			if number == every || t == number {
				do(p)
				break
			}
		}
	}
}

// holds returns whether a proxy has a table that contains an endpoint. The caller holds the world's lock.
func (r *relay) holds(p *proxy, endpoint string) bool {
	if p.static[endpoint] > 0 && len(p.ordered) == 0 {
		return true
	}
	for _, t := range p.tables {
		if t.lines[endpoint] > 0 {
			return true
		}
	}
	for _, n := range p.ordered {
		if r.table(n).lines[endpoint] > 0 {
			return true
		}
	}
	return false
}

// send puts a message into the channel. The caller holds the world's lock.
func (r *relay) send(m *message) {
	w := r.world
	r.waiting += m.lines
	r.maxWaiting = max(r.maxWaiting, r.waiting)
	now := time.Now()
	if r.freeAt.Before(now) {
		r.freeAt = now
	}
	r.freeAt = r.freeAt.Add(time.Duration(float64(m.lines) / w.d.linesPerS * float64(time.Second)))
	leaves := r.freeAt.Sub(now)
	epoch := r.epoch
	time.AfterFunc(leaves, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if r.epoch == epoch {
			r.waiting -= m.lines
		}
	})
	arrives := leaves + w.d.late
	time.AfterFunc(arrives, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if m.to.joins != m.join || m.to.relay != r || r.epoch != epoch {
			return // the stream has broken meanwhile
		}
		for _, change := range m.apply {
			change(m.to)
		}
		for _, mark := range m.marks {
			r.publish(fmt.Sprintf(`{"type":"applied","object":{"node":%d,"nonce":%d,"latency":%d}}`, m.to.number, mark,
				arrives.Milliseconds()))
		}
	})
}

// join adds a proxy. The caller holds the world's lock.
func (r *relay) join(p *proxy) {
	r.joined[p.number] = p
	r.publish(p.joinedEvent())
}

// leave removes a proxy. The caller holds the world's lock.
func (r *relay) leave(p *proxy) {
	delete(r.joined, p.number)
	r.publish(fmt.Sprintf(`{"type":"left","object":{"node":%d}}`, p.number))
}

// publish sends a line of news. The caller holds the world's lock.
func (r *relay) publish(line string) {
	if r.fault == outOfReach {
		return
	}
	for s := range r.streams {
		select {
		case s <- line:
		default:
			close(s)
			delete(r.streams, s)
		}
	}
}

// events serves one connection of news.
func (r *relay) events(out http.ResponseWriter, request *http.Request) {
	w := r.world
	lines := make(chan string, 8192)
	for r.present() == outOfReach {
		time.Sleep(pollInterval)
	}
	w.mu.Lock()
	if time.Now().Before(r.noNewsTill) {
		w.mu.Unlock()
		resetAnswer(out)
		return
	}
	w.log.line("news connection of %s opens, %d proxies joined", r.pilot.name, len(r.joined))
	for _, n := range sortedKeys(r.joined) {
		lines <- r.joined[n].joinedEvent()
	}
	r.streams[lines] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(r.streams, lines)
		w.mu.Unlock()
	}()
	flusher, _ := out.(http.Flusher)
	out.WriteHeader(http.StatusOK)
	flusher.Flush()
	alive := time.NewTicker(time.Second)
	defer alive.Stop()
	for {
		line := "{}"
		select {
		case text, ok := <-lines:
			if !ok {
				resetAnswer(out)
				return
			}
			line = text
		case <-alive.C:
			if r.present() == outOfReach {
				continue
			}
		case <-request.Context().Done():
			return
		}
		if _, err := io.WriteString(out, line+"\n"); err != nil {
			return
		}
		flusher.Flush()
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
