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

// errDiffers ends a replay that did not command what was recorded.
var errDiffers = errors.New("the replay does not order what was recorded")

// newPlanner makes the planner that ships.
func newPlanner(seed int64, settings map[string]any) controller.Decider {
	return planner.New(seed, settings)
}

func replayCommand() *cobra.Command {
	var with, life string
	c := &cobra.Command{
		Use:   "replay DIR",
		Short: "Replay a pilot's record, against its own settings or others",
		Long: "Against its own settings each turn must command what was recorded; the first difference is shown and ends it with status 1.\n" +
			"Against others (--with) what is commanded is shown beside it. The world's answers stay those of the recorded run: each\n" +
			"endpoint is held to fail and to take as it did then. The estimate for the own settings beside what was recorded shows\n" +
			"how good that is; 'trusted' is the part of the tries that went where the record tells of a like load.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], func(s *record.Store) error { return replay(cmd.OutOrStdout(), s, life, with) })
		},
	}
	c.Flags().StringVar(&with, "with", "", "a pilot's settings to replay against")
	c.Flags().StringVar(&life, "life", "", "only this life")
	return c
}

// replay replays all lives, or only one, and prints a row for each; with another configuration a second one.
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
			return fmt.Errorf("life %s: format %d: %w", life.ID, life.Format, record.ErrFormat)
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

// otherSettings returns the planner's settings of a configuration; nil without one.
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
	differs bool // a replay commanded otherwise than the record
}

func newReplayTable(out io.Writer, s *record.Store) *replayTable {
	t := &replayTable{Writer: tabwriter.NewWriter(out, 0, 4, 2, ' ', 0), store: s}
	printf(t, "life\tsettings\tspan\tturns\tevents\tgaps\tmessages\tlines\tset\tremoved\texcluded\tlevels\tassigned\tmost queued\t"+
		"tables\tfailed\testimated\tmean ms\testimated\ttrusted\ttook\n")
	return t
}

// replayLife replays a life with its own settings and, if there are others, with them.
func (t *replayTable) replayLife(life record.Life, other map[string]any) error {
	if err := t.replayWith(life, "own", nil); err != nil {
		return err
	}
	if other == nil {
		return nil
	}
	return t.replayWith(life, "other", other)
}

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
