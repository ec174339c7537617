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

// faultPilots draws the pilots that a fault affects.
func (s *environment) faultPilots(fault scenario.Fault) []*pilot {
	var names []string
	for _, p := range s.pilots {
		names = append(names, p.name)
	}
	var affected []*pilot
	for _, name := range s.targets(fault, names) {
		affected = append(affected, s.pilots[slices.Index(names, name)])
	}
	return affected
}

// handOverPilots repeatedly replaces the pilots by handover, one after another, until the fault ends.
func (s *environment) handOverPilots(ctx context.Context, fault scenario.Fault) error {
	affected := s.faultPilots(fault)
	until := time.Now().Add(fault.Duration)
	for ctx.Err() == nil && time.Now().Before(until) {
		for _, p := range affected {
			if err := s.handOver(p); err != nil { //nolint:contextcheck // stopped by stopAll, not by ctx
				return err
			}
			s.rehearsalLog.Add(eventlog.Event{What: eventlog.Note, Peer: p.name, Text: "handed over"})
			backoff.Sleep(ctx, fault.Interval)
		}
	}
	return nil
}

func (s *environment) killPilots(ctx context.Context, fault scenario.Fault) error {
	affected := s.faultPilots(fault)
	for _, p := range affected {
		s.stopPilot(p, true)
	}
	if !backoff.Sleep(ctx, fault.Duration) {
		return nil
	}
	for _, p := range affected {
		if err := s.startPilot(p, false); err != nil { //nolint:contextcheck // stopped by stopAll, not by ctx
			return err
		}
	}
	return nil
}

// rollPilots stops and restarts pilots one after another.
func (s *environment) rollPilots(ctx context.Context, fault scenario.Fault) error {
	for _, p := range s.faultPilots(fault) {
		s.stopPilot(p, false)
		if !backoff.Sleep(ctx, fault.ExtraDelay) {
			return nil
		}
		if err := s.startPilot(p, false); err != nil { //nolint:contextcheck // stopped by stopAll, not by ctx
			return err
		}
		backoff.Sleep(ctx, fault.Interval)
	}
	return nil
}

func (s *environment) reloadPilots(ctx context.Context, fault scenario.Fault) error {
	for _, p := range s.faultPilots(fault) {
		if err := s.reload(ctx, p, fault.Size); err != nil {
			return err
		}
	}
	return nil
}

// reload reloads a running pilot with changed settings: LinesPerS multiplied by a factor, which takes effect at once,
// and one more in MaxStreams, which needs a restart. It returns an error if the pilot reports other changes. A pilot
// that does not run is skipped.
func (s *environment) reload(ctx context.Context, p *pilot, factor float64) error {
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
	changed, restart, err := host.Reload(ctx, &settings)
	if err != nil {
		return err
	}
	if strings.Join(changed, ",") != "LinesPerS" || strings.Join(restart, ",") != "MaxStreams" {
		return fmt.Errorf("reload of %s: applied %v and deferred %v to a restart, want [LinesPerS] and [MaxStreams]",
			p.name, changed, restart)
	}
	return nil
}
