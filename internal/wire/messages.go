package wire

import "math"

// Hello opens a proxy's stream. Boot differs at each start of the proxy's process, Holds names the endpoints in its
// tables, Fresh says that it has only its standing table.
type Hello struct {
	Version int         `json:"Version"`
	Proxy   string      `json:"Proxy"`
	Zone    string      `json:"Zone"`
	Boot    uint64      `json:"Boot"`
	Rate    float64     `json:"Rate"` // reqs a second that ordinarily come to it
	Fresh   bool        `json:"Fresh"`
	Holds   []string    `json:"Holds"`
	Tables  []HeldTable `json:"Tables"` // of its last stream, whole: what is bound anew is sent as the lines that differ
}

// HeldTable is a table as a proxy has it.
type HeldTable struct {
	Table int        `json:"Table"`
	Lines []HeldLine `json:"Lines"`
}

// HeldLine is one line of it.
type HeldLine struct {
	Endpoint string  `json:"Endpoint"`
	Weight   float64 `json:"Weight"`
}

// Welcome answers a Hello: how often both sides say something, and how often sums are wanted.
type Welcome struct {
	Version          int
	Pilot            string
	BeatMs, PeriodMs int
}

// Refuse answers a Hello that is not taken, or ends a stream for something wrong on it.
type Refuse struct{ Reason string }

// Beat says that a side is alive when it has nothing else to say. Seen is the number of the last frame of the other
// side that it has dealt with: a proxy whose beats come but whose Seen stands still does not read.
type Beat struct{ Seen uint32 }

// Sums is what a proxy met since its last Sums. Seq counts them from 1 in the life of a stream; AtMs is the proxy's
// own clock, of which only differences count.
type Sums struct {
	Seq    uint64
	AtMs   float64
	SpanMs float64
	Met    []Met
	Demand []Demand
	Slices []SliceLoad // where a deployment has slices
}

// SliceLoad sums the reqs of a kind that came for a slice.
type SliceLoad struct {
	Slice            int
	Kind             string
	Reqs, Unanswered int
}

// Slices tells a pilot that the store has given a slice into its charge, with the lines stored of it, or taken it away.
// Keys from From up to To, To not included, fall into it; an empty To has no end.
type Slices struct {
	Slice int        `json:"Slice"`
	Given bool       `json:"Given"`
	Lines []HeldLine `json:"Lines"`
	From  string     `json:"From"`
	To    string     `json:"To"`
}

// Met sums a proxy's tries at an endpoint; Load is the last load report among the answers.
type Met struct {
	Endpoint      string
	Tries, Failed int
	MeanMs        float64
	Load          []Figure
}

// Figure is one value of a load report.
type Figure struct {
	Name  string
	Value float64
}

// Demand sums the reqs of a kind that came to a proxy.
type Demand struct {
	Kind             string
	Reqs, Unanswered int
}

// Done says that everything up to a mark is applied.
type Done struct {
	Mark   int     `json:"Mark"`
	TookMs float64 `json:"TookMs"` // from arrival to applied
}

// Pace asks a proxy to report otherwise: each PeriodMs, at most so many lines of what it met (0: all), and only those
// that have changed.
type Pace struct {
	PeriodMs, Lines int
	Changes         bool
}

// Redirect asks a proxy to dial another pilot.
type Redirect struct{ Reason string }

// Bye ends a stream on purpose.
type Bye struct{}

// Orders is one message of a pilot to a proxy. AgeMs is how long it waited in the pilot's channel, Lines what it
// counted there, heads included.
type Orders struct {
	AtMs  float64 // when it was ordered, on the pilot's clock
	AgeMs float64
	Lines int
	Ops   []Op
}

// EveryTable is the table number of an OpAdmit that counts for all tables.
const EveryTable = 65535

// OpKind tells what an Op does.
type OpKind byte

// The kinds of Op.
const (
	OpBind     OpKind = iota + 1 // begin a table for Kinds: its old lines and levels go, Sets and Admits follow
	OpSet                        // set the weight of a line, 0 removes it
	OpClear                      // remove lines and levels of a table
	OpWithdraw                   // shut an endpoint out (Out) or let it in
	OpAdmit                      // set level and way of trying again for Kinds
	OpMark                       // answer with Done
	OpRange                      // keys From to To use Table, whose lines begin anew; Out: no longer
)

// Op is one line of Orders; which fields count depends on Kind.
type Op struct {
	Kind     OpKind
	Table    int
	Kinds    int
	Endpoint string
	Weight   float64 // OpSet: weight; OpAdmit: level
	Again    int
	Out      bool
	Number   int
	Keep     bool // OpBind: the lines that the proxy named in its hello stand, those that follow change them
	From, To string
}

// ListAsk asks a list source: for changes from now on, or for the whole list once.
type ListAsk struct {
	Who          string // the pilot that asks
	Watch, Whole bool
}

// List carries entries of the endpoint list; Whole tells that what is not named is gone.
type List struct {
	Version int     `json:"Version"`
	Now     uint64  `json:"Now"` // ms on the list's clock
	Whole   bool    `json:"Whole"`
	Entries []Entry `json:"Entries"`
}

// Phases of a list entry.
const (
	PhaseReady = iota
	PhaseDraining
	PhaseGone
)

// Entry is one endpoint of a list. Started is on the list's own clock, 0 for the distant past; who reads it takes
// only its distance from the list's Now, so clocks may differ.
type Entry struct {
	Endpoint string  `json:"Endpoint"`
	Zone     string  `json:"Zone"`
	Machine  string  `json:"Machine"`
	Cell     int     `json:"Cell"`
	Phase    int     `json:"Phase"`
	Weight   float64 `json:"Weight"`
	Started  uint64  `json:"Started"` // ms
}

func (*Hello) kind() Type    { return typeHello }
func (*Welcome) kind() Type  { return typeWelcome }
func (*Refuse) kind() Type   { return typeRefuse }
func (*Beat) kind() Type     { return typeBeat }
func (*Sums) kind() Type     { return typeSums }
func (*Done) kind() Type     { return typeDone }
func (*Orders) kind() Type   { return typeOrders }
func (*Redirect) kind() Type { return typeRedirect }
func (*Bye) kind() Type      { return typeBye }
func (*Slices) kind() Type   { return typeSlices }
func (*Pace) kind() Type     { return typePace }
func (*ListAsk) kind() Type  { return typeListAsk }
func (*List) kind() Type     { return typeList }

func (m *Hello) put(w *buffer) {
	w.int(m.Version)
	w.text(m.Proxy)
	w.text(m.Zone)
	w.uint(m.Boot)
	w.num(m.Rate)
	w.flag(m.Fresh)
	w.texts(m.Holds)
	w.uint(uint64(len(m.Tables)))
	for _, t := range m.Tables {
		w.int(t.Table)
		w.held(t.Lines)
	}
}

func (m *Hello) get(r *reader) {
	m.Version, m.Proxy, m.Zone = r.count(), r.text(), r.text()
	m.Boot, m.Rate, m.Fresh, m.Holds = r.uint(), r.num(), r.flag(), r.texts()
	for range r.items() {
		t := HeldTable{Table: r.count(), Lines: r.held()}
		if r.err != nil {
			return
		}
		m.Tables = append(m.Tables, t)
	}
	if r.err == nil && (m.Proxy == "" || m.Zone == "") {
		r.fail(ErrValue)
	}
}

func (m *Welcome) put(w *buffer) {
	w.int(m.Version)
	w.text(m.Pilot)
	w.int(m.BeatMs)
	w.int(m.PeriodMs)
}

func (m *Welcome) get(r *reader) {
	m.Version, m.Pilot, m.BeatMs, m.PeriodMs = r.count(), r.text(), r.count(), r.count()
}

func (m *Refuse) put(w *buffer)   { w.text(m.Reason) }
func (m *Refuse) get(r *reader)   { m.Reason = r.text() }
func (m *Redirect) put(w *buffer) { w.text(m.Reason) }
func (m *Redirect) get(r *reader) { m.Reason = r.text() }
func (m *Beat) put(w *buffer)     { w.uint(uint64(m.Seen)) }
func (*Bye) put(*buffer)          {}
func (*Bye) get(*reader)          {}

func (m *Beat) get(r *reader) {
	v := r.uint()
	if v > math.MaxUint32 {
		r.fail(ErrValue)
	}
	m.Seen = uint32(v)
}

func (m *Pace) put(w *buffer) { w.int(m.PeriodMs); w.int(m.Lines); w.flag(m.Changes) }
func (m *Pace) get(r *reader) { m.PeriodMs, m.Lines, m.Changes = r.count(), r.count(), r.flag() }

func (m *Sums) put(w *buffer) {
	w.uint(m.Seq)
	w.num(m.AtMs)
	w.num(m.SpanMs)
	w.uint(uint64(len(m.Met)))
	for _, x := range m.Met {
		w.text(x.Endpoint)
		w.int(x.Tries)
		w.int(x.Failed)
		w.num(x.MeanMs)
		w.figures(x.Load)
	}
	w.uint(uint64(len(m.Demand)))
	for _, d := range m.Demand {
		w.text(d.Kind)
		w.int(d.Reqs)
		w.int(d.Unanswered)
	}
	w.uint(uint64(len(m.Slices)))
	for _, x := range m.Slices {
		w.int(x.Slice)
		w.text(x.Kind)
		w.int(x.Reqs)
		w.int(x.Unanswered)
	}
}

func (m *Slices) put(w *buffer) {
	w.int(m.Slice)
	w.flag(m.Given)
	w.held(m.Lines)
	w.text(m.From)
	w.text(m.To)
}

func (m *Slices) get(r *reader) {
	m.Slice, m.Given, m.Lines, m.From, m.To = r.count(), r.flag(), r.held(), r.text(), r.text()
	checkRange(r, m.From, m.To)
}

// checkRange refuses a range that holds no key.
func checkRange(r *reader, from, to string) {
	if to != "" && to <= from {
		r.fail(ErrValue)
	}
}

func (w *buffer) held(lines []HeldLine) {
	w.uint(uint64(len(lines)))
	for _, l := range lines {
		w.text(l.Endpoint)
		w.num(l.Weight)
	}
}

func (r *reader) held() (lines []HeldLine) {
	for range r.items() {
		l := HeldLine{r.text(), r.num()}
		if r.err != nil {
			return nil
		}
		lines = append(lines, l)
	}
	return lines
}

func (m *Sums) get(r *reader) {
	m.Seq, m.AtMs, m.SpanMs = r.uint(), r.num(), r.num()
	for range r.items() {
		x := Met{Endpoint: r.text(), Tries: r.count(), Failed: r.count(), MeanMs: r.num(), Load: r.figures()}
		if x.Failed > x.Tries {
			r.fail(ErrValue)
		}
		if r.err != nil {
			return
		}
		m.Met = append(m.Met, x)
	}
	for range r.items() {
		m.Demand = append(m.Demand, Demand{r.text(), r.count(), r.count()})
		if r.err != nil {
			return
		}
	}
	for range r.items() {
		m.Slices = append(m.Slices, SliceLoad{r.count(), r.text(), r.count(), r.count()})
		if r.err != nil {
			return
		}
	}
}

func (m *Done) put(w *buffer) { w.int(m.Mark); w.num(m.TookMs) }
func (m *Done) get(r *reader) { m.Mark, m.TookMs = r.count(), r.num() }

func (m *Orders) put(w *buffer) {
	w.num(m.AtMs)
	w.num(m.AgeMs)
	w.int(m.Lines)
	w.uint(uint64(len(m.Ops)))
	for _, o := range m.Ops {
		o.put(w)
	}
}

func (m *Orders) get(r *reader) {
	m.AtMs, m.AgeMs, m.Lines = r.num(), r.num(), r.count()
	for range r.items() {
		var o Op
		if o.get(r); r.err != nil {
			return
		}
		m.Ops = append(m.Ops, o)
	}
}

func (o *Op) put(w *buffer) {
	w.small(byte(o.Kind))
	switch o.Kind {
	case OpBind:
		w.int(o.Table)
		w.int(o.Kinds)
		w.flag(o.Keep)
	case OpSet:
		w.int(o.Table)
		w.text(o.Endpoint)
		w.num(o.Weight)
	case OpClear:
		w.int(o.Table)
	case OpWithdraw:
		w.text(o.Endpoint)
		w.flag(o.Out)
	case OpAdmit:
		w.int(o.Table)
		w.int(o.Kinds)
		w.num(o.Weight)
		w.int(o.Again)
	case OpMark:
		w.int(o.Number)
	case OpRange:
		w.int(o.Table)
		w.text(o.From)
		w.text(o.To)
		w.flag(o.Out)
	}
}

func (o *Op) get(r *reader) {
	o.Kind = OpKind(r.small())
	switch o.Kind {
	case OpBind:
		o.Table, o.Kinds, o.Keep = r.count(), r.count(), r.flag()
	case OpSet:
		o.Table, o.Endpoint, o.Weight = r.count(), r.text(), r.num()
	case OpClear:
		o.Table = r.count()
	case OpWithdraw:
		o.Endpoint, o.Out = r.text(), r.flag()
	case OpAdmit:
		o.Table, o.Kinds, o.Weight, o.Again = r.count(), r.count(), r.num(), r.count()
	case OpMark:
		o.Number = r.count()
	case OpRange:
		o.Table, o.From, o.To, o.Out = r.count(), r.text(), r.text(), r.flag()
		checkRange(r, o.From, o.To)
	default:
		r.fail(ErrValue)
	}
}

func (m *ListAsk) put(w *buffer) { w.text(m.Who); w.flag(m.Watch); w.flag(m.Whole) }
func (m *ListAsk) get(r *reader) { m.Who, m.Watch, m.Whole = r.text(), r.flag(), r.flag() }

func (m *List) put(w *buffer) {
	w.int(m.Version)
	w.uint(m.Now)
	w.flag(m.Whole)
	w.uint(uint64(len(m.Entries)))
	for _, e := range m.Entries {
		w.text(e.Endpoint)
		w.text(e.Zone)
		w.text(e.Machine)
		w.int(e.Cell)
		w.int(e.Phase)
		w.num(e.Weight)
		w.uint(e.Started)
	}
}

func (m *List) get(r *reader) {
	m.Version, m.Now, m.Whole = r.count(), r.uint(), r.flag()
	for range r.items() {
		e := Entry{Endpoint: r.text(), Zone: r.text(), Machine: r.text(), Cell: r.count(), Phase: r.count(),
			Weight: r.num(), Started: r.uint()}
		if e.Phase > PhaseGone || e.Endpoint == "" {
			r.fail(ErrValue)
		}
		if r.err != nil {
			return
		}
		m.Entries = append(m.Entries, e)
	}
}
