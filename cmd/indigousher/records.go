package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"indigousher/internal/daemon"
	"indigousher/internal/record"
)

// withStore opens a store for reading and closes it after use.
func withStore(dir string, f func(*record.Store) error) error {
	s, err := daemon.OpenRecords(dir)
	if err != nil {
		return err
	}
	return errors.Join(f(s), s.Close())
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
