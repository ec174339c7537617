package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"indigousher/internal/rehearsal"
	"indigousher/internal/scenario"
)

// errBroken ends a rehearsal in which a rule did not hold.
var errBroken = errors.New("a rule was broken")

func rehearseCommand() *cobra.Command {
	var list, baselines, processes bool
	var record, records, logLevel string
	var seed int
	c := &cobra.Command{Use: "rehearse [DAY]", Short: "Play a day on loopback and check the five rules (the bad day if none is named)",
		Args: cobra.MaximumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			out := cmd.OutOrStdout()
			if list {
				return listDays(out)
			}
			name := "bad-day"
			if len(args) > 0 {
				name = args[0]
			}
			day, err := scenario.Load(name)
			if err != nil {
				return err
			}
			if seed != 0 {
				day.Seed = seed
			}
			log, _, err := logger("console", logLevel)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%s: %s\n%s, %d proxies, %d pilots\n", day.Name, day.About, day.Length,
				len(day.ProxyZones), len(day.PilotZones))
			play := rehearsal.Play{Scenario: day, Log: log, Progress: func(format string, args ...any) {
				fmt.Fprintf(out, format+"\n", args...)
			}}
			play.Records = records
			if processes {
				if play.Binary, err = os.Executable(); err != nil {
					return err
				}
			}
			var tables []rehearsal.Column
			if baselines {
				if tables, err = rehearsal.Baselines(cmd.Context(), play); err != nil {
					return err
				}
			}
			o, err := play.Run(cmd.Context())
			if err != nil {
				return err
			}
			if record != "" {
				if err := o.EventLog.Save(record); err != nil {
					return err
				}
			}
			rehearsal.Print(out, day, append([]rehearsal.Column{{Name: "indigousher", Outcome: o}}, tables...))
			fmt.Fprintf(out, "played in %s\n", o.Elapsed.Round(time.Millisecond))
			if !o.Report.Kept() {
				return errBroken
			}
			return nil
		}}
	c.Flags().BoolVar(&list, "list", false, "list the days that ship")
	c.Flags().BoolVar(&baselines, "baselines", false, "also play the day with standing tables only, and with one even table")
	c.Flags().StringVar(&record, "record", "", "leave the trails in this folder, as JSON lines")
	c.Flags().StringVar(&logLevel, "log", "error", "level of the pilots' log: debug, info, warn or error")
	c.Flags().StringVar(&records, "pilot-records", "", "where pilots record on days on which they do; gone with the day if not told")
	c.Flags().BoolVar(&processes, "processes", false, "pilots are processes of their own; a kill is signal 9")
	c.Flags().IntVar(&seed, "seed", 0, "another seed than the day's")
	return c
}

func listDays(out io.Writer) error {
	for _, n := range scenario.Names() {
		d, err := scenario.Load(n)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%-20s %4.0fs  %s\n", n, d.Length.Seconds(), d.About)
	}
	return nil
}
