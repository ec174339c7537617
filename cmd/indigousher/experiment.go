package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"indigousher/internal/controller"
	"indigousher/internal/emulator"
	"indigousher/internal/experiment"
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
				PilotMaxima: controller.State{MostLines: o.MaxQueueLines, MostMessages: o.MaxProxyMessages}}}})
			fmt.Fprintf(out, "%d events in %.0f ms, of these the pilots' turns %.0f ms; digest %016x\n", o.ClockEvents, o.ElapsedMs, o.PilotMs, o.Digest)
			if !o.Report.Kept() {
				return errBroken
			}
			return nil
		}}
	c.Flags().IntVar(&seed, "seed", 0, "another seed than the day's")
	c.Flags().StringVar(&traceFile, "trace", "", "write each decision's spans, from report to applied, to this file (OpenTelemetry, JSON)")
	c.Flags().BoolVar(&log, "log", false, "show the module's lines")
	return c
}

func experimentCommand() *cobra.Command {
	var store, html string
	c := &cobra.Command{Use: "experiment FILE", Short: "Play emulated days with factors varied, beside baselines; keep results as tables and charts",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			plan, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			program, err := experiment.Program()
			if err != nil {
				return err
			}
			base := strings.TrimSuffix(args[0], ".hcl")
			if store == "" {
				store = base + ".db"
			}
			if html == "" {
				html = base + ".html"
			}
			debug.SetGCPercent(400) // runs make much that soon goes; memory is there
			r := experiment.Runner{Plan: plan, Store: store, Program: program, Progress: func(done, all int) {
				fmt.Fprintf(cmd.ErrOrStderr(), "\r%d of %d runs", done, all)
			}}
			t, err := r.Run(cmd.Context())
			fmt.Fprintln(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			if err := t.Print(cmd.OutOrStdout()); err != nil {
				return err
			}
			f, err := os.Create(html)
			if err != nil {
				return fmt.Errorf("write report: %w", err)
			}
			return errors.Join(t.Report(f), f.Close())
		}}
	c.Flags().StringVar(&store, "store", "", "file of results; FILE with .db if not told")
	c.Flags().StringVar(&html, "html", "", "report; FILE with .html if not told")
	return c
}
