package controller

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// fleetSeeds is the number of drawn days that TestPlannedFleetMatchesProxies plays.
var fleetSeeds = flag.Int("fleet-seeds", 100, "number of drawn days of the fleet's model")

// Times of the fleet's model, in ms.
const (
	fleetStep     = 250.0
	fleetSettled  = 40000.0 // from the last disturbance to the check: the slow channel has bound all proxies by then
	fleetColdMs   = 5000.0
	fleetDrainMs  = 4000.0 // from the drain of an endpoint to its end
	fleetAckMs    = 200.0
	fleetForgetMs = indexReuseDelayMs + 5000
)

// modelProxy is a proxy of the model, with the table that the relay's messages have left it with.
type modelProxy struct {
	zone   string
	joined bool
	table  int // number of the table that it is bound to; -1 if none
	lines  map[string]float64
}

// modelFleet is a relay with proxies, endpoints and their list, around a controller with a planner, in virtual time.
type modelFleet struct {
	random  *rand.Rand
	core    *Core
	planner *planner.Planner
	now     float64
	inputs  []Input
	pending map[float64][]Input // by the time at which they are due

	names     int // endpoints started so far
	version   int
	endpoints map[string]*wire.Entry // listed ones
	proxies   []*modelProxy
	tables    map[int]map[string]float64
	excluded  map[string]bool
}

func newModelFleet(seed uint64) *modelFleet {
	f := &modelFleet{
		random: rand.New(rand.NewPCG(seed, 2)), pending: map[float64][]Input{},
		endpoints: map[string]*wire.Entry{}, tables: map[int]map[string]float64{}, excluded: map[string]bool{},
	}
	count := 6 + f.random.IntN(10)
	settings := map[string]any{
		"instances": 1.0, "lines_per_s": []float64{50, 1000}[f.random.IntN(2)], "head_lines": 4.0, "cold": fleetColdMs, "proxy_count": float64(count),
		"backlog": []float64{60, 1500}[f.random.IntN(2)], "standing": []float64{0.001, 5}[f.random.IntN(2)],
		"zones": []any{"a", "b"}, "late_most": 400.0, "drain_grace": 3000.0, "messages_most": 30.0, "messages_over": 10000.0,
		"req_kinds": []any{map[string]any{"payoff": 1.0}},
	}
	f.planner = planner.New(1, settings)
	f.core = NewCore(Options{
		Decider: f.planner, Settings: settings, Zones: []string{"a", "b"}, Machines: []string{"m"},
		Classes: []string{"read"}, MaxProxies: count, Relay: f, Log: func(string) {}, Malformed: func(string, ...string) {},
	})
	for range 4 + f.random.IntN(8) {
		f.start(0)
	}
	f.list(true, slices.Sorted(maps.Keys(f.endpoints))...)
	for i := range count {
		f.proxies = append(f.proxies, &modelProxy{zone: []string{"a", "b"}[i%2], table: -1})
		f.restart(i)
	}
	return f
}

// start adds an endpoint, which is not listed yet.
func (f *modelFleet) start(started float64) *wire.Entry {
	e := &wire.Entry{
		Endpoint: fmt.Sprint("e", f.names), Zone: []string{"a", "b"}[f.names%2], Machine: "m", Weight: 1, Started: uint64(started),
	}
	f.names++
	f.endpoints[e.Endpoint] = e
	return e
}

// list posts the entries of some endpoints.
func (f *modelFleet) list(whole bool, names ...string) {
	f.version++
	l := &wire.List{Version: f.version, Whole: whole, Now: uint64(f.now)}
	for _, name := range names {
		l.Entries = append(l.Entries, *f.endpoints[name])
	}
	f.inputs = append(f.inputs, EndpointsListed{List: l})
}

// restart lets a proxy start anew with a static table and join.
func (f *modelFleet) restart(i int) {
	p := f.proxies[i]
	p.lines = map[string]float64{}
	var own, all []string
	for _, name := range slices.Sorted(maps.Keys(f.endpoints)) {
		if f.endpoints[name].Phase != wire.PhaseReady {
			continue
		}
		all = append(all, name)
		if f.endpoints[name].Zone == p.zone {
			own = append(own, name)
		}
	}
	if len(own) < 3 {
		own = all
	}
	for _, k := range f.random.Perm(len(own))[:min(5, len(own))] {
		p.lines[own[k]] = 1
	}
	f.join(i, true, false)
}

// join lets a proxy open a stream, with the table that it holds.
func (f *modelFleet) join(i int, fresh, resumed bool) {
	p := f.proxies[i]
	p.joined = true
	p.table = -1
	f.inputs = append(f.inputs, RelayProxyJoined{Proxy: i, Zone: p.zone, Rate: 5, Fresh: fresh, Resumed: resumed})
}

// leave ends a proxy's stream.
func (f *modelFleet) leave(i int) {
	if p := f.proxies[i]; p.joined {
		p.joined = false
		p.table = -1
		f.inputs = append(f.inputs, RelayProxyLeft{Proxy: i})
	}
}

// ProxyLeft is a part of Relay.
func (f *modelFleet) ProxyLeft(int) {}

// Enqueue carries a turn's commands out, and schedules the acks of the proxies that they reach.
func (f *modelFleet) Enqueue(turn []planner.Command, endpoint func(i int) string) {
	reached := map[int]bool{}
	for _, command := range turn {
		switch command := command.(type) {
		case planner.SetWeight:
			f.setWeight(command.Table, endpoint(command.Endpoint), command.Weight, reached)
		case planner.ClearTable:
			for name := range f.tables[command.Table] {
				f.setWeight(command.Table, name, 0, reached)
			}
		case planner.AssignTable:
			if p := f.proxies[command.Proxy]; p.joined {
				p.table = command.Table
				p.lines = maps.Clone(f.tables[command.Table])
				reached[command.Proxy] = true
			}
		case planner.SetExcluded:
			f.excluded[endpoint(command.Endpoint)] = command.Excluded
			for i, p := range f.proxies {
				if p.joined && p.lines[endpoint(command.Endpoint)] > 0 {
					reached[i] = true
				}
			}
		case planner.AckRequest:
			due := f.now + fleetAckMs
			for _, i := range slices.Sorted(maps.Keys(reached)) {
				f.pending[due] = append(f.pending[due], RelayAck{Proxy: i, Mark: command.Number, TookMs: 1})
			}
		}
	}
}

// setWeight sets a line of a table, also at the proxies that are bound to it.
func (f *modelFleet) setWeight(table int, name string, weight float64, reached map[int]bool) {
	if f.tables[table] == nil {
		f.tables[table] = map[string]float64{}
	}
	f.tables[table][name] = weight
	for i, p := range f.proxies {
		if p.joined && p.table == table {
			p.lines[name] = weight
			reached[i] = true
		}
	}
}

// run plays a span.
func (f *modelFleet) run(span float64) {
	for end := f.now + span; f.now < end; f.now += fleetStep {
		for _, due := range slices.Sorted(maps.Keys(f.pending)) {
			if due <= f.now {
				f.inputs = append(f.inputs, f.pending[due]...)
				delete(f.pending, due)
			}
		}
		inputs := f.inputs
		f.inputs = nil
		f.core.Handle(f.now, inputs)
	}
}

// replace drains an endpoint, starts another one in its place, and takes the old one from the list later.
func (f *modelFleet) replace(name string) {
	old := f.endpoints[name]
	old.Phase = wire.PhaseDraining
	f.names += (f.names + int(old.Zone[0]-'a')) % 2 // the new one starts in the same zone
	fresh := f.start(f.now)
	f.list(false, name, fresh.Endpoint)
	f.run(fleetDrainMs)
	old.Phase = wire.PhaseGone
	f.list(false, name)
	delete(f.endpoints, name)
}

// disturb plays one drawn disturbance.
func (f *modelFleet) disturb() {
	i := f.random.IntN(len(f.proxies))
	names := slices.Sorted(maps.Keys(f.endpoints))
	switch f.random.IntN(9) {
	case 0, 1:
		f.replace(names[f.random.IntN(len(names))])
	case 2: // all endpoints of a zone, one after another
		for _, name := range names {
			if f.endpoints[name].Zone == f.proxies[i].zone {
				f.replace(name)
			}
		}
	case 3: // the proxies of a zone go to another pilot
		for k, p := range f.proxies {
			if p.zone == f.proxies[i].zone {
				f.leave(k)
			}
		}
	case 4: // all that have left come back
		for k, p := range f.proxies {
			if !p.joined {
				f.join(k, false, false)
			}
		}
	case 5:
		f.leave(i)
		f.run(1000)
		f.restart(i)
	case 6: // a stream breaks unnoticed
		if f.proxies[i].joined {
			f.join(i, false, true)
		}
	case 8: // while the proxies of a zone are at another pilot, its endpoints are replaced twice
		f.moveZoneAway(f.proxies[i].zone)
	case 7: // an endpoint is off the list for so long that its index may be used again
		f.returnLater(names[f.random.IntN(len(names))])
	}
}

// moveZoneAway lets the proxies of a zone go to another pilot and come back after all its endpoints have been replaced
// twice, the second time by some that may use the indices of the first ones.
func (f *modelFleet) moveZoneAway(zone string) {
	var away []int
	for k, p := range f.proxies {
		if p.joined && p.zone == zone {
			f.leave(k)
			away = append(away, k)
		}
	}
	for range 2 {
		for _, name := range slices.Sorted(maps.Keys(f.endpoints)) {
			if f.endpoints[name].Zone == zone {
				f.replace(name)
			}
		}
		f.run(fleetForgetMs)
	}
	for _, k := range away {
		f.join(k, false, false)
	}
}

// returnLater takes an endpoint from the list and brings it back later.
func (f *modelFleet) returnLater(name string) {
	e := f.endpoints[name]
	e.Phase = wire.PhaseGone
	f.list(false, name)
	delete(f.endpoints, name)
	f.run(fleetForgetMs)
	if f.random.IntN(2) == 0 {
		f.list(false, f.start(f.now).Endpoint)
	}
	e.Phase = wire.PhaseReady
	e.Started = uint64(f.now)
	f.endpoints[name] = e
	f.list(false, name)
}

// check compares what the proxies hold with the list. It returns what is wrong, or "".
func (f *modelFleet) check() string {
	warm := false
	for name, e := range f.endpoints {
		if e.Phase == wire.PhaseReady && f.now-float64(e.Started) > 2*fleetColdMs {
			warm = true
			if f.excluded[name] {
				return name + " is listed and warm, and still excluded"
			}
		}
	}
	for i, p := range f.proxies {
		if !p.joined {
			continue
		}
		picks := 0
		for name, weight := range p.lines {
			if weight == 0 || f.excluded[name] {
				continue
			}
			picks++
			if e := f.endpoints[name]; e == nil || e.Phase != wire.PhaseReady {
				return fmt.Sprintf("proxy %d, bound to table %d, may pick %s, which is gone or drains", i, p.table, name)
			}
		}
		if picks == 0 && warm {
			return fmt.Sprintf("proxy %d, bound to table %d, has no line to pick", i, p.table)
		}
	}
	return ""
}

// checkBelief compares the tables that the planner believes to have sent with those that the relay holds, name by name. It
// returns what differs, or "".
func (f *modelFleet) checkBelief() string {
	for number, sent := range f.planner.SentWeights() {
		believed := map[string]float64{}
		for endpoint, weight := range sent {
			believed[f.core.EndpointName(endpoint)] = weight
		}
		held := maps.Clone(f.tables[number])
		maps.DeleteFunc(held, func(_ string, weight float64) bool { return weight == 0 })
		if !maps.Equal(believed, held) {
			return fmt.Sprintf("table %d holds %v, and %v is believed", number, held, believed)
		}
	}
	return ""
}

// play plays a drawn day and checks it after each few disturbances, when it has settled.
func (f *modelFleet) play() string {
	f.run(fleetSettled)
	for range 4 {
		for range 1 + f.random.IntN(4) {
			f.disturb()
			f.run(f.random.Float64() * 3000)
		}
		if f.random.IntN(2) == 0 {
			f.run(fleetForgetMs)
		}
		f.run(fleetSettled)
		if failure := cmp.Or(f.checkBelief(), f.check()); failure != "" {
			return failure
		}
	}
	return ""
}

// TestPlannedFleetMatchesProxies guards against review cases 1 and 3 and their like: on drawn days of replaced and returning
// endpoints and of proxies that leave, come back and start anew, the planner believes to have sent what the relay's tables
// hold, each joined proxy ends with a line to pick, with none of an endpoint that is gone, and no listed endpoint stays
// excluded. More days: go test ./internal/controller -run
// TestPlannedFleet -fleet-seeds N
func TestPlannedFleetMatchesProxies(t *testing.T) {
	require.Positive(t, *fleetSeeds)
	for seed := range *fleetSeeds {
		if failure := newModelFleet(uint64(seed)).play(); failure != "" {
			t.Errorf("seed %d: %s", seed, failure)
		}
	}
}
