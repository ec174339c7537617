package main

import (
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/daemon"
	"indigousher/internal/record"
	"indigousher/planner"
)

// errDiffers ends a replay that did not order what was recorded.
var errDiffers = errors.New("the replay does not order what was recorded")

func module(seed int64, t map[string]any) controller.Decider { return planner.New(seed, t) }

// withStore opens a store for reading and closes it after use.
func withStore(dir string, f func(*record.Store) error) error {
	s, err := daemon.OpenRecords(dir)
	if err != nil {
		return err
	}
	return errors.Join(f(s), s.Close())
}

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

func recordsCommand() *cobra.Command {
	c := &cobra.Command{Use: "records", Short: "Look after a pilot's records"}
	var format string
	var keep time.Duration
	var mostMB float64
	export := &cobra.Command{Use: "export DIR LIFE", Short: "Write a life's turns to standard output, as JSON lines or CSV",
		Args: cobra.ExactArgs(2), RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], func(s *record.Store) error { return exportLife(cmd.OutOrStdout(), s, args[1], format) })
		}}
	export.Flags().StringVar(&format, "as", "json", "json or csv")
	prune := &cobra.Command{Use: "prune DIR", Short: "Drop the oldest segments; no pilot may have the record open",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := os.Stat(args[0]); err != nil {
				return err
			}
			s, err := record.Open(args[0], false)
			if err != nil {
				return err
			}
			n, err := s.Prune(record.Limits{Bytes: int64(mostMB * (1 << 20)), Age: keep}, time.Now())
			fmt.Fprintf(cmd.OutOrStdout(), "%d segments dropped\n", n)
			return errors.Join(err, s.Close())
		}}
	prune.Flags().DurationVar(&keep, "keep", 0, "drop what is older; 0: nothing for its age")
	prune.Flags().Float64Var(&mostMB, "most-mb", 0, "drop until all fit; 0: nothing for its size")
	c.AddCommand(&cobra.Command{Use: "list DIR", Short: "List lives", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], func(s *record.Store) error { return listLives(cmd.OutOrStdout(), s) })
		}}, &cobra.Command{Use: "verify DIR", Short: "Read everything; say what is torn or missing", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], func(s *record.Store) error { return verify(cmd.OutOrStdout(), s) })
		}}, export, prune)
	return c
}

func listLives(out io.Writer, s *record.Store) error {
	lives, err := s.Lives()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "life\tpilot\tstarted\tlast written\tKB\tchunks\tmodule\trebuilt from")
	for _, l := range lives {
		bytes, chunks := s.Size(l.ID)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", l.ID, l.Pilot, l.Started.Format(time.RFC3339),
			s.LastAt(l.ID).Format(time.RFC3339), bytes/1024, chunks, l.Module, l.After)
	}
	return w.Flush()
}

func verify(out io.Writer, s *record.Store) error {
	lives, err := s.Lives()
	if err != nil {
		return err
	}
	var all error
	for _, l := range lives {
		turns, gaps := 0, 0
		err := s.Read(l.ID, func(ts []record.Turn, gap bool) error {
			turns += len(ts)
			if gap {
				gaps++
			}
			return nil
		})
		state := "good"
		if err != nil {
			state = err.Error()
			all = errors.Join(all, fmt.Errorf("life %s: %w", l.ID, err))
		}
		fmt.Fprintf(out, "%s: %d turns, %d gaps, %s\n", l.ID, turns, gaps, state)
	}
	return all
}

func exportLife(out io.Writer, s *record.Store, life, format string) error {
	if format != "json" && format != "csv" {
		return fmt.Errorf("%q is neither json nor csv", format)
	}
	enc, table := json.NewEncoder(out), csv.NewWriter(out)
	if format == "csv" {
		if err := table.Write([]string{"at_ms", "kind", "stream", "what"}); err != nil {
			return err
		}
	}
	err := s.Read(life, func(turns []record.Turn, _ bool) error {
		for i := range turns {
			if format == "json" {
				if err := enc.Encode(&turns[i]); err != nil {
					return err
				}
				continue
			}
			for _, in := range turns[i].Inputs {
				if err := table.Write([]string{strconv.FormatFloat(turns[i].AtMs, 'f', 3, 64), in.Kind.String(),
					strconv.FormatUint(in.Stream, 10), exportText(&in)}); err != nil {
					return err
				}
			}
		}
		return nil
	})
	table.Flush()
	return errors.Join(err, table.Error())
}

// exportText is the last column of the CSV form: what came in. The names in it are part of the form, whatever the Go
// fields are called.
func exportText(in *record.Input) string {
	if in.Message != nil {
		return fmt.Sprintf("%+v", in.Message)
	}
	switch e := in.Event.(type) {
	case planner.EndpointStats:
		return fmt.Sprintf("{Endpoint:%v Zone:%v Tries:%v Failed:%v MeanMs:%v SpanMs:%v Load:%v}",
			e.Endpoint, e.Zone, e.Attempts, e.Failed, e.MeanMs, e.SpanMs, e.Load)
	case planner.RequestStats:
		return fmt.Sprintf("{Proxy:%v Kind:%v Reqs:%v Unanswered:%v SpanMs:%v}", e.Proxy, e.Class, e.Requests, e.Unanswered, e.SpanMs)
	case planner.SliceStats:
		return fmt.Sprintf("{Slice:%v Kind:%v Reqs:%v Unanswered:%v SpanMs:%v}", e.Slice, e.Class, e.Requests, e.Unanswered, e.SpanMs)
	}
	return "<nil>"
}
