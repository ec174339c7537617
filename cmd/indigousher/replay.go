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

// errDiffers ends a replay that did not order what was recorded.
var errDiffers = errors.New("the replay does not order what was recorded")

func module(seed int64, t map[string]any) controller.Decider { return planner.New(seed, t) }

func replayCommand() *cobra.Command {
	var with, life string
	c := &cobra.Command{Use: "replay DIR", Short: "Replay a pilot's record, against its own terms or others",
		Long: "Against its own terms each turn must order what was recorded; the first difference is shown and ends it with status 1.\n" +
			"Against others (--with) what is ordered stands beside it. The world's answers stay those of the recorded day: each\n" +
			"endpoint is held to fail and to take as it did then. The estimate for the own terms beside what was recorded shows\n" +
			"how good that is; 'trusted' is the part of the tries that went where the record tells of a like load.",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], func(s *record.Store) error { return replay(cmd.OutOrStdout(), s, life, with) })
		}}
	c.Flags().StringVar(&with, "with", "", "a pilot's terms to replay against")
	c.Flags().StringVar(&life, "life", "", "only this life")
	return c
}

func replay(out io.Writer, s *record.Store, only, with string) error {
	lives, err := s.Lives()
	if err != nil {
		return err
	}
	var other map[string]any
	if with != "" {
		t, err := config.ReadPilot(with)
		if err != nil {
			return err
		}
		other = t.PlannerSettings(t.Rank)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "life\tterms\tspan\tturns\tnotes\tgaps\tmessages\tlines\tset\tremoved\tshut out\tlevels\tbinds\tmost waiting\ttables\tfailed\testimated\tmean ms\testimated\ttrusted\ttook")
	differs := false
	for _, l := range lives {
		if only != "" && l.ID != only {
			continue
		}
		if l.Format != record.Format {
			return fmt.Errorf("life %s: format %d: %w", l.ID, l.Format, record.ErrFormat)
		}
		for _, x := range []struct {
			name string
			t    map[string]any
		}{{"own", nil}, {"other", other}} {
			if x.name == "other" && other == nil {
				continue
			}
			began := time.Now()
			r, err := record.Replay(s, l, x.t, module)
			if err != nil {
				return errors.Join(w.Flush(), err)
			}
			fmt.Fprintf(w, "%s\t%s\t%.1f s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%016x\t%.4f\t%.4f\t%.1f\t%.1f\t%.2f\t%s\n", l.ID, x.name, r.SpanMs/1000, r.Turns,
				r.Events, r.Gaps, r.Messages, r.Lines, r.Sets, r.Removals, r.Exclusions, r.Levels, r.Assignments, r.MaxQueuedLines, r.Tables,
				r.Estimate.Recorded, r.Estimate.Failed, r.Estimate.RecordedMs, r.Estimate.MeanMs, r.Estimate.Trusted,
				time.Since(began).Round(time.Millisecond))
			if r.FirstDiff != "" {
				differs = true
				fmt.Fprintf(w, "%s\tdiffers first at %s\n", l.ID, r.FirstDiff)
			}
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if differs {
		return errDiffers
	}
	return nil
}
