package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"indigousher/internal/controller"
	"indigousher/internal/emulator"
	"indigousher/internal/rehearsal"
	"indigousher/internal/scenario"
)

func emulateCommand() *cobra.Command {
	var seed int
	var log bool
	var traceFile string
	c := &cobra.Command{Use: "emulate [DAY]", Short: "Play a day in virtual time and check the five rules",
		Args: cobra.MaximumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			out, name := cmd.OutOrStdout(), "bad-day"
			if len(args) > 0 {
				name = args[0]
			}
			d, err := scenario.Load(name)
			if err != nil {
				return err
			}
			if seed != 0 {
				d.Seed = seed
			}
			play := emulator.Play{Scenario: d, Audited: true}
			if log {
				play.Log = func(at float64, pilot, text string) { fmt.Fprintf(out, "%8.3fs %s %s\n", at/1000, pilot, text) }
			}
			closing := func() error { return nil }
			if traceFile != "" {
				f, err := os.Create(traceFile)
				if err != nil {
					return fmt.Errorf("write trace: %w", err)
				}
				if play.Trace, err = emulator.NewTracer(f); err != nil {
					return errors.Join(err, f.Close())
				}
				closing = func() error { return errors.Join(play.Trace.Close(cmd.Context()), f.Close()) }
			}
			o, err := play.Run(cmd.Context())
			err = errors.Join(err, closing())
			if err != nil {
				return err
			}
			rehearsal.Print(out, d, []rehearsal.Column{{Name: "indigousher", Outcome: &rehearsal.Outcome{Report: o.Report,
				Most: controller.State{MostLines: o.MostLines, MostMessages: o.Crowded}}}})
			fmt.Fprintf(out, "%d events in %.0f ms, of these the pilots' turns %.0f ms; digest %016x\n", o.Done, o.TookMs, o.PilotMs, o.Digest)
			if !o.Report.Kept() {
				return errViolation
			}
			return nil
		}}
	c.Flags().IntVar(&seed, "seed", 0, "another seed than the day's")
	c.Flags().StringVar(&traceFile, "trace", "", "write each decision's spans, from report to applied, to this file (OpenTelemetry, JSON)")
	c.Flags().BoolVar(&log, "log", false, "show the module's lines")
	return c
}
