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

const bytesPerMB = 1 << 20

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
	c.AddCommand(listCommand(), verifyCommand(), exportCommand(), pruneCommand())
	return c
}

func listCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list DIR",
		Short: "List lives",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], func(s *record.Store) error { return listLives(cmd.OutOrStdout(), s) })
		},
	}
}

func verifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify DIR",
		Short: "Read everything; report what is corrupt or missing",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], func(s *record.Store) error { return verify(cmd.OutOrStdout(), s) })
		},
	}
}

func pruneCommand() *cobra.Command {
	var keep time.Duration
	var maxMB float64
	c := &cobra.Command{
		Use:   "prune DIR",
		Short: "Drop the oldest segments; no pilot may have the record open",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return prune(cmd.OutOrStdout(), args[0], record.Limits{Bytes: int64(maxMB * bytesPerMB), Age: keep})
		},
	}
	c.Flags().DurationVar(&keep, "keep", 0, "drop what is older; 0: nothing for its age")
	c.Flags().Float64Var(&maxMB, "most-mb", 0, "drop until all fit; 0: nothing for its size")
	return c
}

// prune drops what is beyond limits from an existing store.
func prune(out io.Writer, dir string, limits record.Limits) error {
	if _, err := os.Stat(dir); err != nil {
		return err
	}
	s, err := record.Open(dir, false)
	if err != nil {
		return err
	}
	dropped, err := s.Prune(limits, time.Now())
	printf(out, "%d segments dropped\n", dropped)
	return errors.Join(err, s.Close())
}

// listLives prints a row for each life.
func listLives(out io.Writer, s *record.Store) error {
	lives, err := s.Lives()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	printf(w, "life\tpilot\tstarted\tlast written\tKB\tchunks\tmodule\trebuilt from\n")
	for _, l := range lives {
		size, chunks := s.Size(l.ID)
		started := l.Started.Format(time.RFC3339)
		lastWritten := s.LastWritten(l.ID).Format(time.RFC3339)
		printf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", l.ID, l.Pilot, started, lastWritten, size/1024, chunks, l.PlannerFingerprint,
			l.RestoredFrom)
	}
	return w.Flush()
}

// verify reads all lives, prints a line for each, and returns an error for each that can't be read to its end.
func verify(out io.Writer, s *record.Store) error {
	lives, err := s.Lives()
	if err != nil {
		return err
	}
	var all error
	for _, l := range lives {
		if err := verifyLife(out, s, l.ID); err != nil {
			all = errors.Join(all, fmt.Errorf("life %s: %w", l.ID, err))
		}
	}
	return all
}

func verifyLife(out io.Writer, s *record.Store, id string) error {
	turns := 0
	gaps := 0
	err := s.Read(id, func(chunk []record.Turn, gap bool) error {
		turns += len(chunk)
		if gap {
			gaps++
		}
		return nil
	})
	state := "good"
	if err != nil {
		state = err.Error()
	}
	printf(out, "%s: %d turns, %d gaps, %s\n", id, turns, gaps, state)
	return err
}
