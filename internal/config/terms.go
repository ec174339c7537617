package config

import (
	"errors"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"indigousher/internal/identity"
	"indigousher/internal/wire"
	"indigousher/planner"
	"indigousher/telemetry"
)

// RequestClass is what is told of one kind of req.
type RequestClass struct {
	Name           string        `json:"Name"`
	ResponseTarget time.Duration `json:"ResponseTarget"`
	ClientTimeout  time.Duration `json:"ClientTimeout"`
	Payoff         float64       `json:"Payoff"`
	LatePayoff     float64       `json:"LatePayoff"`
	Repeats        string        `json:"Repeats"` // replayable, uniqued or non-replayable
	Group          string        `json:"Group"`   // uniqued: the endpoints that drop repeats: all, zone or cell
	Window         time.Duration `json:"Window"`
	OnlyMachines   []string      `json:"OnlyMachines"`
	OnlyZones      []string      `json:"OnlyZones"`
	OwnZone        bool          `json:"OwnZone"`
	Writes         bool          `json:"Writes"`
}

// Common is what pilots and their surroundings agree on.
type Common struct {
	Zones    []string       `json:"Zones"`
	Machines []string       `json:"Machines"`
	Kinds    []RequestClass `json:"Kinds"`

	LinesPerS    float64       `json:"LinesPerS"`
	Backlog      float64       `json:"Backlog"`
	HeadLines    int           `json:"HeadLines"`
	MessagesMost int           `json:"MessagesMost"`
	MessagesOver time.Duration `json:"MessagesOver"`

	DrainGrace   time.Duration `json:"DrainGrace"`
	BareFor      time.Duration `json:"BareFor"`
	Cold         time.Duration `json:"Cold"`
	Fall         time.Duration `json:"Fall"`
	ColdFrom     float64       `json:"ColdFrom"`
	FallMultiple float64       `json:"FallMultiple"`

	Proxies         int           `json:"Proxies"`
	Slices          int           `json:"Slices"` // keys fall into so many slices; 0: a deployment without them
	ByZone          bool          `json:"ByZone"`
	EjectsAfter     int           `json:"EjectsAfter"`
	RetryHow        int           `json:"RetryHow"`
	FirstWait       float64       `json:"FirstWait"`
	Admission       string        `json:"Admission"`
	Pick            string        `json:"Pick"`
	Fields          []string      `json:"Fields"`
	Period          time.Duration `json:"Period"`
	ReportLinesPerS int           `json:"ReportLinesPerS"`
	CrossZone       float64       `json:"CrossZone"`
	Probing         bool          `json:"Probing"`
	AskForList      bool          `json:"AskForList"`
	Instances       int           `json:"Instances"`
}

// Pilot is all that one pilot's file tells.
type Pilot struct {
	Common
	Name, Zone    string
	Rank          int
	Seed          int
	Listen, Admin string
	Handover      string // path of the socket over which a new process takes over; "": none
	GRPC          string // where proxies join over gRPC and xDS; "": not
	Keys          identity.Files
	Plain         bool // no keys; on loopback only
	NewPerS       float64

	ListFile, ListAddress string
	ListSilence           time.Duration

	PeersListen string
	Peers       map[string]string
	PeersSecret string // file of keys that seal notes between pilots; needed where there are keys

	IntakeLinesPerS               float64
	IntakeStanding, IntakeSlowest int
	IntakeHalf, IntakeLongest     time.Duration

	Beat, WriteDeadline, HelloDeadline, SeenWithin, DrainOnStop time.Duration
	MaxFrame, MaxStreams, Queue, MostProxies                    int

	RecordDir                  string // "": nothing is recorded
	RecordKeep                 time.Duration
	RecordMostMB               float64
	RecoverTail, RecoverWithin time.Duration

	LogLevel, LogFormat string
}

// Defaults returns the values that stand where a file says nothing.
func Defaults() Pilot {
	return Pilot{
		Common: CommonDefaults(),
		Name:   "pilot", Seed: 1, Listen: "127.0.0.1:7400", Admin: "127.0.0.1:7401", ListSilence: 10 * time.Second,
		IntakeLinesPerS: 200_000, IntakeStanding: 100_000, IntakeSlowest: 8, IntakeHalf: 5 * time.Second,
		IntakeLongest: 2 * time.Minute,
		NewPerS:       500,
		Beat:          time.Second, WriteDeadline: 2 * time.Second, HelloDeadline: 3 * time.Second, SeenWithin: 1500 * time.Millisecond,
		DrainOnStop: 2 * time.Second, MaxFrame: wire.MaxFrame, MaxStreams: 4096, Queue: 64, MostProxies: 65535,
		RecordKeep: 7 * 24 * time.Hour, RecordMostMB: 1024, RecoverTail: time.Minute, RecoverWithin: 2 * time.Minute,
		LogLevel: "info", LogFormat: "console",
	}
}

// CommonDefaults returns the common part of Defaults.
func CommonDefaults() Common {
	return Common{LinesPerS: 4000, Backlog: 6000, HeadLines: 4, MessagesMost: 30, MessagesOver: 10 * time.Second,
		DrainGrace: 2 * time.Second, BareFor: 3 * time.Second, Cold: 15 * time.Second, ColdFrom: 0.2,
		Fall: 1500 * time.Millisecond, FallMultiple: 3, Proxies: 1, EjectsAfter: 5, RetryHow: 1, FirstWait: 1,
		Admission: "share", Pick: "weighted", Fields: []string{"util", "rate"}, Period: time.Second, CrossZone: 0.1,
		Instances: 1}
}

// ReadPilot reads and checks a pilot's file.
func ReadPilot(path string) (*Pilot, error) {
	text, err := ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read terms: %w", err)
	}
	return Parse(path, text)
}

// Parse reads and checks a pilot's text; name is for complaints.
func Parse(name string, text []byte) (*Pilot, error) {
	body, diags := Open(name, text)
	if diags.HasErrors() {
		return nil, DiagnosticsError(diags)
	}
	p := Defaults()
	diags = Read(body, p.Common.Attributes(), append(p.Common.Blocks(), p.subs()...))
	if !diags.HasErrors() {
		diags = append(diags, p.check(body)...)
	}
	if diags.HasErrors() {
		return nil, DiagnosticsError(diags)
	}
	return &p, nil
}

// DiagnosticsError joins diagnostics into one error, a line each: file:line:column: what.
func DiagnosticsError(diags hcl.Diagnostics) error {
	var list []error
	for _, d := range diags {
		text := d.Summary
		if d.Detail != "" {
			text += "; " + d.Detail
		}
		if d.Subject != nil {
			text = fmt.Sprintf("%s:%d:%d: %s", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column, text)
		}
		list = append(list, errors.New(text))
	}
	return errors.Join(list...)
}

// Attributes lists the attributes that stand outside any block.
func (c *Common) Attributes() []Field {
	return []Field{{Name: "zones", Into: &c.Zones, Needed: true}, {Name: "machines", Into: &c.Machines, Needed: true}}
}

// Blocks lists the blocks of the common part.
func (c *Common) Blocks() []Block {
	block := func(name string, fields ...Field) Block { return Block{Name: name, Most: 1, Fields: fields} }
	return []Block{
		{Name: "req_kind", Labels: 1, Most: 31, Read: c.readKind},
		block("channel", Field{Name: "lines_per_s", Into: &c.LinesPerS, Least: 1},
			Field{Name: "backlog", Into: &c.Backlog, Least: 1},
			Field{Name: "head_lines", Into: &c.HeadLines, Most: 1000},
			Field{Name: "messages_most", Into: &c.MessagesMost, Most: 1e6},
			Field{Name: "messages_over", Into: &c.MessagesOver, Least: 0.1}),
		block("rules", Field{Name: "drain_grace", Into: &c.DrainGrace, Least: 0.1},
			Field{Name: "bare_for", Into: &c.BareFor, Least: 0.1}, Field{Name: "cold", Into: &c.Cold},
			Field{Name: "cold_from", Into: &c.ColdFrom, Least: 0.001, Most: 1},
			Field{Name: "fall", Into: &c.Fall, Least: 0.05}, Field{Name: "fall_multiple", Into: &c.FallMultiple, Least: 1}),
		block("proxies", Field{Name: "count", Into: &c.Proxies, Least: 1, Most: 65535},
			Field{Name: "slices", Into: &c.Slices, Most: wire.EveryTable - 1},
			Field{Name: "by_zone", Into: &c.ByZone}, Field{Name: "ejects_after", Into: &c.EjectsAfter},
			Field{Name: "try_again", Into: &c.RetryHow, Most: 3}, Field{Name: "first_wait", Into: &c.FirstWait},
			Field{Name: "admission", Into: &c.Admission, OneOf: []string{"share", "off"}},
			Field{Name: "pick", Into: &c.Pick, OneOf: []string{"weighted", "round", "two"}}),
		block("reports", Field{Name: "fields", Into: &c.Fields}, Field{Name: "period", Into: &c.Period, Least: 0.05},
			Field{Name: "lines_per_s", Into: &c.ReportLinesPerS}, Field{Name: "probing", Into: &c.Probing}),
		block("prices", Field{Name: "cross_zone", Into: &c.CrossZone, Most: 10}),
	}
}

func (c *Common) readKind(labels []string, b *hclsyntax.Body) hcl.Diagnostics {
	k := RequestClass{Name: labels[0], ResponseTarget: time.Second, ClientTimeout: 3 * time.Second, Payoff: 1,
		Repeats: "replayable", Group: "all", Window: 5 * time.Second}
	diags := Read(b, k.fields(), nil)
	check := func(what string, list, known []string) {
		for _, n := range list {
			if !slices.Contains(known, n) {
				diags = append(diags, complaint(b.SrcRange, "%s: %q is not listed at the top", what, n))
			}
		}
	}
	check("only_machines", k.OnlyMachines, c.Machines)
	check("only_zones", k.OnlyZones, c.Zones)
	if slices.ContainsFunc(c.Kinds, func(o RequestClass) bool { return o.Name == k.Name }) {
		diags = append(diags, complaint(b.SrcRange, "req_kind %q stands here twice", k.Name))
	}
	c.Kinds = append(c.Kinds, k)
	return diags
}

// fields lists the attributes of a req kind.
func (k *RequestClass) fields() []Field {
	return []Field{
		{Name: "response_target", Into: &k.ResponseTarget, Least: 0.001},
		{Name: "client_timeout", Into: &k.ClientTimeout, Least: 0.001},
		{Name: "payoff", Into: &k.Payoff}, {Name: "late_payoff", Into: &k.LatePayoff, Most: 1},
		{Name: "repeats", Into: &k.Repeats, OneOf: []string{"replayable", "uniqued", "non-replayable"}},
		{Name: "group", Into: &k.Group, OneOf: []string{"all", "zone", "cell"}}, {Name: "window", Into: &k.Window},
		{Name: "only_machines", Into: &k.OnlyMachines}, {Name: "only_zones", Into: &k.OnlyZones},
		{Name: "own_zone", Into: &k.OwnZone}, {Name: "writes", Into: &k.Writes},
	}
}

func (p *Pilot) subs() []Block {
	block := func(name string, fields ...Field) Block { return Block{Name: name, Most: 1, Fields: fields} }
	return []Block{
		block("pilot", Field{Name: "name", Into: &p.Name}, Field{Name: "zone", Into: &p.Zone},
			Field{Name: "rank", Into: &p.Rank, Most: 65535}, Field{Name: "instances", Into: &p.Instances, Least: 1},
			Field{Name: "seed", Into: &p.Seed}, Field{Name: "listen", Into: &p.Listen},
			Field{Name: "grpc", Into: &p.GRPC},
			Field{Name: "handover", Into: &p.Handover},
			Field{Name: "admin", Into: &p.Admin}),
		block("keys", Field{Name: "authority", Into: &p.Keys.Authority},
			Field{Name: "certificate", Into: &p.Keys.Certificate}, Field{Name: "private_key", Into: &p.Keys.Key},
			Field{Name: "plain", Into: &p.Plain}),
		block("list", Field{Name: "file", Into: &p.ListFile}, Field{Name: "address", Into: &p.ListAddress},
			Field{Name: "silence", Into: &p.ListSilence, Least: 0.1}),
		block("peers", Field{Name: "listen", Into: &p.PeersListen}, Field{Name: "addresses", Into: &p.Peers},
			Field{Name: "secret", Into: &p.PeersSecret}),
		block("intake", Field{Name: "lines_per_s", Into: &p.IntakeLinesPerS},
			Field{Name: "standing", Into: &p.IntakeStanding}, Field{Name: "slowest", Into: &p.IntakeSlowest, Least: 1, Most: 60},
			Field{Name: "half", Into: &p.IntakeHalf, Least: 0.1}, Field{Name: "longest", Into: &p.IntakeLongest, Least: 1}),
		block("streams", Field{Name: "beat", Into: &p.Beat, Least: 0.01},
			Field{Name: "write_deadline", Into: &p.WriteDeadline, Least: 0.01},
			Field{Name: "hello_deadline", Into: &p.HelloDeadline, Least: 0.01},
			Field{Name: "seen_within", Into: &p.SeenWithin, Least: 0.05},
			Field{Name: "stop_within", Into: &p.DrainOnStop}, Field{Name: "queue", Into: &p.Queue, Least: 1, Most: 65536},
			Field{Name: "max_frame", Into: &p.MaxFrame, Least: 1024, Most: wire.MaxFrame},
			Field{Name: "new_per_s", Into: &p.NewPerS},
			Field{Name: "max_streams", Into: &p.MaxStreams, Least: 1},
			Field{Name: "max_proxies", Into: &p.MostProxies, Least: 1, Most: 65535}),
		block("record", Field{Name: "dir", Into: &p.RecordDir}, Field{Name: "keep", Into: &p.RecordKeep},
			Field{Name: "most_mb", Into: &p.RecordMostMB, Least: 1}, Field{Name: "tail", Into: &p.RecoverTail},
			Field{Name: "within", Into: &p.RecoverWithin}),
		block("log", Field{Name: "level", Into: &p.LogLevel, OneOf: []string{"debug", "info", "warn", "error"}},
			Field{Name: "format", Into: &p.LogFormat, OneOf: []string{"console", "json"}}),
	}
}

// check complains of what is wrong between fields.
func (p *Pilot) check(body *hclsyntax.Body) (diags hcl.Diagnostics) {
	at := body.MissingItemRange()
	say := func(format string, args ...any) { diags = append(diags, complaint(at, format, args...)) }
	if len(p.Kinds) == 0 {
		say("no req_kind is told")
	}
	names := append([]string{p.Name}, p.ClassNames()...)
	for what, list := range map[string][]string{"zones": p.Zones, "machines": p.Machines} {
		names = append(names, list...)
		if n, twice := repeated(list); twice { // places in the list would differ from indices
			say("%s: %q stands here twice", what, n)
		}
	}
	for _, n := range names {
		diags = append(diags, named(at, n, 1)...)
	}
	if tables := len(p.Zones) * max(1, len(p.Kinds)); tables >= wire.EveryTable {
		say("%d zones and %d kinds of req want %d tables, fewer than %d may be", len(p.Zones), len(p.Kinds), tables, wire.EveryTable)
	}
	if p.Zone == "" && len(p.Zones) > 0 {
		p.Zone = p.Zones[0]
	}
	if !slices.Contains(p.Zones, p.Zone) {
		say("the pilot's zone %q is not among the zones", p.Zone)
	}
	if (p.ListFile == "") == (p.ListAddress == "") {
		say("list: one of file and address is wanted")
	}
	if p.Plain == (p.Keys != identity.Files{}) {
		say("keys: authority, certificate and private_key are wanted, or plain = true")
	}
	if !p.Plain && p.PeersListen != "" && p.PeersSecret == "" {
		say("peers: with keys a secret is wanted, or plain = true")
	}
	for _, at := range []string{p.Listen, p.GRPC, p.Admin, p.PeersListen, p.ListAddress} {
		if p.Plain && at != "" && !loopback(at) {
			say("%s is no loopback address, and plain = true is for these only", at)
		}
	}
	if p.Rank >= p.Instances {
		say("rank %d of %d instances: ranks count from 0", p.Rank, p.Instances)
	}
	for _, k := range p.Kinds {
		if k.Repeats == "non-replayable" && p.RetryHow > 1 {
			say("proxies: try_again %d has proxies repeat %q by themselves, which is non-replayable; 0 or 1 may stand", p.RetryHow, k.Name)
		}
	}
	for r := range p.Peers {
		if _, err := strconv.Atoi(r); err != nil {
			say("peers: %q is no rank", r)
		}
	}
	return diags
}

// named complains of a name that the wire can't carry.
func named(at hcl.Range, name string, least int) hcl.Diagnostics {
	if len(name) >= least && len(name) <= wire.MaxText {
		return nil
	}
	return hcl.Diagnostics{complaint(at, "a name of %d bytes, %d to %d are wanted: %.40q", len(name), least, wire.MaxText, name)}
}

// repeated returns the first name that stands in a list a second time.
func repeated(list []string) (string, bool) {
	seen := map[string]bool{}
	for _, n := range list {
		if seen[n] {
			return n, true
		}
		seen[n] = true
	}
	return "", false
}

// loopback returns whether an address can be reached from this machine alone.
func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func list[T any](from []T, as func(T) any) []any {
	var l []any
	for _, x := range from {
		l = append(l, as(x))
	}
	return l
}

// PlannerSettings returns the terms by the names that the module reads. Spans are milliseconds; zones, machines and req
// kinds are their places in the lists.
func (c *Common) PlannerSettings(rank int) map[string]any {
	place := func(in []string) func(string) any {
		return func(n string) any { return float64(slices.Index(in, n)) }
	}
	kinds := list(c.Kinds, func(k RequestClass) any {
		return map[string]any{"name": k.Name, "response_target": ms(k.ResponseTarget), "payoff": k.Payoff,
			"client_timeout": ms(k.ClientTimeout), "late_payoff": k.LatePayoff, "repeats": k.Repeats, "group": k.Group,
			"window": ms(k.Window), "only_machines": list(k.OnlyMachines, place(c.Machines)),
			"only_zones": list(k.OnlyZones, place(c.Zones))}
	})
	text := func(s string) any { return s }
	discovery := "pushed"
	if c.AskForList {
		discovery = "on_request"
	}
	return map[string]any{"req_kinds": kinds, "zones": list(c.Zones, text), "machines": list(c.Machines, text),
		"kind_own_zone": list(c.Kinds, func(k RequestClass) any { return k.OwnZone }),
		"kind_writes":   list(c.Kinds, func(k RequestClass) any { return k.Writes }),
		"fields":        list(c.Fields, text), "rank": float64(rank), "instances": float64(c.Instances),
		"proxy_count": float64(c.Proxies), "slices": float64(c.Slices), "by_zone": c.ByZone, "discovery": discovery, "probing": c.Probing,
		"cross_zone": c.CrossZone, "admission": c.Admission, "pick": c.Pick, "ejects_after": float64(c.EjectsAfter),
		"retry_default": float64(c.RetryHow), "first_wait": c.FirstWait, "lines_per_s": c.LinesPerS,
		"backlog": c.Backlog, "head_lines": float64(c.HeadLines), "messages_most": float64(c.MessagesMost),
		"messages_over": ms(c.MessagesOver), "drain_grace": ms(c.DrainGrace), "bare_for": ms(c.BareFor),
		"cold": ms(c.Cold), "cold_from": c.ColdFrom, "fall": ms(c.Fall), "fall_multiple": c.FallMultiple,
		"report_every": ms(c.Period)}
}

// live names the fields that a reload may change; the module reads its part of them anew each time.
var live = []string{"LinesPerS", "Backlog", "MessagesMost", "MessagesOver", "DrainGrace", "BareFor", "Cold",
	"ColdFrom", "Fall", "FallMultiple", "LogLevel", "DrainOnStop"}

// liveTerms are the same by the module's names, as far as it reads them.
var liveTerms = []string{"lines_per_s", "backlog", "messages_most", "messages_over", "drain_grace", "bare_for", "cold",
	"cold_from", "fall", "fall_multiple"}

// Reload compares the terms in force with new ones: which fields change at once, and which want a restart.
func Reload(old, now *Pilot) (changed, restart []string) {
	diff(reflect.ValueOf(*old), reflect.ValueOf(*now), func(name string) {
		if slices.Contains(live, name) {
			changed = append(changed, name)
		} else {
			restart = append(restart, name)
		}
	})
	return changed, restart
}

func diff(a, b reflect.Value, differs func(string)) {
	for i := range a.NumField() {
		f := a.Type().Field(i)
		switch {
		case f.Anonymous:
			diff(a.Field(i), b.Field(i), differs)
		case !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()):
			differs(f.Name)
		}
	}
}

// ReloadableSettings returns the part of the module's terms that a reload brings.
func (c *Common) ReloadableSettings() map[string]any {
	all, part := c.PlannerSettings(0), map[string]any{}
	for _, name := range liveTerms {
		part[name] = all[name]
	}
	return part
}

// ClassNames lists the req kinds in order.
func (c *Common) ClassNames() (names []string) {
	for _, k := range c.Kinds {
		names = append(names, k.Name)
	}
	return names
}

// ReadList reads and checks an endpoint list's file.
func ReadList(path string) (*wire.List, error) {
	text, err := ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read endpoint list: %w", err)
	}
	return ParseList(path, text)
}

// ParseList reads an endpoint list in HCL: one block endpoint "ADDRESS" for each. A start is a time in RFC 3339. A text
// without any is refused, as it is what a file looks like that is just being written; who means it lists them as gone.
func ParseList(name string, text []byte) (*wire.List, error) {
	body, diags := Open(name, text)
	if diags.HasErrors() {
		return nil, DiagnosticsError(diags)
	}
	l := &wire.List{Whole: true, Now: uint64(time.Now().UnixMilli())}
	phases, seen := []string{"ready", "draining", "gone"}, map[string]bool{}
	diags = Read(body, []Field{{Name: "version", Into: &l.Version}}, []Block{{Name: "endpoint", Labels: 1,
		Read: func(labels []string, b *hclsyntax.Body) hcl.Diagnostics {
			e, phase, started := wire.Entry{Endpoint: labels[0], Weight: 1}, "ready", ""
			diags := Read(b, []Field{{Name: "zone", Into: &e.Zone, Needed: true}, {Name: "machine", Into: &e.Machine},
				{Name: "cell", Into: &e.Cell}, {Name: "weight", Into: &e.Weight},
				{Name: "phase", Into: &phase, OneOf: phases}, {Name: "started", Into: &started}}, nil)
			e.Phase = slices.Index(phases, phase)
			if started != "" {
				at, err := time.Parse(time.RFC3339, started)
				if err != nil {
					diags = append(diags, complaint(b.Attributes["started"].Expr.Range(), "started: %v", err))
				}
				e.Started = uint64(max(1, at.UnixMilli()))
			}
			if seen[e.Endpoint] {
				diags = append(diags, complaint(b.SrcRange, "endpoint %q stands here twice", e.Endpoint))
			}
			diags = append(diags, named(b.SrcRange, e.Endpoint, 1)...)
			diags = append(diags, named(b.SrcRange, e.Zone, 0)...)
			diags = append(diags, named(b.SrcRange, e.Machine, 0)...)
			if !planner.ValidWeight(e.Weight) {
				diags = append(diags, complaint(b.SrcRange, "weight %g: 0 or %g to %g is wanted", e.Weight, 1/planner.MaxFigure, planner.MaxFigure))
			}
			seen[e.Endpoint] = true
			l.Entries = append(l.Entries, e)
			return diags
		}}})
	if len(l.Entries) == 0 {
		diags = append(diags, complaint(body.MissingItemRange(), "no endpoint stands here"))
	}
	if diags.HasErrors() {
		return nil, DiagnosticsError(diags)
	}
	return l, nil
}

// TelemetryOptions returns the report intake's part.
func (p *Pilot) TelemetryOptions() telemetry.Options {
	return telemetry.Options{LinesPerS: p.IntakeLinesPerS, ToldPerS: float64(p.ReportLinesPerS), Standing: p.IntakeStanding,
		PeriodMs: ms(p.Period), HalfMs: ms(p.IntakeHalf), LongestMs: ms(p.IntakeLongest), Slowest: p.IntakeSlowest,
		ColdMs: ms(p.Cold), MostSenders: p.MaxStreams}
}

// String names a pilot for logs.
func (p *Pilot) String() string { return strings.Join([]string{p.Name, p.Zone}, "@") }

// Merge returns the old terms with the fields of the new that a reload may change.
func Merge(old, now *Pilot) *Pilot {
	merged := *old
	to, from := reflect.ValueOf(&merged).Elem(), reflect.ValueOf(*now)
	for _, name := range live {
		to.FieldByName(name).Set(from.FieldByName(name))
	}
	return &merged
}
