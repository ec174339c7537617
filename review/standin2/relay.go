package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"
)

// relay is the platform's relay for one pilot: it takes orders and tells of the proxies. World.mu guards its fields.
type relay struct {
	w         *world
	listeners []net.Listener
	address   string
	news      []*newsStream
	conns     map[net.Conn]bool
	opened    int // connections that carried news so far

	tables  map[int]*table
	out     map[string]bool
	freeAt  float64
	waiting int
	most    int

	refuse  bool          // new connections are reset
	failing string        // how the next calls fail: "", "broken", "broken before", "silent", "spoilt"
	fails   int           // how many of the next calls fail
	delay   time.Duration // before an answer
}

// newsStream is a connection that carries the news.
type newsStream struct {
	conn   net.Conn
	events chan string
	silent bool
	number int
}

// order is one order of a call.
type order struct {
	Verb     string          `json:"verb"`
	Cluster  json.RawMessage `json:"cluster"`
	Endpoint string          `json:"endpoint"`
	W        float64         `json:"w"`
	Node     int             `json:"node"`
	Classes  json.RawMessage `json:"classes"`
	Level    float64         `json:"level"`
	Retry    int             `json:"retry"`
	Ticket   int             `json:"ticket"`
	Set      int             `json:"set"`
}

// message is what one call sends to one proxy.
type message struct {
	p      *proxy
	stream int
	lines  int
	apply  []func(p *proxy)
	acks   []int
}

func newRelay(w *world) (*relay, error) {
	r := &relay{w: w, conns: map[net.Conn]bool{}}
	r.forget()
	return r, r.listen()
}

// forget drops what an instance of the pilot had ordered. The caller must hold mu, but for the start.
func (r *relay) forget() {
	r.tables = map[int]*table{}
	r.out = map[string]bool{}
	r.freeAt = 0
	r.waiting = 0
	for _, p := range r.w.proxies {
		clear(p.bound)
		p.current = map[int]*table{}
	}
}

// listen opens one more address, which becomes the relay's.
func (r *relay) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listeners = append(r.listeners, l)
	r.address = l.Addr().String()
	go r.accept(l) // ends when the listener is closed
	return nil
}

func (r *relay) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r.w.mu.Lock()
		refuse := r.refuse
		if !refuse {
			r.conns[conn] = true
		}
		r.w.mu.Unlock()
		if refuse {
			reset(conn)
			continue
		}
		go r.serve(conn) // ends with the connection
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (r *relay) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.w.mu.Lock()
		delete(r.conns, conn)
		r.w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == "/v1/events" {
			r.tell(conn)
			return
		}
		if !r.answer(conn, body) {
			return
		}
	}
}

// answer carries a call out and answers it. It returns false if the connection ends.
func (r *relay) answer(conn net.Conn, body []byte) bool {
	r.w.mu.Lock()
	failing := ""
	if r.fails > 0 && string(body) != `{"ops":[]}` {
		r.fails--
		failing = r.failing
	}
	text := ""
	if failing != "broken before" {
		text = r.call(body)
	}
	delay := r.delay
	if failing != "" {
		r.w.log("call %s", failing)
	}
	r.w.mu.Unlock()
	time.Sleep(delay)
	switch failing {
	case "broken", "broken before":
		reset(conn)
		return false
	case "silent":
		return true
	case "spoilt":
		text = `{"ok_count":"x"}`
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err == nil
}

// call carries out the orders of a call and returns the answer. The caller must hold mu.
func (r *relay) call(body []byte) string {
	var c struct {
		Ops []order `json:"ops"`
	}
	if err := json.Unmarshal(body, &c); err != nil || c.Ops == nil {
		return `{"error":"malformed"}`
	}
	messages := map[int]*message{}
	done := 0
	for i := range c.Ops {
		if !r.execute(&c.Ops[i], messages) {
			r.w.log("halted at %+v", c.Ops[i])
			break
		}
		done++
	}
	for _, p := range r.w.proxies {
		if m := messages[p.number]; m != nil {
			r.queue(m)
		}
	}
	if len(c.Ops) > 0 {
		r.w.log("call of %d orders, %d done, %d messages, %d lines wait", len(c.Ops), done, len(messages), r.waiting)
	}
	return fmt.Sprintf(`{"ok_count":%d}`, done)
}

// to returns the message of this call to a proxy.
func (r *relay) to(messages map[int]*message, p *proxy) *message {
	m := messages[p.number]
	if m == nil {
		m = &message{p: p, stream: p.stream, lines: r.w.d.head}
		messages[p.number] = m
	}
	return m
}

// add adds one line to the message to a proxy.
func (r *relay) add(messages map[int]*message, p *proxy, apply func(p *proxy)) {
	m := r.to(messages, p)
	m.lines++
	m.apply = append(m.apply, apply)
}

// table returns a table by number.
func (r *relay) table(number int) *table {
	if r.tables[number] == nil {
		r.tables[number] = newTable()
	}
	return r.tables[number]
}

// users returns the joined proxies that are bound to a table.
func (r *relay) users(number int) (list []*proxy) {
	for _, p := range r.w.proxies {
		if !p.joined {
			continue
		}
		for _, bound := range p.bound {
			if bound == number {
				list = append(list, p)
				break
			}
		}
	}
	return list
}

// classesOf parses a list of classes; none means all.
func (r *relay) classesOf(text json.RawMessage) (names []string) {
	if json.Unmarshal(text, &names) == nil && len(names) > 0 && names[0] != "*" {
		return names
	}
	names = nil
	for _, c := range r.w.d.classes {
		names = append(names, c.name)
	}
	return names
}

// execute carries out one order. It returns false if it can't be used.
func (r *relay) execute(o *order, messages map[int]*message) bool {
	number := -1 // all tables
	if len(o.Cluster) > 0 && o.Cluster[0] != '"' {
		if json.Unmarshal(o.Cluster, &number) != nil || number < 0 {
			return false
		}
	}
	switch o.Verb {
	case "SET":
		return r.setLine(number, o, messages)
	case "DEL":
		t := r.table(number)
		clear(t.lines)
		clear(t.levels)
		for _, p := range r.users(number) {
			r.add(messages, p, func(p *proxy) {
				if t := p.current[number]; t != nil {
					clear(t.lines)
					clear(t.levels)
				}
			})
		}
	case "USE":
		return r.bind(number, o, messages)
	case "OUT", "IN":
		return r.withdraw(o, messages)
	case "LIMIT":
		return r.limit(number, o, messages)
	case "SYNC":
		for _, p := range r.w.proxies {
			if m := messages[p.number]; p.joined && (m != nil || o.Set != 0) {
				m = r.to(messages, p)
				m.lines++
				m.acks = append(m.acks, o.Ticket)
			}
		}
	default:
		return false
	}
	return true
}

func (r *relay) setLine(number int, o *order, messages map[int]*message) bool {
	if r.w.servers[o.Endpoint] == nil || o.W < 0 || number < 0 {
		return false
	}
	name, weight := o.Endpoint, o.W
	set := func(t *table) {
		if weight > 0 {
			t.lines[name] = weight
		} else {
			delete(t.lines, name)
		}
	}
	set(r.table(number))
	r.w.log("order SET %d %s %.3f", number, name, weight)
	for _, p := range r.users(number) {
		r.add(messages, p, func(p *proxy) {
			if t := p.current[number]; t != nil {
				set(t)
			}
		})
	}
	return true
}

func (r *relay) bind(number int, o *order, messages map[int]*message) bool {
	if o.Node < 0 || o.Node >= len(r.w.proxies) || !r.w.proxies[o.Node].joined || number < 0 {
		return false
	}
	p := r.w.proxies[o.Node]
	names := r.classesOf(o.Classes)
	from := r.table(number)
	copied := newTable()
	var withdrawn []string
	for name, weight := range from.lines {
		copied.lines[name] = weight
		if r.out[name] {
			withdrawn = append(withdrawn, name)
		}
	}
	for name, level := range from.levels {
		copied.levels[name] = level
		copied.retry[name] = from.retry[name]
	}
	for _, name := range names {
		p.bound[name] = number
	}
	r.w.log("order USE proxy %d table %d %v: %d lines", p.number, number, names, len(copied.lines))
	r.add(messages, p, func(p *proxy) {
		clear(p.earlier)
		p.cold = false
		p.current[number] = copied
		for _, name := range names {
			p.use[name] = copied
		}
		for _, name := range withdrawn {
			p.out[name] = true
		}
	})
	messages[p.number].lines += len(copied.lines) + len(copied.levels) + len(withdrawn)
	return true
}

func (r *relay) withdraw(o *order, messages map[int]*message) bool {
	if r.w.servers[o.Endpoint] == nil {
		return false
	}
	name, out := o.Endpoint, o.Verb == "OUT"
	if out {
		r.out[name] = true
	} else {
		delete(r.out, name)
	}
	r.w.log("order %s %s", o.Verb, name)
	apply := func(p *proxy) {
		if out {
			p.out[name] = true
			return
		}
		delete(p.out, name)
		delete(p.earlier, name)
	}
	for _, p := range r.w.proxies {
		switch {
		case !p.joined:
		case r.holds(p, name):
			r.add(messages, p, apply)
		default:
			apply(p) // it has no line to that endpoint, so nothing is sent
		}
	}
	return true
}

// holds reports whether a proxy holds a table that contains an endpoint.
func (r *relay) holds(p *proxy, endpoint string) bool {
	for _, c := range r.w.d.classes {
		if number, bound := p.bound[c.name]; bound && r.table(number).lines[endpoint] > 0 {
			return true
		}
		if p.use[c.name].lines[endpoint] > 0 {
			return true
		}
	}
	return false
}

func (r *relay) limit(number int, o *order, messages map[int]*message) bool {
	if o.Level < 0 || number < 0 {
		return o.Level >= 0
	}
	names := r.classesOf(o.Classes)
	level, retry := o.Level, o.Retry
	set := func(t *table) {
		for _, name := range names {
			t.levels[name] = level
			t.retry[name] = retry
		}
	}
	set(r.table(number))
	r.w.log("order LIMIT %d %v level %.2f retry %d", number, names, level, retry)
	for _, p := range r.users(number) {
		r.add(messages, p, func(p *proxy) {
			if t := p.current[number]; t != nil {
				set(t)
			}
		})
	}
	return true
}

// queue puts a message into the channel. The caller must hold mu.
func (r *relay) queue(m *message) {
	w := r.w
	now := w.nowMs()
	r.waiting += m.lines
	r.most = max(r.most, r.waiting)
	if r.waiting > w.d.backlog {
		w.breakRule("backlog", "", "%d lines wait", r.waiting)
	}
	r.freeAt = max(r.freeAt, now) + float64(m.lines)*1000/w.d.linesPerS
	m.p.sentAt = append(m.p.sentAt, now)
	recent := 0
	for _, at := range m.p.sentAt {
		if now-at < w.d.windowMs {
			recent++
		}
	}
	if recent > w.d.maxMessages {
		w.breakRule("messages", "", "%d messages to proxy %d in %.0f ms", recent, m.p.number, w.d.windowMs)
	}
	life := w.pilot.life
	leave := time.Duration((r.freeAt - now) * float64(time.Millisecond))
	time.AfterFunc(leave, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.pilot.life == life {
			r.waiting -= m.lines
		}
	})
	late := time.Duration(w.d.lateMs * float64(time.Millisecond))
	time.AfterFunc(leave+late, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		r.arrive(m, life, now)
	})
}

// arrive applies a message at its proxy, unless the stream or the pilot has ended. The caller must hold mu.
func (r *relay) arrive(m *message, life int, sentMs float64) {
	if m.p.stream != m.stream || !m.p.joined || r.w.pilot.life != life {
		return
	}
	for _, apply := range m.apply {
		apply(m.p)
	}
	m.p.knowsAt = sentMs
	for _, ack := range m.acks {
		r.publish(fmt.Sprintf(`{"type":"applied","object":{"node":%d,"nonce":%d,"latency":%.1f}}`, m.p.number, ack,
			r.w.nowMs()-sentMs))
	}
}

func (p *proxy) joinedEvent() string {
	return fmt.Sprintf(`{"type":"joined","object":{"node":%d,"locality":%q,"w":%.1f,"cold":%v}}`, p.number, p.zone,
		p.w.d.ratePerProxy, p.cold)
}

func (p *proxy) leftEvent() string {
	return fmt.Sprintf(`{"type":"left","object":{"node":%d}}`, p.number)
}

// publish tells an event on all connections that carry news. The caller must hold mu.
func (r *relay) publish(event string) {
	for _, n := range r.news {
		if n.silent {
			continue // its bytes are on their way and never arrive
		}
		select {
		case n.events <- event:
		default:
			_ = n.conn.Close()
		}
	}
}

// tell writes the news to a connection until it ends.
func (r *relay) tell(conn net.Conn) {
	n := &newsStream{conn: conn, events: make(chan string, 8192)}
	r.w.mu.Lock()
	r.opened++
	n.number = r.opened
	for _, p := range r.w.proxies {
		if p.joined {
			n.events <- p.joinedEvent()
		}
	}
	r.news = append(r.news, n)
	r.w.log("news connection %d opened, %d proxies stand", n.number, len(n.events))
	r.w.mu.Unlock()
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}()
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"); err == nil {
		r.write(n, closed)
	}
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.news = slices.DeleteFunc(r.news, func(other *newsStream) bool { return other == n })
	r.w.log("news connection %d ended", n.number)
}

func (r *relay) write(n *newsStream, closed <-chan struct{}) {
	life := time.NewTicker(time.Second)
	defer life.Stop()
	for {
		event := "{}"
		select {
		case event = <-n.events:
		case <-life.C:
		case <-closed:
			return
		}
		r.w.mu.Lock()
		silent := n.silent
		r.w.mu.Unlock()
		if silent {
			continue
		}
		if _, err := fmt.Fprintf(n.conn, "%x\r\n%s\n\r\n", len(event)+1, event); err != nil {
			return
		}
	}
}
