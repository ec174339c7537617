// Package rehearsal plays a day on loopback sockets: it brings up stand-ins and pilots as a day file says, lets the
// timed troubles happen, and has the audit judge the trails. It is no part of what ships beside the command.
package rehearsal

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/audit"
	"indigousher/internal/backoff"
	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/daemon"
	"indigousher/internal/identity"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/loadgen"
	"indigousher/internal/testbed/network"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
)

// Decide makes what decides in a pilot.
type Decide func(seed int64, terms map[string]any) controller.Decider

// Play is one playing of a day.
type Play struct {
	Scenario *scenario.Scenario
	Decide   Decide // nil: the module
	Bare     bool   // no pilots: standing tables only
	Log      *zap.Logger
	Say      func(format string, args ...any) // progress
	// Records is where pilots record on days that have them do so; a folder that goes with the day if it is empty.
	Records string
	// Binary, if told, is the program: pilots are then processes of their own, which a kill ends with signal 9. Their list,
	// proxies and clients stay here; cuts between a pilot and the list are not played.
	Binary string
}

// Outcome is what a day left.
type Outcome struct {
	Report *audit.Report
	Book   *eventlog.Log
	Most   controller.State // the most lines and messages that any pilot counted itself
	Took   time.Duration
	Zones  map[string]string // of endpoints, by address
}

// stage holds everything that runs.
type stage struct {
	Play
	book      *eventlog.Log
	own       *eventlog.Stream
	net       *network.Network
	list      *registry.Registry
	mu        sync.Mutex
	endpoints []*endpoint.Endpoint
	entries   map[string]wire.Entry // as they truly are, by name
	proxies   []*proxy.Proxy
	unreached map[string]*atomic.Bool
	muted     map[string]*atomic.Bool
	reports   map[string]*atomic.Int64 // how many times as often a proxy reports, in thousandths
	pilots    []*seat
	rnd       *rand.Rand
	most      controller.State
	authority *identity.Authority
	keyDir    string
	owners    []string // of slices, by number; addresses of endpoints
}

// seat is a pilot's place; its process may die and come back.
type seat struct {
	name, zone string
	terms      config.Pilot
	mu         sync.Mutex
	h          *daemon.Host
	cancel     context.CancelFunc
	done       chan struct{}
	process    *process // with Play.Binary
}

// Run plays the day and judges it.
func (p Play) Run(ctx context.Context) (*Outcome, error) {
	if p.Say == nil {
		p.Say = func(string, ...any) {}
	}
	if p.Log == nil {
		p.Log = zap.NewNop()
	}
	began := time.Now()
	s := &stage{Play: p, book: eventlog.NewLog(), entries: map[string]wire.Entry{},
		unreached: map[string]*atomic.Bool{}, muted: map[string]*atomic.Bool{}, reports: map[string]*atomic.Int64{},
		rnd: rand.New(rand.NewPCG(uint64(p.Scenario.Seed), 5))}
	s.own = s.book.Stream("rehearsal")
	s.net = network.New(s.book.Stream("links"), uint64(p.Scenario.Seed))
	s.list = registry.New(s.book.Stream("list"))
	defer s.end()
	if s.Records == "" {
		dir, err := os.MkdirTemp("", "indigousher-records-")
		if err != nil {
			return nil, fmt.Errorf("make folder for records: %w", err)
		}
		s.Records = dir
		defer os.RemoveAll(dir)
	}
	if err := s.begin(); err != nil {
		return nil, err
	}
	if err := s.play(ctx); err != nil {
		return nil, err
	}
	addresses, zones := map[string]string{}, map[string]string{}
	for _, e := range s.endpoints {
		addresses[e.Address()], zones[e.Address()] = e.Name, e.Zone
	}
	for _, st := range s.pilots {
		st.mu.Lock()
		h := st.h
		st.mu.Unlock()
		if h != nil {
			s.count(h.Daemon())
		}
	}
	s.mu.Lock()
	most := s.most
	s.mu.Unlock()
	return &Outcome{Report: audit.Check(s.book.Events(), &s.Scenario.Common, addresses), Book: s.book, Most: most, Zones: zones,
		Took: time.Since(began)}, nil
}

// begin starts endpoints, list, pilots and proxies, in this order.
func (s *stage) begin() error {
	if err := s.openKeys(); err != nil {
		return err
	}
	if err := s.list.Start(); err != nil {
		return err
	}
	s.net.Put(s.list.Address(), network.Place{Name: "list"})
	for gi, g := range s.Scenario.Groups {
		for i := range g.Count {
			if _, err := s.addEndpoint(fmt.Sprintf("%s-%s-%d", g.Zone, g.Machine, i), gi, false); err != nil {
				return err
			}
		}
	}
	if !s.Scenario.ListEmpty {
		s.listAll()
	}
	s.dealSlices()
	if !s.Bare {
		for i, z := range s.Scenario.PilotZones {
			st := &seat{name: fmt.Sprintf("pilot-%d", i), zone: z}
			st.terms = s.pilotTerms(st, i)
			s.pilots = append(s.pilots, st)
			if err := s.startPilot(st, false); err != nil {
				return err
			}
		}
	}
	counts := map[string]int{}
	for i, z := range s.Scenario.ProxyZones {
		name := fmt.Sprintf("proxy-%s-%d", z, counts[z])
		counts[z]++
		if err := s.addProxy(name, z, i); err != nil {
			return err
		}
	}
	return nil
}

func (s *stage) pilotTerms(st *seat, rank int) config.Pilot {
	t := config.Defaults()
	t.Common, t.Name, t.Zone, t.Rank, t.Seed = s.Scenario.Common, st.name, st.zone, rank, s.Scenario.Seed+rank
	t.Listen, t.Admin, t.ListAddress = net.JoinHostPort(network.Host, "0"), "", s.list.Address()
	t.Beat, t.WriteDeadline, t.ListSilence = s.Scenario.Beat, s.Scenario.WriteWithin, 2*time.Second
	t.SeenWithin, t.Plain = s.Scenario.DrainGrace/2, true
	if s.Scenario.Keys {
		f, err := s.authority.Issue(s.keyDir, identity.Identity{Role: identity.Pilot, Zone: st.zone, Name: st.name},
			time.Now().Add(-time.Minute), time.Hour)
		if err != nil {
			s.Log.Error("issue keys", zap.Error(err)) // the pilot says so at its start
		}
		t.Plain, t.Keys = false, f
	}
	if slices.ContainsFunc(s.Scenario.Faults, func(x scenario.Fault) bool { return x.What == "handover" }) {
		t.Handover = filepath.Join(s.Records, st.name+".sock")
	}
	if s.Scenario.Record {
		t.RecordDir = filepath.Join(s.Records, st.name)
		if err := os.MkdirAll(t.RecordDir, 0o755); err != nil {
			s.Log.Error("make folder for records", zap.Error(err)) // the pilot says so at its start
		}
	}
	if len(s.Scenario.OverGRPC) > 0 {
		t.GRPC = net.JoinHostPort(network.Host, "0")
	}
	t.IntakeLinesPerS, t.IntakeStanding = s.Scenario.IntakeLinesPerS, s.Scenario.IntakeStanding
	return t
}

// startPilot begins a pilot's process, at the address of the first, or has a new one take over from it.
func (s *stage) startPilot(st *seat, takeOver bool) error {
	place := network.Place{Name: st.name, Zone: st.zone}
	s.book.Stream(st.name).Add(eventlog.Event{What: eventlog.Start, Kind: "pilot", Text: st.zone})
	if s.Binary != "" {
		return s.startProcess(st, place)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h, err := daemon.Start(ctx, &st.terms, daemon.Options{Log: s.Log.Named(st.name), Dial: s.net.Dialer(place, 2*time.Second),
		Decide: s.Decide}, takeOver)
	if err != nil {
		cancel()
		return fmt.Errorf("start %s: %w", st.name, err)
	}
	done := make(chan struct{})
	st.mu.Lock()
	st.h, st.cancel, st.done = h, cancel, done
	st.terms.Listen = h.Daemon().Address()
	if h.Daemon().GRPCAddress() != "" {
		st.terms.GRPC = h.Daemon().GRPCAddress()
		s.net.Put(st.terms.GRPC, place)
	}
	s.net.Put(st.terms.Listen, place)
	st.mu.Unlock()
	go func() {
		defer close(done)
		if err := h.Wait(ctx); err != nil {
			s.Log.Error("pilot ended", zap.String("pilot", st.name), zap.Error(err))
		}
	}()
	return nil
}

// handOver has a new pilot take over from a seat's.
func (s *stage) handOver(st *seat) error {
	st.mu.Lock()
	cancel, done := st.cancel, st.done
	st.mu.Unlock()
	if err := s.startPilot(st, true); err != nil {
		return err
	}
	<-done
	cancel()
	return nil
}

// stopPilot ends a pilot's process, by force or by asking.
func (s *stage) stopPilot(st *seat, force bool) {
	st.mu.Lock()
	h, cancel, done := st.h, st.cancel, st.done
	p := st.process
	st.h, st.process = nil, nil
	st.mu.Unlock()
	if p != nil {
		p.stop(force)
		s.book.Stream(st.name).Add(eventlog.Event{What: eventlog.Stop})
		return
	}
	if h == nil {
		return
	}
	d := h.Daemon()
	if force {
		d.Kill()
	}
	cancel()
	<-done
	s.book.Stream(st.name).Add(eventlog.Event{What: eventlog.Stop})
	s.count(d)
}

// count keeps the most that any pilot counted itself.
func (s *stage) count(d *daemon.Daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := d.State()
	s.most.MostLines = max(s.most.MostLines, st.MostLines)
	s.most.MostMessages = max(s.most.MostMessages, st.MostMessages)
	s.most.MostStanding = max(s.most.MostStanding, st.MostStanding)
}

// addEndpoint starts an endpoint of a group.
func (s *stage) addEndpoint(name string, group int, cold bool) (*endpoint.Endpoint, error) {
	g := s.Scenario.Groups[group]
	s.mu.Lock()
	speed := g.Speed * math.Exp(g.Spread*s.rnd.NormFloat64())
	s.mu.Unlock()
	effects, dedup := map[string]bool{}, map[string]bool{}
	for _, k := range s.Scenario.Kinds {
		effects[k.Name], dedup[k.Name] = k.Repeats != "replayable", k.Repeats == "uniqued"
	}
	e := endpoint.New(endpoint.Model{Name: name, Zone: g.Zone, Machine: g.Machine, Cores: g.Cores, Speed: speed,
		QueueLimit: g.Queue, MaxConnections: g.Conns, HandshakeMs: float64(g.Handshake) / float64(time.Millisecond),
		ReportEvery: 400 * time.Millisecond, ReportLag: 200 * time.Millisecond, ReportNoise: s.Scenario.NoisyReports,
		WarmUp: s.Scenario.Cold, WarmUpFrom: s.Scenario.ColdFrom, OverloadMultiple: s.Scenario.FallMultiple, OverloadWindow: s.Scenario.Fall, RetryAfterMs: 200,
		Effects: effects, Deduplicated: dedup, Seed: uint64(s.Scenario.Seed + len(name)*7919)}, s.book.Stream(name))
	if err := e.Start(cold); err != nil {
		return nil, err
	}
	s.net.Put(e.Address(), network.Place{Name: name, Zone: g.Zone})
	entry := wire.Entry{Endpoint: e.Address(), Zone: g.Zone, Machine: g.Machine, Weight: float64(g.Cores) * g.Speed}
	if cold {
		entry.Started = registry.Stamp(time.Now())
	}
	s.mu.Lock()
	s.endpoints = append(s.endpoints, e)
	s.entries[name] = entry
	s.mu.Unlock()
	return e, nil
}

// tell changes an endpoint's entry and has the list say so after a while.
func (s *stage) tell(name string, after time.Duration, change func(*wire.Entry)) {
	s.mu.Lock()
	e := s.entries[name]
	change(&e)
	s.entries[name] = e
	s.mu.Unlock()
	s.list.Put(after, e)
}

func (s *stage) listAll() {
	s.mu.Lock()
	var all []wire.Entry
	for _, e := range s.endpoints {
		all = append(all, s.entries[e.Name])
	}
	s.mu.Unlock()
	s.list.Put(0, all...)
}

// standing draws a proxy's table at its start: from the list, in its zone if three are there.
func (s *stage) standing(zone string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var near, all []string
	for _, e := range s.endpoints {
		if x := s.entries[e.Name]; x.Phase == wire.PhaseReady {
			all = append(all, x.Endpoint)
			if x.Zone == zone {
				near = append(near, x.Endpoint)
			}
		}
	}
	if len(near) >= 3 {
		all = near
	}
	s.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), s.Scenario.Standing)]
}

func (s *stage) addProxy(name, zone string, number int) error {
	down, mute := &atomic.Bool{}, &atomic.Bool{}
	times := &atomic.Int64{}
	times.Store(1000)
	s.unreached[name], s.muted[name], s.reports[name] = down, mute, times
	var targets, limits []time.Duration
	for _, k := range s.Scenario.Kinds {
		targets, limits = append(targets, k.ResponseTarget), append(limits, k.ClientTimeout)
	}
	place := network.Place{Name: name, Zone: zone}
	over := slices.ContainsFunc(s.Scenario.OverGRPC, func(pattern string) bool { ok, err := path.Match(pattern, name); return ok && err == nil })
	join, err := s.joiner(name, zone, over)
	if err != nil {
		return err
	}
	p := proxy.New(proxy.Options{Name: name, Zone: zone, Routing: routing.Policy{Classes: s.Scenario.ClassNames(), Algorithm: s.Scenario.Pick,
		EjectAfter: s.Scenario.EjectsAfter, EjectionMs: float64(s.Scenario.EjectFor.Milliseconds()), RetryMode: s.Scenario.RetryHow},
		Rate: s.Scenario.Rate / float64(len(s.Scenario.ProxyZones)), StaticTable: func() []string { return s.standing(zone) },
		Pilots: func() []string { return s.reach(zone, number, down, over) }, NewJoiner: join, Dial: s.net.Dialer(place, time.Second),
		DialTimeout: 250 * time.Millisecond, RedialPause: s.Scenario.Redial, ApplyPerLine: s.Scenario.Apply, FirstAttemptShare: s.Scenario.FirstWait,
		LatencyObjectives: targets, ClientTimeouts: limits, Seed: uint64(s.Scenario.Seed*1000 + number), StopReading: mute.Load,
		ReportFactor: func() float64 { return float64(times.Load()) / 1000 }, IgnoreReportRequests: slices.Contains(s.Scenario.Heedless, name)},
		s.book.Stream(name))
	if err := p.Start(); err != nil {
		return err
	}
	s.net.Put(p.Address(), place)
	s.proxies = append(s.proxies, p)
	return nil
}

// joiner returns how a proxy joins, with keys of its own if the day has them.
func (s *stage) joiner(name, zone string, overGRPC bool) (func() proxy.Joiner, error) {
	var sealed *tls.Config
	if s.Scenario.Keys {
		ring, err := s.ring(identity.Identity{Role: identity.Proxy, Zone: zone, Name: name})
		if err != nil {
			return nil, err
		}
		sealed = ring.Client(identity.Pilot)
	}
	return func() proxy.Joiner {
		if overGRPC {
			return proxy.GRPC(sealed, false)
		}
		return proxy.Framed(sealed)
	}, nil
}

// ring issues and loads keys for one that takes part.
func (s *stage) ring(who identity.Identity) (*identity.KeyStore, error) {
	f, err := s.authority.Issue(s.keyDir, who, time.Now().Add(-time.Minute), time.Hour)
	if err != nil {
		return nil, err
	}
	return identity.Load(f, nil)
}

// openKeys makes the day's authority and keys for the list.
func (s *stage) openKeys() (err error) {
	if !s.Scenario.Keys {
		return nil
	}
	if s.keyDir, err = os.MkdirTemp("", "indigousher-rehearsal-"); err != nil {
		return fmt.Errorf("make keys: %w", err)
	}
	if s.authority, err = identity.NewAuthority("rehearsal", time.Hour); err != nil {
		return err
	}
	ring, err := s.ring(identity.Identity{Role: identity.Source, Zone: "-", Name: "list"})
	if err != nil {
		return err
	}
	s.list.UseTLS(ring.Server(identity.Pilot))
	return nil
}

// reach lists the pilots that a proxy may dial, its home first.
func (s *stage) reach(zone string, number int, down *atomic.Bool, overGRPC bool) []string {
	if down.Load() || len(s.pilots) == 0 {
		return nil
	}
	var at []string
	home := number % len(s.pilots)
	if s.Scenario.ByZone {
		if i := slices.IndexFunc(s.pilots, func(p *seat) bool { return p.zone == zone }); i >= 0 {
			home = i
		}
	}
	for i := range s.pilots {
		st := s.pilots[(home+i)%len(s.pilots)]
		st.mu.Lock()
		if overGRPC {
			at = append(at, st.terms.GRPC)
		} else {
			at = append(at, st.terms.Listen)
		}
		st.mu.Unlock()
	}
	return at
}

// play lets clients ask and troubles happen until the day is over.
func (s *stage) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	load := loadgen.FromScenario(s.Scenario)
	var addresses []string
	for _, p := range s.proxies {
		addresses = append(addresses, p.Address())
	}
	var wg sync.WaitGroup
	start := time.Now()
	errs := make([]error, len(s.Scenario.Faults))
	for i, t := range s.Scenario.Faults {
		wg.Go(func() {
			if backoff.Sleep(ctx, time.Until(start.Add(t.At))) {
				s.own.Add(eventlog.Event{What: eventlog.Note, Text: t.String()})
				s.Say("%5.1fs  %s", time.Since(start).Seconds(), t)
				errs[i] = s.strike(ctx, t)
			}
		})
	}
	loadgen.NewClients(load, s.book.Stream("clients"), addresses).Run(ctx)
	asked := ctx.Err()
	cancel()
	wg.Wait()
	if asked != nil {
		return fmt.Errorf("the day was stopped: %w", asked)
	}
	return errors.Join(errs...)
}

// end stops all that runs; what a test started it leaves nothing of.
func (s *stage) end() {
	if s.keyDir != "" {
		defer os.RemoveAll(s.keyDir)
	}
	for _, p := range s.proxies {
		p.Kill()
	}
	for _, st := range s.pilots {
		s.stopPilot(st, true)
	}
	s.list.Close()
	for _, e := range s.endpoints {
		e.Kill()
	}
	for _, z := range s.Scenario.Zones { // what a cut holds back may end
		s.net.Cut(z, false)
	}
	for _, e := range s.endpoints {
		s.net.SetBlackhole(e.Name, false)
	}
	for _, p := range s.proxies {
		s.net.SetBlackhole(p.Name, false)
	}
	for _, st := range s.pilots {
		s.net.SetBlackhole(st.name, false)
	}
}

// chosen returns the names that a trouble strikes.
func (s *stage) chosen(t scenario.Fault, names []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.Targets(names, s.rnd)
}
