package simulator

import (
	"bufio"
	"encoding/json"
	"fmt"

	"indigousher/planner"
)

// host manages the running instances. instances is keyed by name.
type host struct{ instances map[string]*instance }

func newHost() *host { return &host{instances: map[string]*instance{}} }

// instanceBatch holds the events of a batch that are for one instance.
type instanceBatch struct {
	instance *instance
	events   []planner.Event
}

// answer decodes one batch, lets each instance handle its events, and writes the reply.
func (h *host) answer(line []byte, w *bufio.Writer) error {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return fmt.Errorf("malformed batch: %w", err)
	}
	parts, err := h.groupByInstance(&b)
	if err != nil {
		return err
	}
	out := reply{Number: b.Number, Commands: []command{}}
	for _, part := range parts {
		commands, err := part.instance.handle(b.ClockNs, part.events)
		if err != nil {
			return err
		}
		out.Commands = append(out.Commands, commands...)
	}
	return out.write(w)
}

// groupByInstance decodes the events of a batch and groups them by instance, in the order in which the instances first
// appear. It starts and ends instances as the events require. Events of instances that have ended by the end of the
// batch are dropped.
func (h *host) groupByInstance(b *batch) ([]*instanceBatch, error) {
	var order []*instanceBatch
	byInstance := map[*instance]*instanceBatch{}
	batchOf := func(in *instance) *instanceBatch {
		if byInstance[in] == nil {
			byInstance[in] = &instanceBatch{instance: in}
			order = append(order, byInstance[in])
		}
		return byInstance[in]
	}
	for i, raw := range b.Events {
		var e event
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("malformed event %d: %w", i+1, err)
		}
		if e.Kind == eventStart {
			in := newInstance(&e, b.ClockNs)
			h.instances[in.name] = in
			batchOf(in)
			continue
		}
		in := h.instances[e.Instance]
		if in == nil {
			return nil, fmt.Errorf("event %d: %q for unknown instance %q", i+1, e.Kind, e.Instance)
		}
		if e.Kind == eventEnd {
			delete(h.instances, e.Instance)
			continue
		}
		decoded, err := in.decode(&e)
		if err != nil {
			return nil, fmt.Errorf("event %d: %w", i+1, err)
		}
		part := batchOf(in)
		part.events = append(part.events, decoded)
	}
	return h.running(order), nil
}

// running returns those batches whose instances are still running. An instance that was restarted under the same name
// counts as another instance.
func (h *host) running(all []*instanceBatch) []*instanceBatch {
	kept := all[:0]
	for _, part := range all {
		if h.instances[part.instance.name] == part.instance {
			kept = append(kept, part)
		}
	}
	return kept
}

// write writes the reply as one line of JSON and flushes the writer.
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
