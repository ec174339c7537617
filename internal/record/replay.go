package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc64"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
	"indigousher/planner"
)

// Result is what a replay ordered.
type Result struct {
	Turns, Events, Gaps int
	SpanMs              float64
	Tables              uint64 // digest of all that was sent, by proxy
	Messages, Lines     int
	Exclusions          int // endpoints shut out
	Sets, Removals      int // lines set, and of these removed
	Levels              int // levels below 1 that were set
	Assignments         int
	MaxQueuedLines      int // lines in the channel
	Estimate            Estimate
	FirstDiff           string // where the replay first ordered otherwise than the record; "" for nowhere
}

// NewDecider makes what decides in a replay.
type NewDecider func(seed int64, terms map[string]any) controller.Decider

// Replay feeds a life to a core in virtual time. With terms of nil its own are used and orders are held against the
// record; with others they can only be looked at, as the world's answers are those of the recorded day.
func Replay(s *Store, l Life, with map[string]any, decide NewDecider) (*Result, error) {
	own := with == nil
	terms := with
	if own {
		terms = map[string]any{}
		if err := json.Unmarshal([]byte(l.Settings), &terms); err != nil {
			return nil, fmt.Errorf("read terms of %s: %w", l.ID, err)
		}
	}
	r := &Result{}
	d := &listener{Decider: decide(l.Seed, terms), r: r}
	plan, err := planOf(terms)
	if err != nil {
		return nil, err
	}
	plan.Decider, plan.Settings = d, terms
	core := controller.NewCore(plan)
	d.guess = newEstimator(core.Shares)
	if l.After != "" {
		turns, _, err := ReadTail(s, l.After, l.TailMs)
		if err != nil {
			return nil, err
		}
		if err := Restore(core, turns[ReplayStart(turns, l.TailMs):]); err != nil {
			return nil, err
		}
		core.FinishRecovery(plan)
		*r = Result{}
		core.Events = 0
		d.guess = newEstimator(core.Shares)
	}
	sent := crc64.New(table)
	p := Replayer{Core: core, Sent: func(proxy string, o *wire.Orders) {
		r.Messages++
		r.Lines += o.Lines
		fmt.Fprintf(sent, "%s %v\n", proxy, o.Ops) // writes to a hash don't fail
	}}
	first := true
	err = s.Read(l.ID, func(turns []Turn, gap bool) error {
		if gap {
			r.Gaps++
		}
		for i := range turns {
			t := &turns[i]
			if t.IsCheckpoint() {
				continue
			}
			d.digest = Digest(nil)
			if err := p.Play(t, 0); err != nil {
				return err
			}
			if first {
				first, r.SpanMs = false, -t.AtMs
			}
			if own && r.FirstDiff == "" && d.digest != t.Digest {
				r.FirstDiff = fmt.Sprintf("turn %d at %.3f s, %d inputs, first %s", r.Turns, t.AtMs/1000, len(t.Inputs), describe(t))
			}
			r.Turns++
			r.MaxQueuedLines = max(r.MaxQueuedLines, core.Channel.MaxLines)
			d.lastMs = t.AtMs
		}
		return nil
	})
	r.SpanMs += d.lastMs
	r.Events, r.Tables, r.Estimate = core.Events, sent.Sum64(), d.guess.result()
	if errors.Is(err, ErrCorrupt) {
		return r, fmt.Errorf("%s after %d turns: %w", l.ID, r.Turns, err)
	}
	return r, err
}

func describe(t *Turn) string {
	if len(t.Inputs) == 0 {
		return "an alarm"
	}
	if n := t.Inputs[0].Event; n != nil {
		return fmt.Sprintf("%T%+v", n, n)
	}
	return fmt.Sprintf("%T%+v", t.Inputs[0].Message, t.Inputs[0].Message)
}

// listener counts what is ordered.
type listener struct {
	controller.Decider
	r      *Result
	digest uint64
	lastMs float64
	guess  *estimator
}

func (l *listener) Handle(nowMs float64, notes []planner.Event) []planner.Command {
	l.guess.notes(notes) // by the tables that stand until now
	orders := l.Decider.Handle(nowMs, notes)
	l.digest = Digest(orders)
	for _, o := range orders {
		switch o := o.(type) {
		case planner.SetWeight:
			l.r.Sets++
			if o.Weight == 0 {
				l.r.Removals++
			}
		case planner.SetExcluded:
			if o.Excluded {
				l.r.Exclusions++
			}
		case planner.SetAdmission:
			if o.Level < 1 {
				l.r.Levels++
			}
		case planner.AssignTable:
			l.r.Assignments++
		}
	}
	return orders
}

// planOf makes a core's plan from the module's terms.
func planOf(terms map[string]any) (p controller.Options, err error) {
	texts := func(name string) (list []string) {
		all, _ := terms[name].([]any)
		for _, x := range all {
			switch x := x.(type) {
			case string:
				list = append(list, x)
			case map[string]any:
				s, _ := x["name"].(string)
				list = append(list, s)
			}
		}
		return list
	}
	num := func(name string) float64 { v, _ := terms[name].(float64); return v }
	p = controller.Options{Zones: texts("zones"), Machines: texts("machines"), Classes: texts("req_kinds"), LinesPerS: num("lines_per_s"),
		Backlog: num("backlog"), HeadLines: int(num("head_lines")), MaxMessages: int(num("messages_most")),
		MessagesOverMs: num("messages_over"), MaxProxies: 65535, EndpointSource: nobody{}, HealthChecker: nobody{}, Gossip: nobody{},
		Log: func(string) {}, Malformed: func(string, ...string) {}, Replayed: true}
	p.Telemetry.PeriodMs, p.Telemetry.HalfMs, p.Telemetry.LongestMs = 1000, 5000, 120000
	if len(p.Zones) == 0 || len(p.Classes) == 0 {
		return p, fmt.Errorf("terms without zones or req kinds: %w", ErrCorrupt)
	}
	return p, nil
}

// nobody stands for edges that are not there in a replay.
type nobody struct{}

func (nobody) Watch(bool)       {}
func (nobody) Fetch()           {}
func (nobody) Probe(string)     {}
func (nobody) Tell(int, string) {}
