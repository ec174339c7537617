package simwire

import (
	"bufio"
	"encoding/json"
	"fmt"

	"indigousher/brain"
)

// host keeps the live instances; they share nothing.
type host struct{ instances map[string]*instance }

// answer reads one batch, lets each instance handle its part, and writes the reply.
func (h *host) answer(text []byte, w *bufio.Writer) error {
	var in batch
	if err := json.Unmarshal(text, &in); err != nil {
		return fmt.Errorf("malformed batch: %w", err)
	}
	order, notes, err := h.turns(&in)
	if err != nil {
		return err
	}
	out := reply{Number: in.Number, Commands: []map[string]any{}}
	for _, p := range order {
		acts, err := p.handle(in.ClockNs, notes[p])
		if err != nil {
			return err
		}
		out.Commands = append(out.Commands, acts...)
	}
	line, err := json.Marshal(out)
	if err != nil {
		return fmt.Errorf("encode reply: %w", err)
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return w.Flush()
}

// turns turns a batch into notes for each instance, in the order in which the instances appear.
func (h *host) turns(in *batch) ([]*instance, map[*instance][]brain.Note, error) {
	var order []*instance
	notes := map[*instance][]brain.Note{}
	for n, raw := range in.Events {
		var e event
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, nil, fmt.Errorf("malformed event %d: %w", n+1, err)
		}
		if e.Kind == "spawn" {
			h.instances[e.Instance] = newInstance(&e, in.ClockNs)
			order = append(order, h.instances[e.Instance])
			continue
		}
		p := h.instances[e.Instance]
		if p == nil {
			return nil, nil, fmt.Errorf("event %d: %q for unknown instance %q", n+1, e.Kind, e.Instance)
		}
		if e.Kind == "teardown" {
			delete(h.instances, e.Instance)
			continue
		}
		note, err := p.decode(&e)
		if err != nil {
			return nil, nil, fmt.Errorf("event %d: %w", n+1, err)
		}
		if _, seen := notes[p]; !seen && !contains(order, p) {
			order = append(order, p)
		}
		notes[p] = append(notes[p], note)
	}
	live := order[:0]
	for _, p := range order {
		if h.instances[p.name] == p {
			live = append(live, p)
		}
	}
	return live, notes, nil
}

func contains(list []*instance, p *instance) bool {
	for _, q := range list {
		if q == p {
			return true
		}
	}
	return false
}
