package main

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

const (
	// warmupSeconds is the length of the beginning of the stream that is not evaluated, because the intake has not yet
	// divided its rate limit among the senders.
	warmupSeconds = 5

	// minShare excludes small endpoints: those with less than 1/minShare of all attempts in a second.
	minShare = 100
)

// relativeError summarises the relative errors of an estimate. Its values are fractions of the true attempts.
type relativeError struct {
	rms  float64 // root mean square of the errors
	bias float64 // mean of the errors; positive if the estimates are too high
}

// compare returns the relative errors of an estimate over all seconds and endpoints, without the warm-up and without
// small endpoints. Both arguments hold attempts by second and endpoint.
func compare(estimate, truth [][]float64) relativeError {
	var squares, signed []float64
	for second := warmupSeconds; second < seconds; second++ {
		all := 0.0
		for _, n := range truth[second] {
			all += n
		}
		for endpoint, n := range truth[second] {
			if n < all/minShare {
				continue
			}
			deviation := (estimate[second][endpoint] - n) / n
			squares = append(squares, deviation*deviation)
			signed = append(signed, deviation)
		}
	}
	return relativeError{rms: math.Sqrt(stat.Mean(squares, nil)), bias: stat.Mean(signed, nil)}
}

// uniformSampleError returns the theoretical relative standard error of a uniform sample. Each line is kept with the
// same probability p, so the variance of an endpoint's sum is (1-p)/p times the sum of the squares of its lines.
func uniformSampleError(lines []line, p float64) float64 {
	type key struct{ second, endpoint int }
	sums := map[key]float64{}
	squares := map[key]float64{}
	all := map[int]float64{}
	for _, l := range lines {
		k := key{l.second, l.endpoint}
		sums[k] += l.attempts
		squares[k] += l.attempts * l.attempts
		all[l.second] += l.attempts
	}
	var variances []float64
	for k, n := range sums {
		if n >= all[k.second]/minShare {
			variances = append(variances, (1-p)/p*squares[k]/(n*n))
		}
	}
	return math.Sqrt(stat.Mean(variances, nil))
}
