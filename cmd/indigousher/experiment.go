package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"indigousher/internal/experiment"
)

// gcPercent is the garbage collection target percentage: the heap may grow to five times the live data between
// collections. Runs allocate many short-lived objects, and enough memory is available for that.
const gcPercent = 400

// experimentCommand returns the command that runs a planned experiment.
func experimentCommand() *cobra.Command {
	var store, html string
	c := &cobra.Command{
		Use:   "experiment FILE",
		Short: "Play scenarios in virtual time with varied factors and baselines; report results as tables and charts",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			base := strings.TrimSuffix(args[0], ".hcl")
			return runExperiment(cmd, args[0], cmp.Or(store, base+".db"), cmp.Or(html, base+".html"))
		},
	}
	c.Flags().StringVar(&store, "store", "", "database of results; default: FILE with the extension .db")
	c.Flags().StringVar(&html, "html", "", "report to write; default: FILE with the extension .html")
	return c
}

// runExperiment runs the experiment that file describes, stores the results in the database store, prints the result
// table, and writes the report to html.
func runExperiment(cmd *cobra.Command, file, store, html string) error {
	plan, err := experiment.Read(file)
	if err != nil {
		return err
	}
	program, err := experiment.Program()
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	progress := func(done, all int) { printf(cmd.ErrOrStderr(), "\r%d of %d runs", done, all) }
	runner := experiment.Runner{Plan: plan, Store: store, Program: program, Progress: progress}
	table, err := runner.Run(cmd.Context())
	printf(cmd.ErrOrStderr(), "\n")
	if err != nil {
		return err
	}
	if err := table.Print(cmd.OutOrStdout()); err != nil {
		return err
	}
	f, err := os.Create(html)
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return errors.Join(table.Report(f), f.Close())
}
