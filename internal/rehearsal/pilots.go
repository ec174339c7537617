package rehearsal

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/config"
	"indigousher/internal/daemon"
	"indigousher/internal/identity"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/network"
)

// pilot is a pilot's place; its process may die and come back.
type pilot struct {
	name, zone string
	settings   config.Pilot
	mu         sync.Mutex
	host       *daemon.Host
	cancel     context.CancelFunc
	done       chan struct{}
	process    *process // with Play.Binary
}

func (s *stage) pilotSettings(st *pilot, rank int) config.Pilot {
	t := config.Defaults()
	t.Common, t.Name, t.Zone, t.Rank, t.Seed = s.Scenario.Common, st.name, st.zone, rank, s.Scenario.Seed+rank
	t.Listen, t.Admin, t.ListAddress = net.JoinHostPort(network.Host, "0"), "", s.registry.Address()
	t.Beat, t.WriteDeadline, t.ListSilence = s.Scenario.Beat, s.Scenario.WriteWithin, 2*time.Second
	t.SeenWithin, t.Plain = s.Scenario.DrainGrace/2, true
	if s.Scenario.Keys {
		f, err := s.authority.Issue(s.keyDir, identity.Identity{Role: identity.Pilot, Zone: st.zone, Name: st.name},
			time.Now().Add(-time.Minute), time.Hour)
		if err != nil {
			s.Log.Error("issue keys", zap.Error(err)) // the pilot says so at its start
		}
		t.Plain, t.Keys = false, f
	}
	if slices.ContainsFunc(s.Scenario.Faults, func(x scenario.Fault) bool { return x.What == "handover" }) {
		t.Handover = filepath.Join(s.Records, st.name+".sock")
	}
	if s.Scenario.Record {
		t.RecordDir = filepath.Join(s.Records, st.name)
		if err := os.MkdirAll(t.RecordDir, 0o755); err != nil {
			s.Log.Error("make folder for records", zap.Error(err)) // the pilot says so at its start
		}
	}
	if len(s.Scenario.OverGRPC) > 0 {
		t.GRPC = net.JoinHostPort(network.Host, "0")
	}
	t.IntakeLinesPerS, t.IntakeStanding = s.Scenario.IntakeLinesPerS, s.Scenario.IntakeStanding
	return t
}

// startPilot begins a pilot's process, at the address of the first, or has a new one take over from it.
func (s *stage) startPilot(st *pilot, takeOver bool) error {
	place := network.Place{Name: st.name, Zone: st.zone}
	s.eventLog.Stream(st.name).Add(eventlog.Event{What: eventlog.Start, Kind: "pilot", Text: st.zone})
	if s.Binary != "" {
		return s.startProcess(st, place)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h, err := daemon.Start(ctx, &st.settings, daemon.Options{Log: s.Log.Named(st.name), Dial: s.network.Dialer(place, 2*time.Second),
		Decide: s.Decide}, takeOver)
	if err != nil {
		cancel()
		return fmt.Errorf("start %s: %w", st.name, err)
	}
	done := make(chan struct{})
	st.mu.Lock()
	st.host, st.cancel, st.done = h, cancel, done
	st.settings.Listen = h.Daemon().Address()
	if h.Daemon().GRPCAddress() != "" {
		st.settings.GRPC = h.Daemon().GRPCAddress()
		s.network.Put(st.settings.GRPC, place)
	}
	s.network.Put(st.settings.Listen, place)
	st.mu.Unlock()
	go func() {
		defer close(done)
		if err := h.Wait(ctx); err != nil {
			s.Log.Error("pilot ended", zap.String("pilot", st.name), zap.Error(err))
		}
	}()
	return nil
}

// handOver has a new pilot take over from a seat's.
func (s *stage) handOver(st *pilot) error {
	st.mu.Lock()
	cancel, done := st.cancel, st.done
	st.mu.Unlock()
	if err := s.startPilot(st, true); err != nil {
		return err
	}
	<-done
	cancel()
	return nil
}

// stopPilot ends a pilot's process, by force or by asking.
func (s *stage) stopPilot(st *pilot, force bool) {
	st.mu.Lock()
	h, cancel, done := st.host, st.cancel, st.done
	p := st.process
	st.host, st.process = nil, nil
	st.mu.Unlock()
	if p != nil {
		p.stop(force)
		s.eventLog.Stream(st.name).Add(eventlog.Event{What: eventlog.Stop})
		return
	}
	if h == nil {
		return
	}
	d := h.Daemon()
	if force {
		d.Kill()
	}
	cancel()
	<-done
	s.eventLog.Stream(st.name).Add(eventlog.Event{What: eventlog.Stop})
	s.recordMaxima(d)
}

// recordMaxima keeps the most that any pilot counted itself.
func (s *stage) recordMaxima(d *daemon.Daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := d.State()
	s.maxima.MostLines = max(s.maxima.MostLines, st.MostLines)
	s.maxima.MostMessages = max(s.maxima.MostMessages, st.MostMessages)
	s.maxima.MostStanding = max(s.maxima.MostStanding, st.MostStanding)
}
