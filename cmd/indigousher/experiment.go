package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"indigousher/internal/experiment"
)

func experimentCommand() *cobra.Command {
	var store, html string
	c := &cobra.Command{Use: "experiment FILE", Short: "Play emulated days with factors varied, beside baselines; keep results as tables and charts",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			plan, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			program, err := experiment.Program()
			if err != nil {
				return err
			}
			base := strings.TrimSuffix(args[0], ".hcl")
			if store == "" {
				store = base + ".db"
			}
			if html == "" {
				html = base + ".html"
			}
			debug.SetGCPercent(400) // runs make much that soon goes; memory is there
			r := experiment.Runner{Plan: plan, Store: store, Program: program, Say: func(done, all int) {
				fmt.Fprintf(cmd.ErrOrStderr(), "\r%d of %d runs", done, all)
			}}
			t, err := r.Run(cmd.Context())
			fmt.Fprintln(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			if err := t.Print(cmd.OutOrStdout()); err != nil {
				return err
			}
			f, err := os.Create(html)
			if err != nil {
				return fmt.Errorf("write report: %w", err)
			}
			return errors.Join(t.Report(f), f.Close())
		}}
	c.Flags().StringVar(&store, "store", "", "file of results; FILE with .db if not told")
	c.Flags().StringVar(&html, "html", "", "report; FILE with .html if not told")
	return c
}
