package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"

	"indigousher/internal/audit"
	"indigousher/internal/search"
)

func searchCommand() *cobra.Command {
	var days, endpoints, seed, climbs int
	var found string
	c := &cobra.Command{Use: "search", Short: "Draw days with overlapping troubles, play them in virtual time, climb towards limits, shrink what breaks",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			s := &search.Search{}
			finds, err := s.Random(cmd.Context(), seed, days, endpoints)
			if err != nil {
				return err
			}
			distances(out, finds, endpoints)
			var bad []*search.Finding
			for _, f := range finds {
				if len(f.Broken) > 0 {
					bad = append(bad, f)
				}
			}
			for rule := range audit.RuleCount {
				best := slices.MaxFunc(finds, func(a, b *search.Finding) int { return int(1e6 * (a.LimitFractions[rule] - b.LimitFractions[rule])) })
				if climbs == 0 || len(best.Broken) > 0 {
					continue
				}
				near := best.LimitFractions[rule]
				if best, err = s.Climb(cmd.Context(), best, rule, climbs, uint64(seed)); err != nil {
					return err
				}
				fmt.Fprintf(out, "climbed towards %q: %.2f to %.2f\n", rule, near, best.LimitFractions[rule])
				if len(best.Broken) > 0 {
					bad = append(bad, best)
				}
			}
			for i, f := range bad {
				if f, err = s.Shrink(cmd.Context(), f); err != nil {
					return err
				}
				path := filepath.Join(found, fmt.Sprintf("found-%d-%d.hcl", f.Draft.Seed, i))
				fmt.Fprintf(out, "BROKEN, shrunk to %d troubles, in %s: %v\n", len(f.Draft.Faults), path, f.Broken)
				if err := errors.Join(os.MkdirAll(found, 0o755), os.WriteFile(path, []byte(f.Draft.Text()), 0o644)); err != nil {
					return err
				}
			}
			if len(bad) > 0 {
				return errBroken
			}
			return nil
		}}
	c.Flags().IntVar(&days, "days", 100, "days to draw")
	c.Flags().IntVar(&endpoints, "endpoints", 30, "about how many endpoints")
	c.Flags().IntVar(&seed, "seed", 1, "of the first day")
	c.Flags().IntVar(&climbs, "climb", 0, "steps of climbing towards each rule's limit")
	c.Flags().StringVar(&found, "found", "found", "folder for days that break a rule")
	return c
}

// distances shows how near days came to each limit.
func distances(out io.Writer, finds []*search.Finding, endpoints int) {
	quantiles := func(of func(*search.Finding) float64) string {
		var v []float64
		for _, f := range finds {
			v = append(v, of(f))
		}
		slices.Sort(v)
		text := ""
		for _, q := range []float64{0.5, 0.9, 0.99, 1} {
			text += fmt.Sprintf("  %.3f", stat.Quantile(q, stat.Empirical, v, nil))
		}
		return text
	}
	broken := 0
	for _, f := range finds {
		if len(f.Broken) > 0 {
			broken++
		}
	}
	fmt.Fprintf(out, "%d days of about %d endpoints, %d with a broken rule\nnearest to the limit (1 is the limit): median, 90%%, 99%%, worst\n",
		len(finds), endpoints, broken)
	for rule := range audit.RuleCount {
		fmt.Fprintf(out, "%-28s%s\n", rule, quantiles(func(f *search.Finding) float64 { return f.LimitFractions[rule] }))
	}
	fmt.Fprintf(out, "%-28s%s\n", "service lost", quantiles(func(f *search.Finding) float64 { return 1 - f.Service }))
}
