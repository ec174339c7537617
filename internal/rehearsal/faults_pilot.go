package rehearsal

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"indigousher/internal/backoff"
	"indigousher/internal/config"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
)

func (s *stage) playPilotFault(ctx context.Context, t scenario.Fault) error {
	var names []string
	for _, st := range s.pilots {
		names = append(names, st.name)
	}
	var struck []*pilot
	for _, n := range s.targets(t, names) {
		struck = append(struck, s.pilots[slices.Index(names, n)])
	}
	switch t.What {
	case "handover": // again and again, each of them in turn
		until := time.Now().Add(t.For)
		for ctx.Err() == nil && time.Now().Before(until) {
			for _, st := range struck {
				if err := s.handOver(st); err != nil {
					return err
				}
				s.ownLog.Add(eventlog.Event{What: eventlog.Note, Peer: st.name, Text: "handed over"})
				backoff.Sleep(ctx, t.Every)
			}
		}
	case "pilot_kill":
		for _, st := range struck {
			s.stopPilot(st, true)
		}
		if !backoff.Sleep(ctx, t.For) {
			return nil
		}
		for _, st := range struck {
			if err := s.startPilot(st, false); err != nil {
				return err
			}
		}
	case "pilot_roll":
		for _, st := range struck {
			s.stopPilot(st, false)
			if !backoff.Sleep(ctx, t.Extra) {
				return nil
			}
			if err := s.startPilot(st, false); err != nil {
				return err
			}
			backoff.Sleep(ctx, t.Every)
		}
	case "reload":
		for _, st := range struck {
			if err := s.reload(ctx, st, t); err != nil {
				return err
			}
		}
	}
	return nil
}

// reload hands a running pilot new terms: a channel of another pace, and a zone list that wants a restart.
func (s *stage) reload(ctx context.Context, st *pilot, t scenario.Fault) error {
	st.mu.Lock()
	h, now := st.host, st.settings
	st.mu.Unlock()
	if h == nil {
		return nil
	}
	d := h.Daemon()
	now.LinesPerS *= t.Size
	now.Kinds = append([]config.RequestClass{}, now.Kinds...)
	now.MaxStreams++
	changed, restart, err := d.Reload(ctx, &now)
	if err != nil {
		return err
	}
	if strings.Join(changed, ",") != "LinesPerS" || strings.Join(restart, ",") != "MaxStreams" {
		return fmt.Errorf("reload of %s changed %v and left %v", st.name, changed, restart)
	}
	return nil
}
