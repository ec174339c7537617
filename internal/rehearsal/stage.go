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
	Scenario      *scenario.Scenario
	Decide        Decide // nil: the module
	WithoutPilots bool   // no pilots: standing tables only
	Log           *zap.Logger
	Progress      func(format string, args ...any) // progress
	// Records is where pilots record on days that have them do so; a folder that goes with the day if it is empty.
	Records string
	// Binary, if told, is the program: pilots are then processes of their own, which a kill ends with signal 9. Their list,
	// proxies and clients stay here; cuts between a pilot and the list are not played.
	Binary string
}

// Outcome is what a day left.
type Outcome struct {
	Report        *audit.Report
	EventLog      *eventlog.Log
	PilotMaxima   controller.State // the most lines and messages that any pilot counted itself
	Elapsed       time.Duration
	ZoneByAddress map[string]string // of endpoints, by address
}

// stage holds everything that runs.
type stage struct {
	Play
	eventLog      *eventlog.Log
	stream        *eventlog.Stream
	network       *network.Network
	registry      *registry.Registry
	mu            sync.Mutex
	endpoints     []*endpoint.Endpoint
	entries       map[string]wire.Entry // as they truly are, by name
	proxies       []*proxy.Proxy
	unreached     map[string]*atomic.Bool
	muted         map[string]*atomic.Bool
	reportFactors map[string]*atomic.Int64 // how many times as often a proxy reports, in thousandths
	pilots        []*pilot
	random        *rand.Rand
	maxima        controller.State
	authority     *identity.Authority
	keyDir        string
	sliceOwners   []string // of slices, by number; addresses of endpoints
}

// pilot is a pilot's place; its process may die and come back.
type pilot struct {
	name, zone string
	settings   config.Pilot
	mu         sync.Mutex
	host       *daemon.Host
	cancel     context.CancelFunc
	done       chan struct{}
	process    *process // with Play.Binary
}

// Run plays the day and judges it.
func (p Play) Run(ctx context.Context) (*Outcome, error) {
	if p.Progress == nil {
		p.Progress = func(string, ...any) {}
	}
	if p.Log == nil {
		p.Log = zap.NewNop()
	}
	began := time.Now()
	s := &stage{Play: p, eventLog: eventlog.NewLog(), entries: map[string]wire.Entry{},
		unreached: map[string]*atomic.Bool{}, muted: map[string]*atomic.Bool{}, reportFactors: map[string]*atomic.Int64{},
		random: rand.New(rand.NewPCG(uint64(p.Scenario.Seed), 5))}
	s.stream = s.eventLog.Stream("rehearsal")
	s.network = network.New(s.eventLog.Stream("links"), uint64(p.Scenario.Seed))
	s.registry = registry.New(s.eventLog.Stream("list"))
	defer s.stopAll()
	if s.Records == "" {
		dir, err := os.MkdirTemp("", "indigousher-records-")
		if err != nil {
			return nil, fmt.Errorf("make folder for records: %w", err)
		}
		s.Records = dir
		defer os.RemoveAll(dir)
	}
	if err := s.startAll(); err != nil {
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
		h := st.host
		st.mu.Unlock()
		if h != nil {
			s.recordMaxima(h.Daemon())
		}
	}
	s.mu.Lock()
	most := s.maxima
	s.mu.Unlock()
	return &Outcome{Report: audit.Check(s.eventLog.Events(), &s.Scenario.Common, addresses), EventLog: s.eventLog, PilotMaxima: most, ZoneByAddress: zones,
		Elapsed: time.Since(began)}, nil
}

// startAll starts endpoints, list, pilots and proxies, in this order.
func (s *stage) startAll() error {
	if err := s.openKeys(); err != nil {
		return err
	}
	if err := s.registry.Start(); err != nil {
		return err
	}
	s.network.Put(s.registry.Address(), network.Place{Name: "list"})
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
	s.assignSlices()
	if !s.WithoutPilots {
		for i, z := range s.Scenario.PilotZones {
			st := &pilot{name: fmt.Sprintf("pilot-%d", i), zone: z}
			st.settings = s.pilotTerms(st, i)
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

func (s *stage) pilotTerms(st *pilot, rank int) config.Pilot {
	t := config.Defaults()
	t.Common, t.Name, t.Zone, t.Rank, t.Seed = s.Scenario.Common, st.name, st.zone, rank, s.Scenario.Seed+rank
	t.Listen, t.Admin, t.ListAddress = net.JoinHostPort(network.Host, "0"), "", s.registry.Address()
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
func (s *stage) startPilot(st *pilot, takeOver bool) error {
	place := network.Place{Name: st.name, Zone: st.zone}
	s.eventLog.Stream(st.name).Add(eventlog.Event{What: eventlog.Start, Kind: "pilot", Text: st.zone})
	if s.Binary != "" {
		return s.startProcess(st, place)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h, err := daemon.Start(ctx, &st.settings, daemon.Options{Log: s.Log.Named(st.name), Dial: s.network.Dialer(place, 2*time.Second),
		Decide: s.Decide}, takeOver)
	if err != nil {
		cancel()
		return fmt.Errorf("start %s: %w", st.name, err)
	}
	done := make(chan struct{})
	st.mu.Lock()
	st.host, st.cancel, st.done = h, cancel, done
	st.settings.Listen = h.Daemon().Address()
	if h.Daemon().GRPCAddress() != "" {
		st.settings.GRPC = h.Daemon().GRPCAddress()
		s.network.Put(st.settings.GRPC, place)
	}
	s.network.Put(st.settings.Listen, place)
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
func (s *stage) handOver(st *pilot) error {
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
func (s *stage) stopPilot(st *pilot, force bool) {
	st.mu.Lock()
	h, cancel, done := st.host, st.cancel, st.done
	p := st.process
	st.host, st.process = nil, nil
	st.mu.Unlock()
	if p != nil {
		p.stop(force)
		s.eventLog.Stream(st.name).Add(eventlog.Event{What: eventlog.Stop})
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
	s.eventLog.Stream(st.name).Add(eventlog.Event{What: eventlog.Stop})
	s.recordMaxima(d)
}

// recordMaxima keeps the most that any pilot counted itself.
func (s *stage) recordMaxima(d *daemon.Daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := d.State()
	s.maxima.MostLines = max(s.maxima.MostLines, st.MostLines)
	s.maxima.MostMessages = max(s.maxima.MostMessages, st.MostMessages)
	s.maxima.MostStanding = max(s.maxima.MostStanding, st.MostStanding)
}

// addEndpoint starts an endpoint of a group.
func (s *stage) addEndpoint(name string, group int, cold bool) (*endpoint.Endpoint, error) {
	g := s.Scenario.Groups[group]
	s.mu.Lock()
	speed := g.Speed * math.Exp(g.Spread*s.random.NormFloat64())
	s.mu.Unlock()
	effects, dedup := map[string]bool{}, map[string]bool{}
	for _, k := range s.Scenario.Kinds {
		effects[k.Name], dedup[k.Name] = k.Repeats != "replayable", k.Repeats == "uniqued"
	}
	e := endpoint.New(endpoint.Model{Name: name, Zone: g.Zone, Machine: g.Machine, Cores: g.Cores, Speed: speed,
		Queue: g.Queue, Conns: g.Conns, HandshakeMs: float64(g.Handshake) / float64(time.Millisecond),
		ReportEvery: 400 * time.Millisecond, ReportLag: 200 * time.Millisecond, Noise: s.Scenario.NoisyReports,
		Cold: s.Scenario.Cold, ColdFrom: s.Scenario.ColdFrom, FallMultiple: s.Scenario.FallMultiple, Fall: s.Scenario.Fall, ComeBackMs: 200,
		Effects: effects, Dedup: dedup, Seed: uint64(s.Scenario.Seed + len(name)*7919)}, s.eventLog.Stream(name))
	if err := e.Start(cold); err != nil {
		return nil, err
	}
	s.network.Put(e.Address(), network.Place{Name: name, Zone: g.Zone})
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

// updateEntry changes an endpoint's entry and has the list say so after a while.
func (s *stage) updateEntry(name string, after time.Duration, change func(*wire.Entry)) {
	s.mu.Lock()
	e := s.entries[name]
	change(&e)
	s.entries[name] = e
	s.mu.Unlock()
	s.registry.Put(after, e)
}

func (s *stage) listAll() {
	s.mu.Lock()
	var all []wire.Entry
	for _, e := range s.endpoints {
		all = append(all, s.entries[e.Name])
	}
	s.mu.Unlock()
	s.registry.Put(0, all...)
}

// drawStaticTable draws a proxy's table at its start: from the list, in its zone if three are there.
func (s *stage) drawStaticTable(zone string) []string {
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
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), s.Scenario.Standing)]
}

func (s *stage) addProxy(name, zone string, number int) error {
	down, mute := &atomic.Bool{}, &atomic.Bool{}
	times := &atomic.Int64{}
	times.Store(1000)
	s.unreached[name], s.muted[name], s.reportFactors[name] = down, mute, times
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
	p := proxy.New(proxy.Options{Name: name, Zone: zone, Habits: routing.Policy{Kinds: s.Scenario.ClassNames(), Pick: s.Scenario.Pick,
		EjectsAfter: s.Scenario.EjectsAfter, EjectMs: float64(s.Scenario.EjectFor.Milliseconds()), TryAgain: s.Scenario.RetryHow},
		Rate: s.Scenario.Rate / float64(len(s.Scenario.ProxyZones)), Standing: func() []string { return s.drawStaticTable(zone) },
		Pilots: func() []string { return s.reachablePilots(zone, number, down, over) }, Join: join, Dial: s.network.Dialer(place, time.Second),
		DialTimeout: 250 * time.Millisecond, Redial: s.Scenario.Redial, ApplyPerLine: s.Scenario.Apply, FirstWait: s.Scenario.FirstWait,
		Targets: targets, Limits: limits, Seed: uint64(s.Scenario.Seed*1000 + number), MuteReads: mute.Load,
		Reports: func() float64 { return float64(times.Load()) / 1000 }, Heedless: slices.Contains(s.Scenario.Heedless, name)},
		s.eventLog.Stream(name))
	if err := p.Start(); err != nil {
		return err
	}
	s.network.Put(p.Address(), place)
	s.proxies = append(s.proxies, p)
	return nil
}

// joiner returns how a proxy joins, with keys of its own if the day has them.
func (s *stage) joiner(name, zone string, overGRPC bool) (func() proxy.Joiner, error) {
	var sealed *tls.Config
	if s.Scenario.Keys {
		ring, err := s.issueKeys(identity.Identity{Role: identity.Proxy, Zone: zone, Name: name})
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

// issueKeys issues and loads keys for one that takes part.
func (s *stage) issueKeys(who identity.Identity) (*identity.KeyStore, error) {
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
	ring, err := s.issueKeys(identity.Identity{Role: identity.Source, Zone: "-", Name: "list"})
	if err != nil {
		return err
	}
	s.registry.Seal(ring.Server(identity.Pilot))
	return nil
}

// reachablePilots lists the pilots that a proxy may dial, its home first.
func (s *stage) reachablePilots(zone string, number int, down *atomic.Bool, overGRPC bool) []string {
	if down.Load() || len(s.pilots) == 0 {
		return nil
	}
	var at []string
	home := number % len(s.pilots)
	if s.Scenario.ByZone {
		if i := slices.IndexFunc(s.pilots, func(p *pilot) bool { return p.zone == zone }); i >= 0 {
			home = i
		}
	}
	for i := range s.pilots {
		st := s.pilots[(home+i)%len(s.pilots)]
		st.mu.Lock()
		if overGRPC {
			at = append(at, st.settings.GRPC)
		} else {
			at = append(at, st.settings.Listen)
		}
		st.mu.Unlock()
	}
	return at
}

// play lets clients ask and troubles happen until the day is over.
func (s *stage) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	load := loadgen.Of(s.Scenario)
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
				s.stream.Add(eventlog.Event{What: eventlog.Note, Text: t.String()})
				s.Progress("%5.1fs  %s", time.Since(start).Seconds(), t)
				errs[i] = s.playFault(ctx, t)
			}
		})
	}
	loadgen.NewClients(load, s.eventLog.Stream("clients"), addresses).Run(ctx)
	asked := ctx.Err()
	cancel()
	wg.Wait()
	if asked != nil {
		return fmt.Errorf("the day was stopped: %w", asked)
	}
	return errors.Join(errs...)
}

// stopAll stops all that runs; what a test started it leaves nothing of.
func (s *stage) stopAll() {
	if s.keyDir != "" {
		defer os.RemoveAll(s.keyDir)
	}
	for _, p := range s.proxies {
		p.Kill()
	}
	for _, st := range s.pilots {
		s.stopPilot(st, true)
	}
	s.registry.Close()
	for _, e := range s.endpoints {
		e.Kill()
	}
	for _, z := range s.Scenario.Zones { // what a cut holds back may end
		s.network.Cut(z, false)
	}
	for _, e := range s.endpoints {
		s.network.SetBlackhole(e.Name, false)
	}
	for _, p := range s.proxies {
		s.network.SetBlackhole(p.Name, false)
	}
	for _, st := range s.pilots {
		s.network.SetBlackhole(st.name, false)
	}
}

// targets returns the names that a trouble strikes.
func (s *stage) targets(t scenario.Fault, names []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.Targets(names, s.random)
}
