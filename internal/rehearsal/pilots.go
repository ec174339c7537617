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

const (
	// listSilence is after how long a pilot takes a silent endpoint list for lost.
	listSilence = 2 * time.Second
	// pilotDialTimeout is how long a pilot waits for a connection.
	pilotDialTimeout = 2 * time.Second
	// recordFolderMode is the mode of the folders of records.
	recordFolderMode = 0o755
)

// pilot is a pilot; its process can end and come back.
type pilot struct {
	name, zone string

	mu       sync.Mutex // guards the rest
	settings config.Pilot
	host     *daemon.Host       // nil while it does not run
	cancel   context.CancelFunc // ends the host
	done     chan struct{}      // closed when the host has ended
	process  *process           // with Play.Binary, in place of the host
}

// runningHost returns the pilot's host, nil while it does not run in this process.
func (p *pilot) runningHost() *daemon.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.host
}

// pilotSettings returns the settings of a pilot as the scenario has them.
func (s *stage) pilotSettings(p *pilot, rank int) config.Pilot {
	settings := config.Defaults()
	settings.Common = s.Scenario.Common
	settings.Name = p.name
	settings.Zone = p.zone
	settings.Rank = rank
	settings.Seed = s.Scenario.Seed + rank
	settings.Listen = net.JoinHostPort(network.Host, "0")
	settings.Admin = ""
	settings.ListAddress = s.registry.Address()
	settings.Beat = s.Scenario.HeartbeatInterval
	settings.WriteDeadline = s.Scenario.WriteTimeout
	settings.ListSilence = listSilence
	settings.SeenWithin = s.Scenario.DrainGrace / 2
	settings.IntakeLinesPerS = s.Scenario.IntakeLinesPerS
	settings.IntakeStanding = s.Scenario.IntakeStanding
	settings.Plain = !s.Scenario.Keys
	if s.Scenario.Keys {
		settings.Keys = s.pilotKeys(p)
	}
	if slices.ContainsFunc(s.Scenario.Faults, func(f scenario.Fault) bool { return f.Type == faultHandover }) {
		settings.Handover = filepath.Join(s.Records, p.name+".sock")
	}
	if s.Scenario.Record {
		settings.RecordDir = s.recordFolder(p)
	}
	if len(s.Scenario.OverGRPC) > 0 {
		settings.GRPC = net.JoinHostPort(network.Host, "0")
	}
	return settings
}

// pilotKeys issues the keys of a pilot. One that has none says so at its start.
func (s *stage) pilotKeys(p *pilot) identity.Files {
	files, err := s.issueFiles(identity.Identity{Role: identity.Pilot, Zone: p.zone, Name: p.name})
	if err != nil {
		s.Log.Error("issue keys", zap.Error(err))
	}
	return files
}

// recordFolder makes the folder of a pilot's records. A pilot whose folder is missing says so at its start.
func (s *stage) recordFolder(p *pilot) string {
	dir := filepath.Join(s.Records, p.name)
	if err := os.MkdirAll(dir, recordFolderMode); err != nil {
		s.Log.Error("make folder for records", zap.Error(err))
	}
	return dir
}

// startPilot begins a pilot's process, at the address of its first one, or has a new one take over from the running
// one. It ends in stopPilot or by a handover.
func (s *stage) startPilot(p *pilot, takeOver bool) error {
	place := network.Place{Name: p.name, Zone: p.zone}
	s.eventLog.Stream(p.name).Add(eventlog.Event{What: eventlog.Start, Kind: "pilot", Text: p.zone})
	if s.Binary != "" {
		return s.startProcess(p, place)
	}
	ctx, cancel := context.WithCancel(context.Background())
	options := daemon.Options{
		Log:        s.Log.Named(p.name),
		Dial:       s.network.Dialer(place, pilotDialTimeout),
		NewPlanner: s.Decide,
	}
	host, err := daemon.Start(ctx, &p.settings, options, takeOver)
	if err != nil {
		cancel()
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.host = host
	p.cancel = cancel
	p.done = done
	p.settings.Listen = host.Daemon().Address()
	s.network.Put(p.settings.Listen, place)
	if address := host.Daemon().GRPCAddress(); address != "" {
		p.settings.GRPC = address
		s.network.Put(address, place)
	}
	p.mu.Unlock()
	go func() { // ends with the host: by cancel, a kill or a handover
		defer close(done)
		if err := host.Wait(ctx); err != nil {
			s.Log.Error("pilot ended", zap.String("pilot", p.name), zap.Error(err))
		}
	}()
	return nil
}

// handOver has a new process of a pilot take over, and waits for the end of the old one.
func (s *stage) handOver(p *pilot) error {
	p.mu.Lock()
	cancel := p.cancel
	done := p.done
	p.mu.Unlock()
	if err := s.startPilot(p, true); err != nil {
		return err
	}
	<-done
	cancel()
	return nil
}

// stopPilot ends a pilot's process, by a kill or by asking, and waits for its end.
func (s *stage) stopPilot(p *pilot, kill bool) {
	p.mu.Lock()
	host := p.host
	cancel := p.cancel
	done := p.done
	process := p.process
	p.host = nil
	p.process = nil
	p.mu.Unlock()
	if process != nil {
		process.stop(kill)
		s.eventLog.Stream(p.name).Add(eventlog.Event{What: eventlog.Stop})
		return
	}
	if host == nil {
		return
	}
	stopped := host.Daemon()
	if kill {
		stopped.Kill()
	}
	cancel()
	<-done
	s.eventLog.Stream(p.name).Add(eventlog.Event{What: eventlog.Stop})
	s.recordMaxima(stopped)
}

// recordMaxima keeps the most that any pilot counted itself.
func (s *stage) recordMaxima(d *daemon.Daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := d.State()
	s.maxima.MaxLines = max(s.maxima.MaxLines, state.MaxLines)
	s.maxima.MaxMessages = max(s.maxima.MaxMessages, state.MaxMessages)
	s.maxima.MaxPendingSums = max(s.maxima.MaxPendingSums, state.MaxPendingSums)
}
