// Command weigh compares ways of thinning reports on the same drawn stream, for docs/intake.md: the error of each
// endpoint's estimated tries against the part of lines that is kept. It is run by hand (go run ./internal/weigh DIR)
// and writes a table to standard output and intake-error.svg into DIR. Nothing that ships uses it.
package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"indigousher/planner"
	"indigousher/telemetry"
)

// The stream: senders of unlike size report once a second on endpoints of unlike share.
const (
	senders   = 300
	endpoints = 80
	seconds   = 40
)

// line is one report line; second and sender say which report it belongs to.
type line struct {
	second, sender, endpoint int
	tries                    float64
}

// stream draws all lines, in order of arrival: within a second the senders always report in the same order.
func stream(seed uint64) (lines []line, truth [][]float64) {
	src := rand.NewPCG(seed, 1)
	rnd := rand.New(src)
	sizes := make([]float64, senders)
	for s := range sizes {
		sizes[s] = math.Exp(rnd.NormFloat64())
	}
	for t := range seconds {
		truth = append(truth, make([]float64, endpoints))
		for s := range senders {
			for e := range endpoints {
				rate := 4 * sizes[s] / (1 + 0.1*float64(e))
				if n := (distuv.Poisson{Lambda: rate, Src: src}).Rand(); n > 0 {
					lines = append(lines, line{t, s, e, n})
					truth[t][e] += n
				}
			}
		}
	}
	return lines, truth
}

// method estimates each second's tries by endpoint from a part of the lines.
type method struct {
	name string
	run  func(lines []line, part float64, rnd *rand.Rand) [][]float64
}

func blank() (est [][]float64) {
	for range seconds {
		est = append(est, make([]float64, endpoints))
	}
	return est
}

// bySecond calls f for each second's lines with how many may be kept.
func bySecond(lines []line, part float64, f func(second int, of []line, keep int)) {
	for len(lines) > 0 {
		n := 1
		for n < len(lines) && lines[n].second == lines[0].second {
			n++
		}
		f(lines[0].second, lines[:n], max(1, int(part*float64(n))))
		lines = lines[n:]
	}
}

var methods = []method{
	{"drop newest", func(lines []line, part float64, _ *rand.Rand) [][]float64 {
		est := blank()
		bySecond(lines, part, func(t int, of []line, keep int) {
			for _, l := range of[:keep] {
				est[t][l.endpoint] += l.tries * float64(len(of)) / float64(keep)
			}
		})
		return est
	}},
	{"drop oldest", func(lines []line, part float64, _ *rand.Rand) [][]float64 {
		est := blank()
		bySecond(lines, part, func(t int, of []line, keep int) {
			for _, l := range of[len(of)-keep:] {
				est[t][l.endpoint] += l.tries * float64(len(of)) / float64(keep)
			}
		})
		return est
	}},
	{"reservoir", func(lines []line, part float64, rnd *rand.Rand) [][]float64 {
		est := blank()
		bySecond(lines, part, func(t int, of []line, keep int) {
			for _, i := range rnd.Perm(len(of))[:keep] {
				est[t][of[i].endpoint] += of[i].tries * float64(len(of)) / float64(keep)
			}
		})
		return est
	}},
	{"priority sample", func(lines []line, part float64, rnd *rand.Rand) [][]float64 {
		est := blank()
		bySecond(lines, part, func(t int, of []line, keep int) {
			type ranked struct {
				line
				rank float64
			}
			var r []ranked
			for _, l := range of {
				r = append(r, ranked{l, l.tries / (1 - rnd.Float64())})
			}
			slices.SortFunc(r, func(a, b ranked) int { return int(math.Copysign(1, b.rank-a.rank)) })
			threshold := 0.0
			if keep < len(r) {
				threshold = r[keep].rank
			}
			for _, l := range r[:keep] {
				est[t][l.endpoint] += math.Max(l.tries, threshold)
			}
		})
		return est
	}},
	{"heavy hitters (space saving)", func(lines []line, part float64, _ *rand.Rand) [][]float64 {
		est := blank()
		counters := max(1, int(part*endpoints))
		bySecond(lines, 1, func(t int, of []line, _ int) {
			count := map[int]float64{}
			for _, l := range of {
				if _, has := count[l.endpoint]; !has && len(count) >= counters {
					least := -1
					for e := range endpoints {
						if n, has := count[e]; has && (least < 0 || n < count[least]) {
							least = e
						}
					}
					count[l.endpoint] = count[least]
					delete(count, least)
				}
				count[l.endpoint] += l.tries
			}
			for e, n := range count {
				est[t][e] = n
			}
		})
		return est
	}},
	{"intake: merged by key", func(lines []line, part float64, _ *rand.Rand) [][]float64 {
		return module(lines, part, 1e9)
	}},
	{"intake: merged, aged (5 s)", func(lines []line, part float64, _ *rand.Rand) [][]float64 {
		return module(lines, part, 5000)
	}},
}

// module runs the intake with a pace that fits the part.
func module(lines []line, part, halfMs float64) [][]float64 {
	est := blank()
	pace := part * float64(len(lines)) / seconds
	if part == 1 {
		pace = 0
	}
	in := telemetry.New[int](telemetry.Options{LinesPerS: pace, PeriodMs: 1000, HalfMs: halfMs, LongestMs: 60000, Slowest: 1})
	for e := range endpoints {
		in.UpdateEndpoint(0, e, planner.Ready, 0)
	}
	for s := range senders {
		in.Join(0, s, 0)
	}
	bySecond(lines, 1, func(t int, of []line, _ int) {
		for len(of) > 0 {
			s, n := of[0].sender, 0
			now := (float64(t) + float64(s+1)/senders) * 1000
			r := telemetry.Report[int]{Sender: s, Seq: uint64(t + 1), AtMs: now, SpanMs: 1000}
			for n < len(of) && of[n].sender == s {
				r.Lines = append(r.Lines, telemetry.Line[int]{Endpoint: of[n].endpoint, Tries: int(of[n].tries)})
				n++
			}
			in.Add(now, &r)
			of = of[n:]
		}
		end := float64(t+1) * 1000
		if t > 0 { // what is not told stands as it was told last
			copy(est[t], est[t-1])
		}
		for _, m := range in.Flush(end, 1000).Mets {
			est[t][m.Endpoint] = m.Tries / m.SpanMs * 1000
		}
		in.Rebalance(end)
	})
	return est
}

// errors returns the root mean square and the mean of the relative errors, over endpoints with a hundredth of all.
func errors(est, truth [][]float64) (rms, bias float64) {
	var squares, signed []float64
	for t := 5; t < seconds; t++ { // the first seconds deal out the shares
		all := 0.0
		for _, n := range truth[t] {
			all += n
		}
		for e, n := range truth[t] {
			if n >= all/100 {
				off := (est[t][e] - n) / n
				squares, signed = append(squares, off*off), append(signed, off)
			}
		}
	}
	return math.Sqrt(stat.Mean(squares, nil)), stat.Mean(signed, nil)
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: weigh DIR")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(dir string) error {
	lines, truth := stream(1)
	parts := []float64{1, 0.5, 0.2, 0.1, 0.05, 0.02}
	p := plot.New()
	p.Title.Text = "Error of an endpoint's tries in a second"
	p.X.Label.Text, p.Y.Label.Text = "part of the lines kept", "root mean square of the relative error"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	fmt.Printf("%d lines a second, %d senders, %d endpoints\n\n| method |", len(lines)/seconds, senders, endpoints)
	for _, part := range parts {
		fmt.Printf(" %g |", part)
	}
	fmt.Println()
	var drawn []any
	for _, m := range append(methods, method{name: "bound of a uniform sample"}) {
		fmt.Printf("| %s |", m.name)
		var xy plotter.XYs
		for i, part := range parts {
			rms, bias := bound(lines, part), 0.0
			if m.run != nil {
				rms, bias = errors(m.run(lines, part, rand.New(rand.NewPCG(2, uint64(i)))), truth)
			}
			fmt.Printf(" %.3f (%+.3f) |", rms, bias)
			xy = append(xy, plotter.XY{X: part, Y: math.Max(rms, 1e-3)})
		}
		fmt.Println()
		drawn = append(drawn, m.name, xy)
	}
	if err := plotutil.AddLinePoints(p, drawn...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	p.Legend.Top = true
	if err := p.Save(8*vg.Inch, 5*vg.Inch, filepath.Join(dir, "intake-error.svg")); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

// bound is the standard error that theory gives a uniform sample: each line is kept with the same chance, so the
// variance of an endpoint's sum is (1-p)/p times the sum of its lines' squares.
func bound(lines []line, part float64) float64 {
	type key struct{ second, endpoint int }
	sum, squares, all := map[key]float64{}, map[key]float64{}, map[int]float64{}
	for _, l := range lines {
		k := key{l.second, l.endpoint}
		sum[k] += l.tries
		squares[k] += l.tries * l.tries
		all[l.second] += l.tries
	}
	var variances []float64
	for k, n := range sum {
		if n >= all[k.second]/100 {
			variances = append(variances, (1-part)/part*squares[k]/(n*n))
		}
	}
	return math.Sqrt(stat.Mean(variances, nil))
}
