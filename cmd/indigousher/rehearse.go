package main

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"indigousher/internal/rehearsal"
	"indigousher/internal/scenario"
)

// errViolation ends a rehearsal in which a rule did not hold.
var errViolation = errors.New("a rule was broken")

// rehearseOptions are the flags of the command.
type rehearseOptions struct {
	baselines bool   // also play with standing tables and with one even table
	processes bool   // controllers are processes of their own
	trails    string // folder for the trails; "": they are not kept
	records   string // folder for the controllers' records; "": one that goes with the scenario
	logLevel  string // of the controllers
	seed      int    // 0: the scenario's
}

func rehearseCommand() *cobra.Command {
	var list bool
	var o rehearseOptions
	c := &cobra.Command{
		Use:   "rehearse [DAY]",
		Short: "Play a scenario on loopback and check the five rules (bad-day if none is named)",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if list {
				return listScenarios(cmd.OutOrStdout())
			}
			return rehearse(cmd.Context(), cmd.OutOrStdout(), args, o)
		},
	}
	c.Flags().BoolVar(&list, "list", false, "list the scenarios that ship")
	c.Flags().BoolVar(&o.baselines, "baselines", false,
		"also play the scenario with static tables only, and with one even table")
	c.Flags().StringVar(&o.trails, "record", "", "leave the event logs in this folder, as JSON lines")
	c.Flags().StringVar(&o.logLevel, "log", "error", "level of the pilots' log: debug, info, warn or error")
	c.Flags().StringVar(&o.records, "pilot-records", "",
		"where pilots keep records in scenarios that have them record; default: a folder removed at the end")
	c.Flags().BoolVar(&o.processes, "processes", false, "pilots are processes of their own; a kill is signal 9")
	c.Flags().IntVar(&o.seed, "seed", 0, "another seed than the scenario's")
	return c
}

// rehearse plays a scenario, prints what came of it, and returns errViolation if a rule did not hold.
func rehearse(ctx context.Context, out io.Writer, args []string, o rehearseOptions) error {
	s, err := loadScenario(args, o.seed)
	if err != nil {
		return err
	}
	play, err := o.play(out, s)
	if err != nil {
		return err
	}
	printf(out, "%s: %s\n%s, %d proxies, %d pilots\n", s.Name, s.About, s.Length, len(s.ProxyZones), len(s.PilotZones))
	var baselines []rehearsal.Column
	if o.baselines {
		if baselines, err = rehearsal.Baselines(ctx, play); err != nil {
			return err
		}
	}
	outcome, err := play.Run(ctx)
	if err != nil {
		return err
	}
	if o.trails != "" {
		if err := outcome.EventLog.Save(o.trails); err != nil {
			return err
		}
	}
	rehearsal.Print(out, s, append([]rehearsal.Column{{Name: "indigousher", Outcome: outcome}}, baselines...))
	printf(out, "played in %s\n", outcome.Elapsed.Round(time.Millisecond))
	if !outcome.Report.Kept() {
		return errViolation
	}
	return nil
}

// play returns how to play a scenario.
func (o rehearseOptions) play(out io.Writer, s *scenario.Scenario) (rehearsal.Play, error) {
	log, _, err := logger("console", o.logLevel)
	if err != nil {
		return rehearsal.Play{}, err
	}
	play := rehearsal.Play{
		Scenario: s,
		Log:      log,
		Records:  o.records,
		Progress: func(format string, args ...any) { printf(out, format+"\n", args...) },
	}
	if o.processes {
		play.Binary, err = os.Executable()
	}
	return play, err
}

// listScenarios prints a line for each scenario that ships.
func listScenarios(out io.Writer) error {
	for _, name := range scenario.Names() {
		s, err := scenario.Load(name)
		if err != nil {
			return err
		}
		printf(out, "%-20s %4.0fs  %s\n", name, s.Length.Seconds(), s.About)
	}
	return nil
}
