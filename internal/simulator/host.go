package simulator

import (
	"bufio"
	"encoding/json"
	"fmt"

	"indigousher/planner"
)

// host holds the running instances by name.
type host struct{ instances map[string]*instance }

func newHost() *host { return &host{instances: map[string]*instance{}} }

// turn is one instance's part of a batch.
type turn struct {
	instance *instance
	notes    []planner.Event
}

// answer reads one batch, lets each instance handle its part, and writes the reply.
func (h *host) answer(line []byte, w *bufio.Writer) error {
	var in batch
	if err := json.Unmarshal(line, &in); err != nil {
		return fmt.Errorf("malformed batch: %w", err)
	}
	turns, err := h.turns(&in)
	if err != nil {
		return err
	}
	out := reply{Number: in.Number, Commands: []command{}}
	for _, t := range turns {
		commands, err := t.instance.handle(in.ClockNs, t.notes)
		if err != nil {
			return err
		}
		out.Commands = append(out.Commands, commands...)
	}
	return out.write(w)
}

// turns groups a batch's events by instance, in the order in which the instances first appear, and starts and ends
// instances on the way. Instances that have ended by the end of the batch get no turn.
func (h *host) turns(in *batch) ([]*turn, error) {
	var order []*turn
	byInstance := map[*instance]*turn{}
	turnOf := func(p *instance) *turn {
		if byInstance[p] == nil {
			byInstance[p] = &turn{instance: p}
			order = append(order, byInstance[p])
		}
		return byInstance[p]
	}
	for i, raw := range in.Events {
		var e event
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("malformed event %d: %w", i+1, err)
		}
		if e.Kind == eventStart {
			p := newInstance(&e, in.ClockNs)
			h.instances[p.name] = p
			turnOf(p)
			continue
		}
		p := h.instances[e.Instance]
		if p == nil {
			return nil, fmt.Errorf("event %d: %q for unknown instance %q", i+1, e.Kind, e.Instance)
		}
		if e.Kind == eventEnd {
			delete(h.instances, e.Instance)
			continue
		}
		note, err := p.decode(&e)
		if err != nil {
			return nil, fmt.Errorf("event %d: %w", i+1, err)
		}
		t := turnOf(p)
		t.notes = append(t.notes, note)
	}
	return h.living(order), nil
}

// living returns the turns of instances that are still running; a restart under the same name is another instance.
func (h *host) living(all []*turn) []*turn {
	living := all[:0]
	for _, t := range all {
		if h.instances[t.instance.name] == t.instance {
			living = append(living, t)
		}
	}
	return living
}

// write writes the reply as one line.
func (r *reply) write(w *bufio.Writer) error {
	line, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode reply: %w", err)
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return w.Flush()
}
