package main

import (
	"context"
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

// rules is how many rules the audit has.
const rules = 5

// searchOptions are the flags of the command.
type searchOptions struct {
	scenarios int    // to draw
	endpoints int    // of each, about
	seed      int    // of the first
	climbs    int    // steps towards each rule's limit
	folder    string // for scenarios that break a rule
}

func searchCommand() *cobra.Command {
	var o searchOptions
	c := &cobra.Command{
		Use: "search",
		Short: "Draw scenarios with overlapping faults, play them in virtual time, climb towards limits, " +
			"shrink what breaks",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runSearch(cmd.Context(), cmd.OutOrStdout(), o)
		},
	}
	c.Flags().IntVar(&o.scenarios, "days", 100, "scenarios to draw")
	c.Flags().IntVar(&o.endpoints, "endpoints", 30, "about how many endpoints")
	c.Flags().IntVar(&o.seed, "seed", 1, "of the first scenario")
	c.Flags().IntVar(&o.climbs, "climb", 0, "steps of climbing towards each rule's limit")
	c.Flags().StringVar(&o.folder, "found", "found", "folder for scenarios that break a rule")
	return c
}

// runSearch draws, climbs and shrinks, and returns errViolation if a rule was broken.
func runSearch(ctx context.Context, out io.Writer, o searchOptions) error {
	s := &search.Search{}
	finds, err := s.Random(ctx, o.seed, o.scenarios, o.endpoints)
	if err != nil {
		return err
	}
	printDistances(out, finds, o.endpoints)
	var broken []*search.Finding
	for _, f := range finds {
		if len(f.ViolatedRules) > 0 {
			broken = append(broken, f)
		}
	}
	climbed, err := climb(ctx, out, s, finds, o)
	if err != nil {
		return err
	}
	broken = append(broken, climbed...)
	for i, f := range broken {
		if err := shrink(ctx, out, s, f, i, o.folder); err != nil {
			return err
		}
	}
	if len(broken) > 0 {
		return errViolation
	}
	return nil
}

// climb goes from the find nearest to each rule's limit towards it, and returns finds that break a rule. Rules that
// were broken already are left out.
func climb(
	ctx context.Context, out io.Writer, s *search.Search, finds []*search.Finding, o searchOptions,
) ([]*search.Finding, error) {
	if o.climbs == 0 {
		return nil, nil
	}
	var broken []*search.Finding
	for rule := range audit.Rule(rules) {
		nearest := slices.MaxFunc(finds, func(a, b *search.Finding) int {
			return int(1e6 * (a.LimitFractions[rule] - b.LimitFractions[rule])) // the sixth decimal decides
		})
		if len(nearest.ViolatedRules) > 0 {
			continue
		}
		climbed, err := s.Climb(ctx, nearest, rule, o.climbs, uint64(o.seed))
		if err != nil {
			return nil, err
		}
		printf(out, "climbed towards %q: %.2f to %.2f\n", rule, nearest.LimitFractions[rule], climbed.LimitFractions[rule])
		if len(climbed.ViolatedRules) > 0 {
			broken = append(broken, climbed)
		}
	}
	return broken, nil
}

// shrink takes away of a scenario what it does not need to break a rule, and writes the rest to a file.
func shrink(ctx context.Context, out io.Writer, s *search.Search, f *search.Finding, number int, folder string) error {
	shrunk, err := s.Shrink(ctx, f)
	if err != nil {
		return err
	}
	path := filepath.Join(folder, fmt.Sprintf("found-%d-%d.hcl", shrunk.Draft.Seed, number))
	printf(out, "BROKEN, shrunk to %d faults, in %s: %v\n", len(shrunk.Draft.Faults), path, shrunk.ViolatedRules)
	return errors.Join(os.MkdirAll(folder, 0o755), os.WriteFile(path, []byte(shrunk.Draft.Text()), 0o644))
}

// printDistances shows how near scenarios came to each limit.
func printDistances(out io.Writer, finds []*search.Finding, endpoints int) {
	broken := 0
	for _, f := range finds {
		if len(f.ViolatedRules) > 0 {
			broken++
		}
	}
	printf(out, "%d scenarios of about %d endpoints, %d with a broken rule\n"+
		"nearest to the limit (1 is the limit): median, 90%%, 99%%, worst\n", len(finds), endpoints, broken)
	for rule := range audit.Rule(rules) {
		printf(out, "%-28s%s\n", rule, quantiles(finds, func(f *search.Finding) float64 { return f.LimitFractions[rule] }))
	}
	printf(out, "%-28s%s\n", "service lost", quantiles(finds, func(f *search.Finding) float64 { return 1 - f.Service }))
}

// quantiles shows the median, the 90th and 99th percentile, and the largest of a figure.
func quantiles(finds []*search.Finding, figure func(*search.Finding) float64) string {
	var values []float64
	for _, f := range finds {
		values = append(values, figure(f))
	}
	slices.Sort(values)
	text := ""
	for _, q := range []float64{0.5, 0.9, 0.99, 1} {
		text += fmt.Sprintf("  %.3f", stat.Quantile(q, stat.Empirical, values, nil))
	}
	return text
}
