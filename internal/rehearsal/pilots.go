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
	// listSilence is the time without messages after which a pilot considers its connection to the registry lost.
	listSilence = 2 * time.Second
	// pilotDialTimeout is the timeout for connections that a pilot opens.
	pilotDialTimeout = 2 * time.Second
	// recordFolderMode is the file mode of the directories that hold the pilots' records.
	recordFolderMode = 0o755
)

// pilot is a pilot of the run. It can be stopped and started again.
type pilot struct {
	name, zone string

	mu       sync.Mutex // guards the fields below
	settings config.Pilot
	host     *daemon.Host       // nil while it does not run, or if it runs as a separate process
	cancel   context.CancelFunc // stops the host
	done     chan struct{}      // closed when the host has stopped
	process  *process           // used instead of host if Play.Binary is set; nil while it does not run
}

// runningHost returns the pilot's host, or nil if it does not run inside this process.
func (p *pilot) runningHost() *daemon.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.host
}

// pilotSettings returns the settings of a pilot that follow from the scenario. The rank is the pilot's index.
func (s *environment) pilotSettings(p *pilot, rank int) config.Pilot {
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

// pilotKeys issues the key files of a pilot. An error is only logged, because the pilot then fails to start.
func (s *environment) pilotKeys(p *pilot) identity.Files {
	files, err := s.issueFiles(identity.Identity{Role: identity.Pilot, Zone: p.zone, Name: p.name})
	if err != nil {
		s.Log.Error("cannot issue the pilot's keys", zap.Error(err))
	}
	return files
}

// recordFolder creates the directory for a pilot's records and returns its path. An error is only logged, because the
// pilot then fails to start.
func (s *environment) recordFolder(p *pilot) string {
	dir := filepath.Join(s.Records, p.name)
	if err := os.MkdirAll(dir, recordFolderMode); err != nil {
		s.Log.Error("cannot create the pilot's record directory", zap.Error(err))
	}
	return dir
}

// startPilot starts a pilot, at the same address each time. If takeOver is set, the new instance takes over from the
// running one. The pilot runs until stopPilot or until a later instance takes over.
func (s *environment) startPilot(p *pilot, takeOver bool) error {
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
	go func() { // returns when the host stops: by cancel, a kill or a handover
		defer close(done)
		if err := host.Wait(ctx); err != nil {
			s.Log.Error("pilot stopped with an error", zap.String("pilot", p.name), zap.Error(err))
		}
	}()
	return nil
}

// handOver starts a new instance of a pilot that takes over from the running one, and waits until the old one has
// stopped.
func (s *environment) handOver(p *pilot) error {
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

// stopPilot stops a pilot and waits until it has stopped. If kill is set, it stops at once, otherwise gracefully. It
// does nothing if the pilot does not run.
func (s *environment) stopPilot(p *pilot, kill bool) {
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

// recordMaxima updates the run's maxima from the counters of a pilot.
func (s *environment) recordMaxima(d *daemon.Daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := d.State()
	s.maxima.MaxLines = max(s.maxima.MaxLines, state.MaxLines)
	s.maxima.MaxMessages = max(s.maxima.MaxMessages, state.MaxMessages)
	s.maxima.MaxPendingSums = max(s.maxima.MaxPendingSums, state.MaxPendingSums)
}
