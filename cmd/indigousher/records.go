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

// bytesPerMB converts sizes in MiB to bytes.
const bytesPerMB = 1 << 20

// withStore opens the store in dir for reading only, calls f with it, and closes it.
func withStore(dir string, f func(*record.Store) error) error {
	s, err := daemon.OpenRecords(dir)
	if err != nil {
		return err
	}
	return errors.Join(f(s), s.Close())
}

// recordsCommand returns the command that groups the commands for records.
func recordsCommand() *cobra.Command {
	c := &cobra.Command{Use: "records", Short: "Inspect and maintain a pilot's records"}
	c.AddCommand(listCommand(), verifyCommand(), exportCommand(), pruneCommand())
	return c
}

// listCommand returns the command that lists the lives in a store. A life is the record of one run of a pilot.
func listCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list DIR",
		Short: "List the lives in a record; a life is one run of the pilot",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], func(s *record.Store) error { return listLives(cmd.OutOrStdout(), s) })
		},
	}
}

// verifyCommand returns the command that checks whether a store can be read completely.
func verifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify DIR",
		Short: "Read all records; report corrupt data and gaps",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], func(s *record.Store) error { return verify(cmd.OutOrStdout(), s) })
		},
	}
}

// pruneCommand returns the command that deletes old segments of a store.
func pruneCommand() *cobra.Command {
	var keep time.Duration
	var maxMB float64
	c := &cobra.Command{
		Use:   "prune DIR",
		Short: "Delete the oldest segments of a record; no pilot may have it open",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return prune(cmd.OutOrStdout(), args[0], record.Limits{Bytes: int64(maxMB * bytesPerMB), Age: keep})
		},
	}
	c.Flags().DurationVar(&keep, "keep", 0, "delete segments older than this; 0: no age limit")
	c.Flags().Float64Var(&maxMB, "most-mb", 0, "maximum size in MiB; the oldest segments are deleted; 0: no limit")
	return c
}

// prune deletes the segments of an existing store that exceed the limits, and prints their number. It fails if dir does
// not exist.
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

// listLives prints a table with a row for each life in the store.
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

// verify reads all lives and prints a line for each. It returns the joined errors of the lives that can't be read
// completely.
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

// verifyLife reads one life and prints the number of its turns and gaps, and its state.
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
