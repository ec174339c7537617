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

// defaultScenario is the scenario to play if the command line names none.
const defaultScenario = "bad-day"

// loadScenario loads the scenario named by the first argument, or defaultScenario. A seed other than 0 replaces the
// scenario's own seed.
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

// emulateOptions holds the flags of the emulate command.
type emulateOptions struct {
	seed      int    // seed that replaces the scenario's own; 0: not replaced
	log       bool   // whether to print the planner's log lines
	traceFile string // output file for a trace; "": none is written
}

// emulateCommand returns the command that plays a scenario in virtual time.
func emulateCommand() *cobra.Command {
	var o emulateOptions
	c := &cobra.Command{
		Use:   "emulate [SCENARIO]",
		Short: "Play a scenario in virtual time and check the five rules",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return emulate(cmd.Context(), cmd.OutOrStdout(), args, o)
		},
	}
	c.Flags().IntVar(&o.seed, "seed", 0, "seed that replaces the scenario's; 0: the scenario's")
	c.Flags().StringVar(&o.traceFile, "trace", "",
		"write a trace of each decision, from load report to applied change, to this file (OpenTelemetry, JSON)")
	c.Flags().BoolVar(&o.log, "log", false, "print the planner's log lines")
	return c
}

// emulate plays a scenario in virtual time and prints the results. It returns errViolation if a rule was violated.
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

// playTraced plays a scenario and writes a trace to file. If file is "", no trace is written.
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
