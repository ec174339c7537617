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

// errViolation is returned if a rule was violated in a played scenario.
var errViolation = errors.New("a rule was violated")

// rehearseOptions holds the flags of the rehearse command.
type rehearseOptions struct {
	baselines   bool   // also play the scenario with static tables only, and with one table of equal weights
	processes   bool   // run each controller as a separate process
	eventLogDir string // directory for the event logs; "": they are not saved
	recordDir   string // directory for the controllers' records; "": a temporary one
	logLevel    string // log level of the controllers
	seed        int    // seed that replaces the scenario's own; 0: not replaced
}

// rehearseCommand returns the command that plays a scenario in real time on loopback.
func rehearseCommand() *cobra.Command {
	var list bool
	var o rehearseOptions
	c := &cobra.Command{
		Use:   "rehearse [SCENARIO]",
		Short: "Play a scenario (default: bad-day) on loopback and check the five rules",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if list {
				return listScenarios(cmd.OutOrStdout())
			}
			return rehearse(cmd.Context(), cmd.OutOrStdout(), args, o)
		},
	}
	c.Flags().BoolVar(&list, "list", false, "list the built-in scenarios")
	c.Flags().BoolVar(&o.baselines, "baselines", false,
		"also play the scenario with static tables only, and with one table of equal weights for all proxies")
	c.Flags().StringVar(&o.eventLogDir, "record", "", "save the event logs in this directory, as JSON lines")
	c.Flags().StringVar(&o.logLevel, "log", "error", "log level of the pilots: debug, info, warn or error")
	c.Flags().StringVar(&o.recordDir, "pilot-records", "",
		"directory for the pilots' records, if the scenario enables recording; default: a temporary directory")
	c.Flags().BoolVar(&o.processes, "processes", false,
		"run pilots as separate processes; kills in the scenario are sent as SIGKILL")
	c.Flags().IntVar(&o.seed, "seed", 0, "seed that replaces the scenario's; 0: the scenario's")
	return c
}

// rehearse plays a scenario on loopback and prints the results. It returns errViolation if a rule was violated.
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
	if o.eventLogDir != "" {
		if err := outcome.EventLog.Save(o.eventLogDir); err != nil {
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

// play returns the options for playing a scenario. Its progress messages are written to out.
func (o rehearseOptions) play(out io.Writer, s *scenario.Scenario) (rehearsal.Play, error) {
	log, _, err := newLogger("console", o.logLevel)
	if err != nil {
		return rehearsal.Play{}, err
	}
	play := rehearsal.Play{
		Scenario: s,
		Log:      log,
		Records:  o.recordDir,
		Progress: func(format string, args ...any) { printf(out, format+"\n", args...) },
	}
	if o.processes {
		play.Binary, err = os.Executable()
	}
	return play, err
}

// listScenarios prints the name, length in seconds and description of each built-in scenario.
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
