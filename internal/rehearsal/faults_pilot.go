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

// faultPilots draws the pilots that a fault strikes.
func (s *stage) faultPilots(fault scenario.Fault) []*pilot {
	var names []string
	for _, p := range s.pilots {
		names = append(names, p.name)
	}
	var struck []*pilot
	for _, name := range s.targets(fault, names) {
		struck = append(struck, s.pilots[slices.Index(names, name)])
	}
	return struck
}

// handOverPilots has new processes take over from the pilots, one pilot after another, until the fault ends.
func (s *stage) handOverPilots(ctx context.Context, fault scenario.Fault) error {
	struck := s.faultPilots(fault)
	until := time.Now().Add(fault.Duration)
	for ctx.Err() == nil && time.Now().Before(until) {
		for _, p := range struck {
			if err := s.handOver(p); err != nil { //nolint:contextcheck // ends in stopAll, not with the fault
				return err
			}
			s.ownLog.Add(eventlog.Event{What: eventlog.Note, Peer: p.name, Text: "handed over"})
			backoff.Sleep(ctx, fault.Interval)
		}
	}
	return nil
}

func (s *stage) killPilots(ctx context.Context, fault scenario.Fault) error {
	struck := s.faultPilots(fault)
	for _, p := range struck {
		s.stopPilot(p, true)
	}
	if !backoff.Sleep(ctx, fault.Duration) {
		return nil
	}
	for _, p := range struck {
		if err := s.startPilot(p, false); err != nil { //nolint:contextcheck // ends in stopAll, not with the fault
			return err
		}
	}
	return nil
}

// rollPilots restarts pilots one after another.
func (s *stage) rollPilots(ctx context.Context, fault scenario.Fault) error {
	for _, p := range s.faultPilots(fault) {
		s.stopPilot(p, false)
		if !backoff.Sleep(ctx, fault.ExtraDelay) {
			return nil
		}
		if err := s.startPilot(p, false); err != nil { //nolint:contextcheck // ends in stopAll, not with the fault
			return err
		}
		backoff.Sleep(ctx, fault.Interval)
	}
	return nil
}

func (s *stage) reloadPilots(ctx context.Context, fault scenario.Fault) error {
	for _, p := range s.faultPilots(fault) {
		if err := s.reload(ctx, p, fault.Size); err != nil {
			return err
		}
	}
	return nil
}

// reload hands a running pilot new settings: the rate of its channel changed by a factor, which applies at once, and a
// number of streams that needs a restart. It returns an error where the pilot says otherwise.
func (s *stage) reload(ctx context.Context, p *pilot, factor float64) error {
	p.mu.Lock()
	host := p.host
	settings := p.settings
	p.mu.Unlock()
	if host == nil {
		return nil
	}
	settings.LinesPerS *= factor
	settings.Kinds = append([]config.RequestClass{}, settings.Kinds...)
	settings.MaxStreams++
	changed, restart, err := host.Daemon().Reload(ctx, &settings)
	if err != nil {
		return err
	}
	if strings.Join(changed, ",") != "LinesPerS" || strings.Join(restart, ",") != "MaxStreams" {
		return fmt.Errorf("reload of %s changed %v and left %v", p.name, changed, restart)
	}
	return nil
}
