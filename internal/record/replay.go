package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc64"

	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

// Result is what a replay ordered.
type Result struct {
	Turns, Notes, Gaps int
	SpanMs             float64
	Tables             uint64 // digest of all that was sent, by proxy
	Messages, Lines    int
	Withdrawals        int // endpoints shut out
	Sets, Zeros        int // lines set, and of these removed
	Levels             int // levels below 1 that were set
	Binds              int
	MostWaiting        int // lines in the channel
	Estimate           Estimate
	FirstDiff          string // where the replay first ordered otherwise than the record; "" for nowhere
}

// Make makes what decides in a replay.
type Make func(seed int64, terms map[string]any) pilot.Decider

// Replay feeds a life to a core in virtual time. With terms of nil its own are used and orders are held against the
// record; with others they can only be looked at, as the world's answers are those of the recorded day.
func Replay(s *Store, l Life, with map[string]any, decide Make) (*Result, error) {
	own := with == nil
	terms := with
	if own {
		terms = map[string]any{}
		if err := json.Unmarshal([]byte(l.Terms), &terms); err != nil {
			return nil, fmt.Errorf("read terms of %s: %w", l.ID, err)
		}
	}
	r := &Result{}
	d := &countingDecider{Decider: decide(l.Seed, terms), result: r}
	plan, err := optionsFromSettings(terms)
	if err != nil {
		return nil, err
	}
	plan.Decider, plan.Terms = d, terms
	core := pilot.NewCore(plan)
	d.estimator = newEstimator(core.Shares)
	if l.After != "" {
		turns, _, err := Tail(s, l.After, l.TailMs)
		if err != nil {
			return nil, err
		}
		if err := Restore(core, turns[From(turns, l.TailMs):]); err != nil {
			return nil, err
		}
		core.Recovered(plan)
		*r = Result{}
		core.Heard = 0
		d.estimator = newEstimator(core.Shares)
	}
	sent := crc64.New(table)
	p := replayer{core: core, onSend: func(proxy string, o *wire.Orders) {
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
			if err := p.replay(t, 0); err != nil {
				return err
			}
			if first {
				first, r.SpanMs = false, -t.AtMs
			}
			if own && r.FirstDiff == "" && d.digest != t.Digest {
				r.FirstDiff = fmt.Sprintf("turn %d at %.3f s, %d inputs, first %s", r.Turns, t.AtMs/1000, len(t.Inputs), describeTurn(t))
			}
			r.Turns++
			r.MostWaiting = max(r.MostWaiting, core.Channel.MostSeen)
			d.lastMs = t.AtMs
		}
		return nil
	})
	r.SpanMs += d.lastMs
	r.Notes, r.Tables, r.Estimate = core.Heard, sent.Sum64(), d.estimator.result()
	if errors.Is(err, ErrTorn) {
		return r, fmt.Errorf("%s after %d turns: %w", l.ID, r.Turns, err)
	}
	return r, err
}

func describeTurn(t *Turn) string {
	if len(t.Inputs) == 0 {
		return "an alarm"
	}
	if n := t.Inputs[0].Note; n != nil {
		return fmt.Sprintf("%T%+v", n, n)
	}
	return fmt.Sprintf("%T%+v", t.Inputs[0].Message, t.Inputs[0].Message)
}
