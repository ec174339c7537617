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

func (*Req) messageType() Type    { return typeReq }
func (*Answer) messageType() Type { return typeAnswer }
func (*Probe) messageType() Type  { return typeProbe }

func (m *Req) encode(w *encoder) {
	w.uvarint(m.Number)
	w.uvarint(m.Name)
	w.text(m.Kind)
	w.text(m.From)
	w.float(m.WorkMs)
	w.float(m.LimitMs)
	w.text(m.Key)
}

func (m *Req) decode(r *decoder) {
	m.Number, m.Name, m.Kind, m.From = r.uvarint(), r.uvarint(), r.text(), r.text()
	m.WorkMs, m.LimitMs, m.Key = r.float(), r.float(), r.text()
}

func (m *Answer) encode(w *encoder) {
	w.uvarint(m.Number)
	w.byte(byte(m.Outcome))
	w.float(m.ComeBackMs)
	w.figures(m.Load)
}

func (m *Answer) decode(r *decoder) {
	m.Number, m.Outcome, m.ComeBackMs = r.uvarint(), Outcome(r.byte()), r.float()
	if m.Outcome < Fine || m.Outcome > Denied {
		r.fail(ErrValue)
	}
	m.Load = r.figures()
}

func (m *Probe) encode(w *encoder) { w.uvarint(m.Number) }
func (m *Probe) decode(r *decoder) { m.Number = r.uvarint() }

func (w *encoder) figures(l []Figure) {
	w.uvarint(uint64(len(l)))
	for _, f := range l {
		w.text(f.Name)
		w.float(f.Value)
	}
}

func (r *decoder) figures() (l []Figure) {
	for range r.length() {
		f := Figure{r.text(), r.float()}
		if r.err != nil {
			return nil
		}
		l = append(l, f)
	}
	return l
}
