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

// ruleCount is the number of rules that the audit checks.
const ruleCount = 5

// searchOptions holds the flags of the search command.
type searchOptions struct {
	scenarios  int    // number of random scenarios
	endpoints  int    // approximate number of endpoints in each scenario
	seed       int    // seed of the first scenario
	climbSteps int    // number of hill-climbing steps towards the limit of each rule; 0: no climbing
	outputDir  string // directory for scenarios that violate a rule
}

// searchCommand returns the command that searches for scenarios that violate a rule.
func searchCommand() *cobra.Command {
	var o searchOptions
	c := &cobra.Command{
		Use: "search",
		Short: "Search for scenarios that violate a rule: play random overlapping faults in virtual time, " +
			"climb towards limits, shrink violating scenarios",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runSearch(cmd.Context(), cmd.OutOrStdout(), o)
		},
	}
	c.Flags().IntVar(&o.scenarios, "days", 100, "number of random scenarios")
	c.Flags().IntVar(&o.endpoints, "endpoints", 30, "approximate number of endpoints of a scenario")
	c.Flags().IntVar(&o.seed, "seed", 1, "seed of the first scenario")
	c.Flags().IntVar(&o.climbSteps, "climb", 0, "hill-climbing steps towards the limit of each rule; 0: none")
	c.Flags().StringVar(&o.outputDir, "found", "found", "directory for scenarios that violate a rule")
	return c
}

// runSearch plays random scenarios, climbs from them towards the limits of the rules, and shrinks the scenarios that
// violate a rule. It returns errViolation if there are any.
func runSearch(ctx context.Context, out io.Writer, o searchOptions) error {
	s := &search.Search{}
	findings, err := s.Random(ctx, o.seed, o.scenarios, o.endpoints)
	if err != nil {
		return err
	}
	printDistances(out, findings, o.endpoints)
	var broken []*search.Finding
	for _, f := range findings {
		if len(f.ViolatedRules) > 0 {
			broken = append(broken, f)
		}
	}
	climbed, err := climb(ctx, out, s, findings, o)
	if err != nil {
		return err
	}
	broken = append(broken, climbed...)
	for i, f := range broken {
		if err := shrink(ctx, out, s, f, i, o.outputDir); err != nil {
			return err
		}
	}
	if len(broken) > 0 {
		return errViolation
	}
	return nil
}

// climb starts, for each rule, from the finding that is nearest to the rule's limit, and searches from there for
// scenarios nearer to it. It returns the findings that violate a rule. If the finding nearest to a limit already
// violates a rule, climb skips that limit.
func climb(
	ctx context.Context, out io.Writer, s *search.Search, findings []*search.Finding, o searchOptions,
) ([]*search.Finding, error) {
	if o.climbSteps == 0 {
		return nil, nil
	}
	var broken []*search.Finding
	for rule := range audit.Rule(ruleCount) {
		nearest := slices.MaxFunc(findings, func(a, b *search.Finding) int {
			return int(1e6 * (a.LimitFractions[rule] - b.LimitFractions[rule])) // compared to six decimal places
		})
		if len(nearest.ViolatedRules) > 0 {
			continue
		}
		climbed, err := s.Climb(ctx, nearest, rule, o.climbSteps, uint64(o.seed))
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

// shrink removes the parts of a scenario that are not needed to violate a rule, and writes the remaining scenario to a
// file in dir. number makes the file name unique.
func shrink(ctx context.Context, out io.Writer, s *search.Search, f *search.Finding, number int, dir string) error {
	shrunk, err := s.Shrink(ctx, f)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, fmt.Sprintf("found-%d-%d.hcl", shrunk.Draft.Seed, number))
	printf(out, "BROKEN, shrunk to %d faults, in %s: %v\n", len(shrunk.Draft.Faults), path, shrunk.ViolatedRules)
	return errors.Join(os.MkdirAll(dir, 0o755), os.WriteFile(path, []byte(shrunk.Draft.Text()), 0o644))
}

// printDistances prints quantiles of how close the scenarios came to the limit of each rule, as fractions of the limit,
// and of the service lost.
func printDistances(out io.Writer, findings []*search.Finding, endpoints int) {
	broken := 0
	for _, f := range findings {
		if len(f.ViolatedRules) > 0 {
			broken++
		}
	}
	printf(out, "%d scenarios of about %d endpoints, %d with a broken rule\n"+
		"nearest to the limit (1 is the limit): median, 90%%, 99%%, worst\n", len(findings), endpoints, broken)
	for rule := range audit.Rule(ruleCount) {
		printf(out, "%-28s%s\n", rule, quantiles(findings, func(f *search.Finding) float64 { return f.LimitFractions[rule] }))
	}
	printf(out, "%-28s%s\n", "service lost", quantiles(findings, func(f *search.Finding) float64 { return 1 - f.Service }))
}

// quantiles formats the median, the 90th and 99th percentile, and the maximum of a value over all findings.
func quantiles(findings []*search.Finding, figure func(*search.Finding) float64) string {
	var values []float64
	for _, f := range findings {
		values = append(values, figure(f))
	}
	slices.Sort(values)
	text := ""
	for _, q := range []float64{0.5, 0.9, 0.99, 1} {
		text += fmt.Sprintf("  %.3f", stat.Quantile(q, stat.Empirical, values, nil))
	}
	return text
}
