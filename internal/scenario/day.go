// Package scenario reads days: a fleet, what clients ask of it and the troubles that happen, in HCL. The rehearsal plays a day
// on sockets, the emulator in virtual time.
package scenario

import (
	"cmp"
	"embed"
	"fmt"
	"io/fs"
	"math"
	"math/rand/v2"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"indigousher/internal/config"
)

// Scenario is one day file.
type Scenario struct {
	config.Common
	Name   string        `json:"Name"`
	About  string        `json:"About"`
	Like   string        `json:"Like"` // the day whose fleet, terms and load stand where this one says nothing
	Length time.Duration `json:"Length"`
	Seed   int           `json:"Seed"`

	PilotZones   []string      `json:"PilotZones"` // a pilot for each
	ProxyZones   []string      `json:"ProxyZones"` // a proxy for each
	Times        int           `json:"Times"`      // as many proxies as ProxyZones names
	OverGRPC     []string      `json:"OverGRPC"`   // names or patterns of proxies that join over gRPC
	Keys         bool          `json:"Keys"`       // all streams under TLS, with an authority of the day's own
	Record       bool          `json:"Record"`     // pilots record, and recover when they return
	Standing     int           `json:"Standing"`
	Redial       time.Duration `json:"Redial"`
	Apply        time.Duration `json:"Apply"` // for each line
	EjectFor     time.Duration `json:"EjectFor"`
	Beat         time.Duration `json:"Beat"`
	WriteWithin  time.Duration `json:"WriteWithin"`
	NoisyReports float64       `json:"NoisyReports"`
	Way          time.Duration `json:"Way"` // one way between two places (emulator)

	IntakeLinesPerS float64  `json:"IntakeLinesPerS"`
	IntakeStanding  int      `json:"IntakeStanding"`
	Heedless        []string `json:"Heedless"` // proxies that report as ever, whatever they are asked for

	ListLate  time.Duration `json:"ListLate"`
	ListEmpty bool          `json:"ListEmpty"`

	Rate    float64       `json:"Rate"`
	Retries int           `json:"Retries"`
	Backoff time.Duration `json:"Backoff"`
	Uneven  float64       `json:"Uneven"`
	Demands []Demand      `json:"Demands"`

	Groups []Group `json:"Groups"`
	Faults []Fault `json:"Troubles"`
}

// KeysPerSlice is how many keys fall into a slice, where a day has slices.
const KeysPerSlice = 50

// Demand is what clients ask of a req kind.
type Demand struct {
	Kind  string        `json:"Kind"`
	Share float64       `json:"Share"`
	Work  time.Duration `json:"Work"`
	CV    float64       `json:"CV"`
}

// Group is some endpoints alike.
type Group struct {
	Machine    string        `json:"Machine"`
	Zone       string        `json:"Zone"`
	Count      int           `json:"Count"`
	Cores      int           `json:"Cores"`
	Speed      float64       `json:"Speed"`
	Spread     float64       `json:"Spread"`
	Queue      int           `json:"Queue"`
	Conns      int           `json:"Conns"`
	Handshake  time.Duration `json:"Handshake"`
	Discipline string        `json:"Discipline"` // queue, or sharing: all in hand share the cores (emulator)
	Thrash     float64       `json:"Thrash"`     // part by which each req beyond the cores slows all (emulator)
}

// Fault is something that happens.
type Fault struct {
	What  string        `json:"What"`
	At    time.Duration `json:"At"`
	For   time.Duration `json:"For"`
	Who   []string      `json:"Who"` // names or patterns of endpoints, proxies or pilots
	Zone  string        `json:"Zone"`
	Kind  string        `json:"Kind"`
	Part  float64       `json:"Part"`
	Count int           `json:"Count"`
	Size  float64       `json:"Size"`
	Loss  float64       `json:"Loss"`
	Every time.Duration `json:"Every"`
	Extra time.Duration `json:"Extra"`
}

// whats are the troubles that can be played; docs/rehearsal.md describes them.
var whats = []string{"hang", "fast_errors", "class_fail", "vanish", "crash", "restart", "drain", "preempt", "replace",
	"flapping", "zone_cut", "zone_loss", "slow_link", "handshake_slow", "proxy_crash", "proxy_roll", "pilot_kill",
	"pilot_roll", "reconnect", "counter_down", "burst", "hot_caller", "heavy_tail", "shift", "list_down", "list_all",
	"reload", "mute_proxy", "report_burst", "answers_twice", "silent", "handover", "slice_move", "pause", "pilot_pause"}

// Read reads and checks a day file.
func Read(name string, text []byte) (*Scenario, error) {
	body, diags := config.Open(name, text)
	if diags.HasErrors() {
		return nil, config.DiagnosticsError(diags)
	}
	d := &Scenario{Common: config.CommonDefaults(), Name: strings.TrimSuffix(path.Base(name), ".hcl"), Length: 40 * time.Second,
		Seed: 1, Times: 1, Standing: 4, Redial: 300 * time.Millisecond, Apply: 20 * time.Microsecond, EjectFor: 3 * time.Second,
		Beat: 300 * time.Millisecond, WriteWithin: 800 * time.Millisecond, NoisyReports: 0.08, Way: 100 * time.Microsecond,
		IntakeLinesPerS: 20_000, IntakeStanding: 10_000, ListLate: 700 * time.Millisecond, Rate: 100, Backoff: 100 * time.Millisecond, Uneven: 0.5}
	d.Fall, d.Cold = time.Second, 8*time.Second
	if diags = d.inherit(body); diags.HasErrors() {
		return nil, config.DiagnosticsError(diags)
	}
	diags = config.Read(body, append(d.lists(), d.fields()...), append(d.Common.Blocks(), d.subs()...))
	if !diags.HasErrors() {
		diags = append(diags, d.check(body)...)
	}
	if diags.HasErrors() {
		return nil, config.DiagnosticsError(diags)
	}
	d.ProxyZones = slices.Repeat(d.ProxyZones, d.Times)
	d.Times = 1
	d.Proxies, d.Instances = len(d.ProxyZones), max(1, len(d.PilotZones))
	slices.SortStableFunc(d.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return d, nil
}

// lists are the attributes that a day which is like another need not repeat.
func (d *Scenario) lists() []config.Field {
	fields := d.Common.Attributes()
	for i := range fields {
		fields[i].Needed = fields[i].Needed && d.Like == ""
	}
	return fields
}

// inherit takes over another day's fleet, terms and load, not its troubles. What stands in blocks of a sort that this
// day has too is replaced by them.
func (d *Scenario) inherit(body *hclsyntax.Body) hcl.Diagnostics {
	a := body.Attributes["like"]
	if a == nil {
		return nil
	}
	if diags := config.Read(&hclsyntax.Body{Attributes: hclsyntax.Attributes{"like": a}},
		[]config.Field{{Name: "like", Into: &d.Like, OneOf: Names()}}, nil); diags.HasErrors() {
		return diags
	}
	other, err := Load(d.Like)
	if err != nil {
		return hcl.Diagnostics{{Severity: hcl.DiagError, Summary: err.Error(), Subject: a.Expr.Range().Ptr()}}
	}
	name, like := d.Name, d.Like
	*d = *other
	d.Name, d.Like, d.About, d.Faults = name, like, "", nil
	for _, b := range body.Blocks {
		switch b.Type {
		case "req_kind":
			d.Kinds = nil
		case "demand":
			d.Demands = nil
		case "endpoints":
			d.Groups = nil
		}
	}
	return nil
}

func (d *Scenario) fields() []config.Field {
	return []config.Field{{Name: "about", Into: &d.About}, {Name: "length", Into: &d.Length, Least: 1, Most: 7 * 86400},
		{Name: "seed", Into: &d.Seed}, {Name: "like", Into: &d.Like}}
}

func (d *Scenario) subs() []config.Block {
	block := func(name string, fields ...config.Field) config.Block {
		return config.Block{Name: name, Most: 1, Fields: fields}
	}
	return []config.Block{
		block("fleet", config.Field{Name: "grpc", Into: &d.OverGRPC}, config.Field{Name: "keys", Into: &d.Keys},
			config.Field{Name: "record", Into: &d.Record},
			config.Field{Name: "times", Into: &d.Times, Least: 1, Most: 100000},
			config.Field{Name: "pilots", Into: &d.PilotZones}, config.Field{Name: "proxies", Into: &d.ProxyZones},
			config.Field{Name: "standing", Into: &d.Standing}, config.Field{Name: "redial", Into: &d.Redial},
			config.Field{Name: "apply", Into: &d.Apply}, config.Field{Name: "eject_for", Into: &d.EjectFor},
			config.Field{Name: "beat", Into: &d.Beat, Least: 0.02},
			config.Field{Name: "write_within", Into: &d.WriteWithin, Least: 0.05},
			config.Field{Name: "report_noise", Into: &d.NoisyReports}, config.Field{Name: "way", Into: &d.Way}),
		block("intake", config.Field{Name: "lines_per_s", Into: &d.IntakeLinesPerS},
			config.Field{Name: "standing", Into: &d.IntakeStanding}, config.Field{Name: "heedless", Into: &d.Heedless}),
		block("list", config.Field{Name: "late", Into: &d.ListLate}, config.Field{Name: "empty", Into: &d.ListEmpty}),
		block("clients", config.Field{Name: "rate", Into: &d.Rate, Least: 0.1}, config.Field{Name: "retries", Into: &d.Retries},
			config.Field{Name: "backoff", Into: &d.Backoff}, config.Field{Name: "uneven", Into: &d.Uneven}),
		{Name: "demand", Labels: 1, Read: func(l []string, b *hclsyntax.Body) hcl.Diagnostics {
			x := Demand{Kind: l[0], Share: 1, Work: 30 * time.Millisecond, CV: 0.5}
			diags := config.Read(b, []config.Field{{Name: "share", Into: &x.Share}, {Name: "work", Into: &x.Work, Least: 1e-4},
				{Name: "cv", Into: &x.CV, Least: 0.01}}, nil)
			d.Demands = append(d.Demands, x)
			return diags
		}},
		{Name: "endpoints", Labels: 1, Read: func(l []string, b *hclsyntax.Body) hcl.Diagnostics {
			g := Group{Machine: l[0], Count: 1, Cores: 2, Speed: 1, Queue: 20, Conns: 500, Discipline: "queue"}
			diags := config.Read(b, []config.Field{{Name: "zone", Into: &g.Zone, Needed: true, OneOf: d.Zones},
				{Name: "count", Into: &g.Count, Least: 1, Most: 20000}, {Name: "cores", Into: &g.Cores, Least: 1, Most: 64},
				{Name: "speed", Into: &g.Speed, Least: 0.01}, {Name: "spread", Into: &g.Spread, Most: 0.9},
				{Name: "queue", Into: &g.Queue}, {Name: "conns", Into: &g.Conns, Least: 1},
				{Name: "handshake", Into: &g.Handshake}, {Name: "thrash", Into: &g.Thrash, Most: 1},
				{Name: "discipline", Into: &g.Discipline, OneOf: []string{"queue", "sharing"}}}, nil)
			d.Groups = append(d.Groups, g)
			return diags
		}},
		{Name: "trouble", Labels: 1, Read: func(l []string, b *hclsyntax.Body) hcl.Diagnostics {
			t := Fault{What: l[0]}
			diags := config.Read(b, []config.Field{{Name: "at", Into: &t.At}, {Name: "for", Into: &t.For},
				{Name: "who", Into: &t.Who}, {Name: "zone", Into: &t.Zone}, {Name: "kind", Into: &t.Kind},
				{Name: "part", Into: &t.Part, Most: 1}, {Name: "count", Into: &t.Count}, {Name: "size", Into: &t.Size},
				{Name: "loss", Into: &t.Loss, Most: 0.9}, {Name: "every", Into: &t.Every}, {Name: "extra", Into: &t.Extra}}, nil)
			if !slices.Contains(whats, t.What) {
				diags = append(diags, &hcl.Diagnostic{Severity: hcl.DiagError, Subject: &b.SrcRange,
					Summary: fmt.Sprintf("trouble %q is not known; there are %s", t.What, strings.Join(whats, ", "))})
			}
			d.Faults = append(d.Faults, t)
			return diags
		}},
	}
}

// check complains of what is wrong between fields.
func (d *Scenario) check(body *hclsyntax.Body) (diags hcl.Diagnostics) {
	at := body.MissingItemRange()
	say := func(format string, args ...any) {
		diags = append(diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at})
	}
	if len(d.ProxyZones) == 0 || len(d.Groups) == 0 || len(d.Demands) == 0 {
		say("a day wants proxies, endpoints and demand")
	}
	for _, z := range append(slices.Clone(d.PilotZones), d.ProxyZones...) {
		if !slices.Contains(d.Zones, z) {
			say("%q is no zone of this day", z)
		}
	}
	for _, x := range d.Demands {
		if !slices.Contains(d.ClassNames(), x.Kind) {
			say("demand for %q, which is no req_kind", x.Kind)
		}
	}
	for _, t := range d.Faults {
		if t.At > d.Length {
			say("trouble %q comes after the day's end", t.What)
		}
	}
	return diags
}

//go:embed days/*.hcl
var shipped embed.FS

// Names names the days that ship.
func Names() []string {
	files, err := fs.Glob(shipped, "days/*.hcl")
	if err != nil {
		return nil
	}
	var names []string
	for _, f := range files {
		names = append(names, strings.TrimSuffix(path.Base(f), ".hcl"))
	}
	return names
}

// Load reads a day: one that ships, or a file.
func Load(name string) (*Scenario, error) {
	if slices.Contains(Names(), name) {
		text, err := shipped.ReadFile("days/" + name + ".hcl")
		if err != nil {
			return nil, fmt.Errorf("read day: %w", err)
		}
		return Read("days/"+name+".hcl", text)
	}
	text, err := config.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%q is no day that ships (%s) and can't be read as a file: %w", name,
			strings.Join(Names(), ", "), err)
	}
	return Read(name, text)
}

// Targets returns the names that a trouble strikes: those that match, or all; of these a part or a number, drawn.
func (t Fault) Targets(names []string, rnd *rand.Rand) []string {
	var fit []string
	for _, n := range names {
		match := len(t.Who) == 0
		for _, pattern := range t.Who {
			ok, err := path.Match(pattern, n)
			match = match || err == nil && ok
		}
		if match {
			fit = append(fit, n)
		}
	}
	n := len(fit)
	if t.Part > 0 {
		n = int(math.Ceil(t.Part * float64(len(fit))))
	}
	if t.Count > 0 {
		n = min(t.Count, len(fit))
	}
	if n < len(fit) {
		rnd.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
		fit = fit[:n]
	}
	return fit
}

// String tells a trouble in a line.
func (t Fault) String() string {
	parts := []string{t.What}
	if len(t.Who) > 0 {
		parts = append(parts, strings.Join(t.Who, ","))
	}
	for _, p := range []string{t.Zone, t.Kind} {
		if p != "" {
			parts = append(parts, p)
		}
	}
	if t.For > 0 {
		parts = append(parts, "for "+t.For.String())
	}
	return strings.Join(parts, " ")
}
