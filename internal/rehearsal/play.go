// Package rehearsal runs a scenario on loopback sockets: it starts the testbed and the pilots that the scenario
// defines, injects its faults at their times, and audits the event logs. It is used by the command's rehearsal and
// emulation modes, not by a running pilot.
package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/audit"
	"indigousher/internal/backoff"
	"indigousher/internal/controller"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/loadgen"
)

// Decide creates the decision logic of a pilot from a seed and the pilot's settings.
type Decide func(seed int64, settings map[string]any) controller.Decider

// Play describes one run of a scenario.
type Play struct {
	Scenario *scenario.Scenario
	// Decide creates the decision logic of each pilot. If nil, the planner decides.
	Decide Decide
	// WithoutPilots starts no pilots, so that the proxies use their static tables.
	WithoutPilots bool
	// Log receives the log output of the pilots and the testbed. If nil, it is discarded.
	Log *zap.Logger
	// Progress is called with a message when a fault or a baseline begins. It may be nil for Run, but not for
	// Baselines.
	Progress func(format string, args ...any)
	// Records is the directory for the pilots' records, settings, logs and handover sockets. If empty, a temporary
	// directory is used and removed after the run.
	Records string
	// Binary is the path of the program. If set, each pilot runs as a separate process, and a kill ends it with
	// SIGKILL. Registry, proxies and clients still run in this process. Network cuts between pilots and the registry
	// then have no effect.
	Binary string
}

// Outcome is the result of a run.
type Outcome struct {
	Report        *audit.Report
	EventLog      *eventlog.Log
	PilotMaxima   controller.State  // highest counts of lines, messages and pending sums that any pilot reported
	Elapsed       time.Duration     // real time that the run took
	ZoneByAddress map[string]string // zones of the endpoints
}

// Run runs the scenario and audits it. Everything that it started has stopped when it returns.
func (p Play) Run(ctx context.Context) (*Outcome, error) {
	p.setDefaults()
	began := time.Now()
	s := newEnvironment(p)
	defer s.stopAll()
	if s.Records == "" {
		dir, err := os.MkdirTemp("", "indigousher-records-")
		if err != nil {
			return nil, fmt.Errorf("create record directory: %w", err)
		}
		s.Records = dir
		defer removeTemporary(dir)
	}
	if err := s.startAll(); err != nil { //nolint:contextcheck // stopped by stopAll, not by ctx
		return nil, err
	}
	if err := s.runClientsAndFaults(ctx); err != nil {
		return nil, err
	}
	return s.outcome(began), nil
}

func (p *Play) setDefaults() {
	if p.Progress == nil {
		p.Progress = func(string, ...any) {}
	}
	if p.Log == nil {
		p.Log = zap.NewNop()
	}
}

// removeTemporary removes a temporary directory. Errors are ignored, as the system cleans up temporary files.
func removeTemporary(dir string) { _ = os.RemoveAll(dir) }

// runClientsAndFaults runs the clients and injects the faults. It returns when the clients have finished or ctx is
// cancelled.
func (s *environment) runClientsAndFaults(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var addresses []string
	for _, proxy := range s.proxies {
		addresses = append(addresses, proxy.Address())
	}
	load := loadgen.FromScenario(s.Scenario)

	// Each fault runs in its own goroutine, which returns when the fault ends or ctx is cancelled.
	var faults sync.WaitGroup
	start := time.Now()
	errs := make([]error, len(s.Scenario.Faults))
	for i, fault := range s.Scenario.Faults {
		faults.Go(func() {
			if backoff.Sleep(ctx, time.Until(start.Add(fault.At))) {
				s.rehearsalLog.Add(eventlog.Event{What: eventlog.Note, Text: fault.String()})
				s.Progress("%5.1fs  %s", time.Since(start).Seconds(), fault)
				errs[i] = s.injectFault(ctx, fault)
			}
		})
	}
	loadgen.NewClients(load, s.eventLog.Stream("clients"), addresses).Run(ctx)
	stopped := ctx.Err()
	cancel()
	faults.Wait()
	if stopped != nil {
		return fmt.Errorf("scenario run cancelled: %w", stopped)
	}
	return errors.Join(errs...)
}

// outcome audits the run and returns its result.
func (s *environment) outcome(began time.Time) *Outcome {
	nameByAddress := map[string]string{}
	zoneByAddress := map[string]string{}
	for _, endpoint := range s.endpoints {
		nameByAddress[endpoint.Address()] = endpoint.Name
		zoneByAddress[endpoint.Address()] = endpoint.Zone
	}
	for _, p := range s.pilots {
		if host := p.runningHost(); host != nil {
			s.recordMaxima(host.Daemon())
		}
	}
	s.mu.Lock()
	maxima := s.maxima
	s.mu.Unlock()
	return &Outcome{
		Report:        audit.Check(s.eventLog.Events(), &s.Scenario.Common, nameByAddress),
		EventLog:      s.eventLog,
		PilotMaxima:   maxima,
		Elapsed:       time.Since(began),
		ZoneByAddress: zoneByAddress,
	}
}
