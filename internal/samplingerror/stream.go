package main

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// Size of the generated stream. Senders of different sizes report once a second on endpoints of different loads.
const (
	senders   = 300
	endpoints = 80
	seconds   = 40
)

// line is one line of a load report. The second and the sender identify the report.
type line struct {
	second   int
	sender   int
	endpoint int
	attempts float64 // attempts that the sender made at the endpoint
}

// drawStream generates random lines in the order of their arrival, and returns them with the true attempts by second
// and endpoint. Within a second the senders always report in the same order.
func drawStream(seed uint64) (lines []line, truth [][]float64) {
	source := rand.NewPCG(seed, 1)
	rnd := rand.New(source)
	sizes := make([]float64, senders)
	for s := range sizes {
		sizes[s] = math.Exp(rnd.NormFloat64())
	}
	truth = newEstimate()
	for second := range seconds {
		for sender := range senders {
			for endpoint := range endpoints {
				rate := 4 * sizes[sender] / (1 + 0.1*float64(endpoint))
				attempts := distuv.Poisson{Lambda: rate, Src: source}.Rand()
				if attempts > 0 {
					lines = append(lines, line{second, sender, endpoint, attempts})
					truth[second][endpoint] += attempts
				}
			}
		}
	}
	return lines, truth
}

// newEstimate returns a table of attempts by second and endpoint that is filled with zeros.
func newEstimate() (estimate [][]float64) {
	for range seconds {
		estimate = append(estimate, make([]float64, endpoints))
	}
	return estimate
}

// bySecond calls visit for each second with its lines and the number of lines to keep, which is the fraction of them
// but at least 1.
func bySecond(lines []line, fraction float64, visit func(second int, lines []line, keep int)) {
	for len(lines) > 0 {
		n := 1
		for n < len(lines) && lines[n].second == lines[0].second {
			n++
		}
		visit(lines[0].second, lines[:n], max(1, int(fraction*float64(n))))
		lines = lines[n:]
	}
}
