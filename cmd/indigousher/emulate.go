package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"indigousher/internal/controller"
	"indigousher/internal/emulator"
	"indigousher/internal/rehearsal"
	"indigousher/internal/scenario"
)

// defaultScenario is played if none is named.
const defaultScenario = "bad-day"

// loadScenario loads the scenario that the arguments name, with another seed unless that is 0.
func loadScenario(args []string, seed int) (*scenario.Scenario, error) {
	name := defaultScenario
	if len(args) > 0 {
		name = args[0]
	}
	s, err := scenario.Load(name)
	if err != nil {
		return nil, err
	}
	if seed != 0 {
		s.Seed = seed
	}
	return s, nil
}

// emulateOptions are the flags of the command.
type emulateOptions struct {
	seed      int    // 0: the scenario's
	log       bool   // show the planner's lines
	traceFile string // "": no trace
}

func emulateCommand() *cobra.Command {
	var o emulateOptions
	c := &cobra.Command{
		Use:   "emulate [DAY]",
		Short: "Play a scenario in virtual time and check the five rules",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return emulate(cmd.Context(), cmd.OutOrStdout(), args, o)
		},
	}
	c.Flags().IntVar(&o.seed, "seed", 0, "another seed than the scenario's")
	c.Flags().StringVar(&o.traceFile, "trace", "",
		"write each decision's spans, from report to applied, to this file (OpenTelemetry, JSON)")
	c.Flags().BoolVar(&o.log, "log", false, "show the planner's log lines")
	return c
}

// emulate plays a scenario, prints what came of it, and returns errViolation if a rule did not hold.
func emulate(ctx context.Context, out io.Writer, args []string, o emulateOptions) error {
	s, err := loadScenario(args, o.seed)
	if err != nil {
		return err
	}
	play := emulator.Play{Scenario: s, Audited: true}
	if o.log {
		play.Log = func(atMs float64, name, text string) { printf(out, "%8.3fs %s %s\n", atMs/1000, name, text) }
	}
	outcome, err := playTraced(ctx, play, o.traceFile)
	if err != nil {
		return err
	}
	most := controller.State{MaxLines: outcome.MaxQueueLines, MaxMessages: outcome.MaxProxyMessages}
	column := rehearsal.Column{Name: "indigousher", Outcome: &rehearsal.Outcome{Report: outcome.Report, PilotMaxima: most}}
	rehearsal.Print(out, s, []rehearsal.Column{column})
	printf(out, "%d events in %.0f ms, of these the pilots' turns %.0f ms; digest %016x\n",
		outcome.ClockEvents, outcome.ElapsedMs,
		outcome.PilotMs, outcome.Digest)
	if !outcome.Report.Kept() {
		return errViolation
	}
	return nil
}

// playTraced plays and writes a trace, if a file is named for it.
func playTraced(ctx context.Context, play emulator.Play, file string) (*emulator.Outcome, error) {
	if file == "" {
		return play.Run(ctx)
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, fmt.Errorf("write trace: %w", err)
	}
	if play.Trace, err = emulator.NewTracer(f); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	outcome, err := play.Run(ctx)
	return outcome, errors.Join(err, play.Trace.Close(ctx), f.Close())
}
