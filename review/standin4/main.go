// Command standin4 is a small simulator for the adapter of the decisions: it starts `sim` of the deploy file, speaks the
// simulator's wire on its standard input and output on the real clock, plays proxies and discovery, and checks the rule
// on drains.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitKept   = 0
	exitBroken = 1
	exitUnable = 2
)

// Times of the case, in ms.
const (
	drainAt   = 5000
	askWithin = 10000
	grace     = 3000
	late      = 200 // from an order to its effect
	endAt     = 26000
	step      = 50
)

const instances = 6

// settings are those of the example on the page of the wire, with a list that must be asked for.
const settings = `{"dcs":["zagreb"],"discovery":"on_request",
"extra":{"admission":"share","backlog":1200.0,"bootstrap":5,"by_zone":true,"class_own_zone":[false],"conns_least":74.0,
"counted_over":10000000000,"egress_per_s":800.0,"empty_for":4700000000,"envelope":4.0,"first_wait":0.8,"ingest_rate":60.0,
"lb_method":"two","lingers":7520000000,"one_owner":false,"order_price":0.08,"outlier_after":5,"partitions_n":0,
"proxy_count":12,"push_delay":192000000,"pushes_allowed":30,"report_every":500000000,"retry_default":1,"shift_fee":0.01,
"transit_max":480000000,"waits_for_table":300000000,"warm_keys":false,"write_classes":[false],"write_lease":2500000000},
"family":"control","instances":6,"kinds":["kind-a"],
"obligations":{"ask_within":10000000000,"cold":17000000000,"cold_from":0.16,"drain_grace":3000000000,"fall":1500000000,
"fall_multiple":2.5},
"policy_limits":{"conn_idle":15000000000,"cpu_us_per_s":251905,"dial_timeout":250000000,"multiplex":32,"peers":true,
"probing":false},
"prices":{"connection":0.02,"cross_zone":0.12,"discovery":0.0,"handshake":0.02,"late_fail":0.08,"moves":0.0,"peer":0.01,
"probe":0.0,"waste":0.08},
"profiles":[{"aim":1500000000,"give_up":4000000000,"group":"all","idempotency":"read_like","importance":2.0,
"late_worth":0.1,"name":"stock-read","window":5000000000}],
"rank":0,"report":{"fields":["cpu_share","served_ps"],"how":"inline"},
"score_parts":{"whole":0.7,"worst_class":0.1,"worst_tenant":0.0,"worst_window":0.2},"tick":5000000,
"weight_kind":"nominal","worth_by":"request","zone":"zagreb"}`

// order is an action of the wire; which fields are used depends on the kind.
type order struct {
	Kind     string  `json:"kind"`
	Instance string  `json:"i"`
	Active   bool    `json:"active"`
	Due      int64   `json:"due_at"`
	Ref      string  `json:"ref"`
	Endpoint string  `json:"endpoint"`
	Table    int     `json:"tbl"`
	Heft     float64 `json:"heft"`
	Edge     int     `json:"edge"`
	Epoch    int     `json:"epoch"`
	Text     string  `json:"body_text"`
}

// pilot is an instance with its tables and its two proxies.
type pilot struct {
	name       string
	subscribed bool
	asked      int // calls to discovery
	toldAt     float64
	tables     map[int]map[string]float64
	out        map[string]bool
	proxies    []*proxy
}

// proxy is a proxy: its standing table, and the table it is bound to.
type proxy struct {
	edge     int
	standing []string
	table    map[string]float64 // nil: unbound
	number   int
	out      map[string]bool
}

// simulator plays the case.
type simulator struct {
	number  int // of the deployment
	in      io.Writer
	out     *bufio.Reader
	record  io.Writer
	start   time.Time
	batch   int
	pilots  map[string]*pilot
	names   []string // of the pilots
	hosts   []string
	events  []string
	timers  []timer
	effects []effect
	drained bool
	broken  []string
	late    int
}

type timer struct {
	due      int64
	instance string
	ref      string
}

// effect is what reaches the proxies later.
type effect struct {
	atMs  float64
	apply func()
}

func main() {
	trouble := flag.Bool("trouble", true, "let an endpoint drain")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	run := flag.String("run", "exec bin/simhost", "command that starts the adapter")
	flag.Parse()
	record, err := os.Create(*recordPath)
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(exitUnable)
	}
	os.Exit(playAll(*run, *trouble, &lockedWriter{out: record}))
}

// deployments is the number of deployments that are played side by side, each with an adapter of its own.
const deployments = 3

// lockedWriter lets several deployments write one record.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write writes a line.
func (w *lockedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(line)
}

// playAll plays all deployments and returns the exit code: broken if one of them broke the rule.
func playAll(run string, trouble bool, record io.Writer) int {
	codes := make([]int, deployments)
	var playing sync.WaitGroup
	for number := range deployments {
		playing.Go(func() {
			code, err := play(run, trouble, number, record)
			if err != nil {
				fmt.Println("could not run:", err)
				code = exitUnable
			}
			codes[number] = code
		})
	}
	playing.Wait()
	switch {
	case slices.Contains(codes, exitUnable):
		return exitUnable
	case slices.Contains(codes, exitBroken):
		return exitBroken
	}
	return exitKept
}

// play starts the adapter, plays the case and returns the exit code.
func play(run string, trouble bool, number int, record io.Writer) (int, error) {
	c := exec.Command("/bin/sh", "-c", run)
	in, err := c.StdinPipe()
	if err != nil {
		return exitUnable, err
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return exitUnable, err
	}
	c.Stderr = record
	if err := c.Start(); err != nil {
		return exitUnable, err
	}
	defer func() {
		_ = in.Close()
		_ = c.Process.Kill()
		_ = c.Wait()
	}()
	s := &simulator{number: number, in: in, out: bufio.NewReaderSize(out, 1<<20), record: record, start: time.Now(), pilots: map[string]*pilot{}}
	s.spawnAll()
	for s.nowMs() < endAt {
		if trouble && !s.drained && s.nowMs() >= drainAt {
			s.drain()
		}
		if err := s.turn(); err != nil {
			return exitUnable, err
		}
		s.requests()
		time.Sleep(step * time.Millisecond)
	}
	return s.verdict(), nil
}

func (s *simulator) nowMs() float64 { return float64(time.Since(s.start)) / float64(time.Millisecond) }

// clock returns the simulator's time, which runs with the real clock.
func (s *simulator) clock() int64 { return 8_000_000_000 + int64(time.Since(s.start)) }

func (s *simulator) log(format string, args ...any) {
	_, _ = fmt.Fprintf(s.record, "%9.1f deployment %d: %s\n", s.nowMs(), s.number, fmt.Sprintf(format, args...))
}

func (s *simulator) event(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf(format, args...))
}

// spawnAll starts the instances with their last list and joins two proxies to each.
func (s *simulator) spawnAll() {
	for i := range 6 {
		s.hosts = append(s.hosts, fmt.Sprintf("127.18.74.%d:11203", i+1))
	}
	for i := range instances {
		p := &pilot{name: fmt.Sprintf("pilot/%d", i), tables: map[int]map[string]float64{}, out: map[string]bool{}}
		s.pilots[p.name] = p
		s.names = append(s.names, p.name)
		setup := strings.ReplaceAll(strings.Replace(settings, `"rank":0`, fmt.Sprintf(`"rank":%d`, i), 1), "\n", "")
		s.event(`{"kind":"spawn","i":%q,"rng_seed":%d,"setup":%s}`, p.name, 10*s.number+i+1, setup)
		s.event(`{"kind":"discovery","i":%q,"mode":"warm_copy","epoch":41,"hosts":[%s]}`, p.name, s.list())
		for j := range 2 {
			x := &proxy{edge: 2*i + j, standing: s.hosts[:5], out: map[string]bool{}}
			p.proxies = append(p.proxies, x)
			s.event(`{"kind":"stream_up","i":%q,"edge":%d,"zone":"zagreb","heft":10,"active":true}`, p.name, x.edge)
		}
	}
}

// list returns the entries of the list as it is now.
func (s *simulator) list() string {
	var entries []string
	for i, host := range s.hosts {
		mode := "live"
		if s.drained && i == 0 {
			mode = "quiescing"
		}
		entries = append(entries, fmt.Sprintf(`{"endpoint":%q,"zone":"zagreb","generation_hw":"kind-a","group":0,"mode":%q,"heft":1}`,
			host, mode))
	}
	return strings.Join(entries, ",")
}

// drain lets the first endpoint drain and tells those that are subscribed.
func (s *simulator) drain() {
	s.drained = true
	s.log("%s is quiescing", s.hosts[0])
	for _, name := range s.names {
		p := s.pilots[name]
		p.toldAt = drainAt + askWithin // deemed told, if it does not ask
		if p.subscribed {
			s.tell(p)
		}
	}
}

// tell sends an instance the list.
func (s *simulator) tell(p *pilot) {
	s.event(`{"kind":"discovery","i":%q,"mode":"total","epoch":42,"hosts":[%s]}`, p.name, s.list())
	if s.drained {
		p.toldAt = s.nowMs()
	}
	s.log("%s is told the list", p.name)
}

// turn sends a batch with what has happened, and carries out the reply.
func (s *simulator) turn() error {
	now := s.clock()
	s.timers = slices.DeleteFunc(s.timers, func(t timer) bool {
		if t.due <= now {
			s.event(`{"kind":"bell","i":%q,"ref":%q}`, t.instance, t.ref)
		}
		return t.due <= now
	})
	s.batch++
	_, err := fmt.Fprintf(s.in, `{"sim_time":%d,"batch":%d,"happened":[%s]}`+"\n", now, s.batch, strings.Join(s.events, ","))
	s.events = nil
	if err != nil {
		return err
	}
	line, err := s.out.ReadBytes('\n')
	if err != nil {
		return err
	}
	var reply struct {
		Batch  int     `json:"batch"`
		Orders []order `json:"orders"`
	}
	if err := json.Unmarshal(line, &reply); err != nil {
		return err
	}
	if reply.Batch != s.batch {
		return fmt.Errorf("reply to batch %d, not %d", reply.Batch, s.batch)
	}
	reached := map[int]bool{}
	for i := range reply.Orders {
		s.execute(&reply.Orders[i], reached)
	}
	for len(s.effects) > 0 && s.effects[0].atMs <= s.nowMs() {
		s.effects[0].apply()
		s.effects = s.effects[1:]
	}
	return nil
}

// execute carries out one order.
func (s *simulator) execute(o *order, reached map[int]bool) {
	p := s.pilots[o.Instance]
	s.log("order %+v", *o)
	switch o.Kind {
	case "stream_changes":
		p.asked++
		p.subscribed = o.Active
		s.tell(p)
	case "query_all":
		p.asked++
		s.tell(p)
	case "set_timer":
		s.timers = append(s.timers, timer{o.Due, o.Instance, o.Ref})
	case "set_weight":
		table := p.table(o.Table)
		table[o.Endpoint] = o.Heft
		s.forUsers(p, o.Table, reached, func(x *proxy) { x.table[o.Endpoint] = o.Heft })
	case "use_table":
		copied := map[string]float64{}
		for name, heft := range p.table(o.Table) {
			copied[name] = heft
		}
		for _, x := range p.proxies {
			if x.edge == o.Edge {
				x.number = o.Table
				reached[x.edge] = true
				s.later(func() { x.table = copied })
			}
		}
	case "withdraw":
		for _, x := range p.proxies {
			reached[x.edge] = true
			s.later(func() { x.out[o.Endpoint] = o.Active })
		}
	case "checkpoint":
		for _, x := range p.proxies {
			if reached[x.edge] || o.Active {
				s.later(func() {
					s.event(`{"kind":"confirmed","i":%q,"edge":%d,"epoch":%d,"wait_time":%d}`, p.name, x.edge, o.Epoch, late*1000000)
				})
			}
		}
	}
}

func (p *pilot) table(number int) map[string]float64 {
	if p.tables[number] == nil {
		p.tables[number] = map[string]float64{}
	}
	return p.tables[number]
}

// forUsers lets an order reach the proxies that are bound to a table.
func (s *simulator) forUsers(p *pilot, number int, reached map[int]bool, apply func(x *proxy)) {
	for _, x := range p.proxies {
		if x.table != nil && x.number == number {
			reached[x.edge] = true
			s.later(func() { apply(x) })
		}
	}
}

func (s *simulator) later(apply func()) {
	s.effects = append(s.effects, effect{s.nowMs() + late, apply})
}

// requests lets each proxy send one request and checks the rule on drains.
func (s *simulator) requests() {
	for _, name := range s.names {
		p := s.pilots[name]
		for _, x := range p.proxies {
			endpoint := x.pick()
			s.log("proxy %d of %s sends to %s", x.edge, name, endpoint)
			overdue := s.nowMs() - p.toldAt - grace
			if s.drained && endpoint == s.hosts[0] && overdue > 0 {
				s.late++
				text := fmt.Sprintf("proxies of %s, which asked discovery %d times, send to a draining endpoint %.0f ms after the grace", name,
					p.asked, overdue)
				if s.late == 1 {
					s.broken = append(s.broken, text)
				}
				s.log("BROKEN %s", text)
			}
		}
	}
}

// pick draws an endpoint by weight.
func (x *proxy) pick() string {
	sum := 0.0
	var names []string
	weights := x.table
	if weights == nil {
		weights = map[string]float64{}
		for _, name := range x.standing {
			weights[name] = 1
		}
	}
	for name, heft := range weights {
		if heft > 0 && !x.out[name] {
			names = append(names, name)
			sum += heft
		}
	}
	slices.Sort(names)
	left := rand.Float64() * sum
	for _, name := range names {
		if left -= weights[name]; left < 0 {
			return name
		}
	}
	return ""
}

// verdict prints the result and returns the exit code.
func (s *simulator) verdict() int {
	never := 0
	for _, p := range s.pilots {
		if p.asked == 0 {
			never++
		}
	}
	fmt.Printf("deployment %d: %d of %d instances never asked discovery; %d late requests\n", s.number, never, instances, s.late)
	if s.late > 0 {
		fmt.Println("broken:", s.broken[0])
		return exitBroken
	}
	return exitKept
}
