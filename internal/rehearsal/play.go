// Package rehearsal plays a scenario on loopback sockets: it starts testbed and pilots as the scenario says, plays its
// faults at their times, and has the audit judge the event logs. It is no part of what ships beside the command.
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

// Decide makes what decides in a pilot.
type Decide func(seed int64, settings map[string]any) controller.Decider

// Play is one run of a scenario.
type Play struct {
	Scenario *scenario.Scenario
	// Decide makes what decides in a pilot; nil: the planner.
	Decide Decide
	// WithoutPilots leaves the proxies on their static tables.
	WithoutPilots bool
	// Log takes the log lines of pilots and testbed; nil: they are dropped.
	Log *zap.Logger
	// Progress is called when a fault begins; may be nil.
	Progress func(format string, args ...any)
	// Records is the folder for the pilots' records in scenarios that have them record; if empty, a temporary folder
	// that is removed after the run.
	Records string
	// Binary, if set, is the program: pilots then are processes of their own, and a kill ends them with SIGKILL.
	// Registry, proxies and clients stay in this process; cuts between a pilot and the registry are not played.
	Binary string
}

// Outcome is the result of a run.
type Outcome struct {
	Report        *audit.Report
	EventLog      *eventlog.Log
	PilotMaxima   controller.State // the most lines and messages that any pilot counted itself
	Elapsed       time.Duration
	ZoneByAddress map[string]string // of endpoints
}

// Run plays the scenario and judges it. All that it started has ended when it returns.
func (p Play) Run(ctx context.Context) (*Outcome, error) {
	p.setDefaults()
	began := time.Now()
	s := newStage(p)
	defer s.stopAll()
	if s.Records == "" {
		dir, err := os.MkdirTemp("", "indigousher-records-")
		if err != nil {
			return nil, fmt.Errorf("make folder for records: %w", err)
		}
		s.Records = dir
		defer removeTemporary(dir)
	}
	if err := s.startAll(); err != nil { //nolint:contextcheck // ends in stopAll, not with ctx
		return nil, err
	}
	if err := s.play(ctx); err != nil {
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

// removeTemporary removes a temporary folder. What can't be removed is left to the system.
func removeTemporary(dir string) { _ = os.RemoveAll(dir) }

// play runs the clients and the faults until the clients are through.
func (s *stage) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var addresses []string
	for _, proxy := range s.proxies {
		addresses = append(addresses, proxy.Address())
	}
	load := loadgen.FromScenario(s.Scenario)

	// Each fault has a goroutine of its own, which ends with the fault or with ctx.
	var faults sync.WaitGroup
	start := time.Now()
	errs := make([]error, len(s.Scenario.Faults))
	for i, fault := range s.Scenario.Faults {
		faults.Go(func() {
			if backoff.Sleep(ctx, time.Until(start.Add(fault.At))) {
				s.ownLog.Add(eventlog.Event{What: eventlog.Note, Text: fault.String()})
				s.Progress("%5.1fs  %s", time.Since(start).Seconds(), fault)
				errs[i] = s.playFault(ctx, fault)
			}
		})
	}
	loadgen.NewClients(load, s.eventLog.Stream("clients"), addresses).Run(ctx)
	stopped := ctx.Err()
	cancel()
	faults.Wait()
	if stopped != nil {
		return fmt.Errorf("the day was stopped: %w", stopped)
	}
	return errors.Join(errs...)
}

// outcome judges the run.
func (s *stage) outcome(began time.Time) *Outcome {
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
