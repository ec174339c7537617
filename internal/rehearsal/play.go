// Package rehearsal plays a day on loopback sockets: it brings up stand-ins and pilots as a day file says, lets the
// timed troubles happen, and has the audit judge the trails. It is no part of what ships beside the command.
package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/audit"
	"indigousher/internal/backoff"
	"indigousher/internal/controller"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/loadgen"
	"indigousher/internal/testbed/network"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/wire"
)

// Decide makes what decides in a pilot.
type Decide func(seed int64, terms map[string]any) controller.Decider

// Play is one playing of a day.
type Play struct {
	Scenario      *scenario.Scenario
	Decide        Decide // nil: the module
	WithoutPilots bool   // no pilots: standing tables only
	Log           *zap.Logger
	Progress      func(format string, args ...any) // progress
	// Records is where pilots record on days that have them do so; a folder that goes with the day if it is empty.
	Records string
	// Binary, if told, is the program: pilots are then processes of their own, which a kill ends with signal 9. Their list,
	// proxies and clients stay here; cuts between a pilot and the list are not played.
	Binary string
}

// Outcome is what a day left.
type Outcome struct {
	Report        *audit.Report
	EventLog      *eventlog.Log
	PilotMaxima   controller.State // the most lines and messages that any pilot counted itself
	Elapsed       time.Duration
	ZoneByAddress map[string]string // of endpoints, by address
}

// Run plays the day and judges it.
func (p Play) Run(ctx context.Context) (*Outcome, error) {
	if p.Progress == nil {
		p.Progress = func(string, ...any) {}
	}
	if p.Log == nil {
		p.Log = zap.NewNop()
	}
	began := time.Now()
	s := &stage{Play: p, eventLog: eventlog.NewLog(), entries: map[string]wire.Entry{},
		isolated: map[string]*atomic.Bool{}, muted: map[string]*atomic.Bool{}, reportFactors: map[string]*atomic.Int64{},
		random: rand.New(rand.NewPCG(uint64(p.Scenario.Seed), 5))}
	s.ownLog = s.eventLog.Stream("rehearsal")
	s.network = network.New(s.eventLog.Stream("links"), uint64(p.Scenario.Seed))
	s.registry = registry.New(s.eventLog.Stream("list"))
	defer s.stopAll()
	if s.Records == "" {
		dir, err := os.MkdirTemp("", "indigousher-records-")
		if err != nil {
			return nil, fmt.Errorf("make folder for records: %w", err)
		}
		s.Records = dir
		defer os.RemoveAll(dir)
	}
	if err := s.startAll(); err != nil {
		return nil, err
	}
	if err := s.play(ctx); err != nil {
		return nil, err
	}
	addresses, zones := map[string]string{}, map[string]string{}
	for _, e := range s.endpoints {
		addresses[e.Address()], zones[e.Address()] = e.Name, e.Zone
	}
	for _, st := range s.pilots {
		st.mu.Lock()
		h := st.host
		st.mu.Unlock()
		if h != nil {
			s.recordMaxima(h.Daemon())
		}
	}
	s.mu.Lock()
	most := s.maxima
	s.mu.Unlock()
	return &Outcome{Report: audit.Check(s.eventLog.Events(), &s.Scenario.Common, addresses), EventLog: s.eventLog, PilotMaxima: most, ZoneByAddress: zones,
		Elapsed: time.Since(began)}, nil
}

// play lets clients ask and troubles happen until the day is over.
func (s *stage) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	load := loadgen.Of(s.Scenario)
	var addresses []string
	for _, p := range s.proxies {
		addresses = append(addresses, p.Address())
	}
	var wg sync.WaitGroup
	start := time.Now()
	errs := make([]error, len(s.Scenario.Faults))
	for i, t := range s.Scenario.Faults {
		wg.Go(func() {
			if backoff.Sleep(ctx, time.Until(start.Add(t.At))) {
				s.ownLog.Add(eventlog.Event{What: eventlog.Note, Text: t.String()})
				s.Progress("%5.1fs  %s", time.Since(start).Seconds(), t)
				errs[i] = s.playFault(ctx, t)
			}
		})
	}
	loadgen.NewClients(load, s.eventLog.Stream("clients"), addresses).Run(ctx)
	asked := ctx.Err()
	cancel()
	wg.Wait()
	if asked != nil {
		return fmt.Errorf("the day was stopped: %w", asked)
	}
	return errors.Join(errs...)
}

// targets returns the names that a trouble strikes.
func (s *stage) targets(t scenario.Fault, names []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.Targets(names, s.random)
}
