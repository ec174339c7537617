package main

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/planner"
)

// errDiffers is returned if a replay produced other commands than those recorded.
var errDiffers = errors.New("the commands of the replay differ from the recorded ones")

// newPlanner creates the production planner.
func newPlanner(seed int64, settings map[string]any) controller.Decider {
	return planner.New(seed, settings)
}

// replayCommand returns the command that replays a record.
func replayCommand() *cobra.Command {
	var with, life string
	c := &cobra.Command{
		Use:   "replay DIR",
		Short: "Replay a pilot's record with its own or with other settings",
		Long: "With the recorded settings, each turn must produce the recorded commands; the first difference is printed and the exit\n" +
			"status is 1. With other settings (--with), the results of both are printed. The estimates assume that each endpoint fails\n" +
			"as often and responds as fast as recorded; compare the estimates for the recorded settings with the recorded values to judge\n" +
			"their accuracy. 'trusted' is the fraction of attempts for which the record contains a similar load of the endpoint.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], func(s *record.Store) error { return replay(cmd.OutOrStdout(), s, life, with) })
		},
	}
	c.Flags().StringVar(&with, "with", "", "settings file of a pilot, to replay with these settings too")
	c.Flags().StringVar(&life, "life", "", "replay only the life with this ID")
	return c
}

// replay replays the lives in a store and prints a row for each. If only is not "", it replays just the life with that
// ID. If with is not "", it replays each life a second time with the settings in that file. It returns errDiffers if a
// replay with the recorded settings produced other commands than those recorded.
func replay(out io.Writer, s *record.Store, only, with string) error {
	lives, err := s.Lives()
	if err != nil {
		return err
	}
	other, err := otherSettings(with)
	if err != nil {
		return err
	}
	t := newReplayTable(out, s)
	for _, life := range lives {
		if only != "" && life.ID != only {
			continue
		}
		if life.Format != record.Format {
			return fmt.Errorf("life %s has record format %d: %w", life.ID, life.Format, record.ErrFormat)
		}
		if err := t.replayLife(life, other); err != nil {
			return errors.Join(t.Flush(), err)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if t.differs {
		return errDiffers
	}
	return nil
}

// otherSettings reads a pilot's settings file and returns the planner settings in it. It returns nil if file is "".
func otherSettings(file string) (map[string]any, error) {
	if file == "" {
		return nil, nil
	}
	cfg, err := config.ReadPilot(file)
	if err != nil {
		return nil, err
	}
	return cfg.PlannerSettings(cfg.Rank), nil
}

// replayTable prints the results of replays.
type replayTable struct {
	*tabwriter.Writer
	store   *record.Store
	differs bool // whether a replay produced other commands than those recorded
}

// newReplayTable returns a table that is printed to out, with its header row.
func newReplayTable(out io.Writer, s *record.Store) *replayTable {
	t := &replayTable{Writer: tabwriter.NewWriter(out, 0, 4, 2, ' ', 0), store: s}
	printf(t, "life\tsettings\tspan\tturns\tevents\tgaps\tmessages\tlines\tset\tremoved\texcluded\tlevels\tassigned\tmost queued\t"+
		"tables\tfailed\testimated\tmean ms\testimated\ttrusted\ttook\n")
	return t
}

// replayLife replays a life with its recorded settings and, if other is not nil, with those planner settings too.
func (t *replayTable) replayLife(life record.Life, other map[string]any) error {
	if err := t.replayWith(life, "own", nil); err != nil {
		return err
	}
	if other == nil {
		return nil
	}
	return t.replayWith(life, "other", other)
}

// replayWith replays a life and adds a row with the results. Nil settings are the recorded ones; name is the text in
// the column "settings".
func (t *replayTable) replayWith(life record.Life, name string, settings map[string]any) error {
	began := time.Now()
	r, err := record.Replay(t.store, life, settings, newPlanner)
	if err != nil {
		return err
	}
	printf(t, "%s\t%s\t%.1f s\t", life.ID, name, r.SpanMs/1000)
	printf(t, "%d\t%d\t%d\t%d\t%d\t", r.Turns, r.Events, r.Gaps, r.Messages, r.Lines)
	printf(t, "%d\t%d\t%d\t%d\t%d\t", r.Sets, r.Removals, r.Exclusions, r.ReducedAdmissions, r.Assignments)
	printf(t, "%d\t%016x\t", r.MaxQueuedLines, r.MessagesDigest)
	e := r.Estimate
	printf(t, "%.4f\t%.4f\t%.1f\t%.1f\t%.2f\t", e.Recorded, e.Failed, e.RecordedMs, e.MeanMs, e.Trusted)
	printf(t, "%s\n", time.Since(began).Round(time.Millisecond))
	if r.FirstDiff != "" {
		t.differs = true
		printf(t, "%s\tdiffers first at %s\n", life.ID, r.FirstDiff)
	}
	return nil
}
