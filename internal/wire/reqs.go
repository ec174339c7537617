package wire

// Req asks an endpoint, or a proxy in front of endpoints, for work. Number pairs it with its Answer on the
// connection; Name is the same for all tries of one req, so that an effect can be told from its repeat.
type Req struct {
	Number, Name uint64
	Kind, From   string
	Key          string  // where a deployment has slices
	WorkMs       float64 // that it will take on a core of speed 1
	LimitMs      float64 // for which the asker waits
}

// Outcome is how a try ended.
type Outcome byte

// The outcomes that an Answer can name.
const (
	Fine    Outcome = iota + 1
	Errored         // it ran, or may have run, and failed
	Denied          // it never ran
)

// Answer ends a Req or a Probe. Load is the endpoint's load report; ComeBackMs goes with Denied.
type Answer struct {
	Number     uint64
	Outcome    Outcome
	ComeBackMs float64
	Load       []Figure
}

// Probe asks an endpoint for a load report, answered beside its queue.
type Probe struct{ Number uint64 }

func (*Req) kind() Type    { return typeReq }
func (*Answer) kind() Type { return typeAnswer }
func (*Probe) kind() Type  { return typeProbe }

func (m *Req) put(w *buffer) {
	w.uint(m.Number)
	w.uint(m.Name)
	w.text(m.Kind)
	w.text(m.From)
	w.num(m.WorkMs)
	w.num(m.LimitMs)
	w.text(m.Key)
}

func (m *Req) get(r *reader) {
	m.Number, m.Name, m.Kind, m.From = r.uint(), r.uint(), r.text(), r.text()
	m.WorkMs, m.LimitMs, m.Key = r.num(), r.num(), r.text()
}

func (m *Answer) put(w *buffer) {
	w.uint(m.Number)
	w.small(byte(m.Outcome))
	w.num(m.ComeBackMs)
	w.figures(m.Load)
}

func (m *Answer) get(r *reader) {
	m.Number, m.Outcome, m.ComeBackMs = r.uint(), Outcome(r.small()), r.num()
	if m.Outcome < Fine || m.Outcome > Denied {
		r.fail(ErrValue)
	}
	m.Load = r.figures()
}

func (m *Probe) put(w *buffer) { w.uint(m.Number) }
func (m *Probe) get(r *reader) { m.Number = r.uint() }

func (w *buffer) figures(l []Figure) {
	w.uint(uint64(len(l)))
	for _, f := range l {
		w.text(f.Name)
		w.num(f.Value)
	}
}

func (r *reader) figures() (l []Figure) {
	for range r.items() {
		f := Figure{r.text(), r.num()}
		if r.err != nil {
			return nil
		}
		l = append(l, f)
	}
	return l
}
