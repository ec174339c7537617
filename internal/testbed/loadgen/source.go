package loadgen

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Request is one request drawn ahead.
type Request struct {
	At     time.Duration // since the start
	Proxy  int
	Class  int
	WorkMs float64
	Key    string
}

// Source draws the requests of a load one after another. Candidates arrive as a Poisson process at the peak rate and
// are thinned out to the rate of the moment.
type Source struct {
	load         Load
	random       *rand.Rand
	interarrival distuv.Exponential // s, at the peak rate
	peakRate     float64            // requests a second
	nowSeconds   float64
	classShares  []float64
	work         []distuv.LogNormal // ms, by class
	byWeight     chooser            // of proxies, while no spike moves requests
}

// NewSource returns a source at the load's start.
func NewSource(load Load) *Source {
	generator := rand.NewPCG(load.Seed, requestStream)
	s := &Source{
		load:     load,
		random:   rand.New(generator),
		peakRate: load.Rate,
		byWeight: newChooser(load.Weights),
	}
	for _, spike := range load.Spikes {
		s.peakRate = math.Max(s.peakRate, load.Rate*spike.Factor)
	}
	s.interarrival = distuv.Exponential{Rate: s.peakRate, Src: generator}
	for _, class := range load.Classes {
		sigma := math.Sqrt(math.Log(1 + class.CV*class.CV))
		mu := math.Log(class.WorkMs) - sigma*sigma/2
		s.classShares = append(s.classShares, class.Share)
		s.work = append(s.work, distuv.LogNormal{Mu: mu, Sigma: sigma, Src: generator})
	}
	return s
}

// Next returns the next request, or false at the load's end.
func (s *Source) Next() (Request, bool) {
	for {
		s.nowSeconds += s.interarrival.Rand()
		at := time.Duration(s.nowSeconds * float64(time.Second))
		if at >= s.load.Length {
			return Request{}, false
		}
		if request, kept := s.candidate(at); kept {
			return request, true
		}
	}
}

// conditions are what the spikes make of the load at one moment.
type conditions struct {
	rate    float64   // requests a second
	weights []float64 // of the proxies; nil: as the load has them
	heavy   Spike     // the last one with heavy requests; zero if there is none
}

// conditionsAt combines all spikes that cover a moment, in their order.
func (s *Source) conditionsAt(at time.Duration) conditions {
	c := conditions{rate: s.load.Rate}
	for _, spike := range s.load.Spikes {
		if !spike.covers(at) {
			continue
		}
		switch {
		case spike.HeavyFraction > 0:
			c.heavy = spike
		case spike.HotProxy > 0 || len(spike.TargetProxies) > 0:
			if c.weights == nil {
				c.weights = slices.Clone(s.load.Weights)
			}
			moveWeight(c.weights, spike.targets(), spike.Fraction)
		case spike.Factor > 0:
			c.rate *= spike.Factor
		}
	}
	return c
}

// candidate draws a request at a time, or returns false if it is thinned out.
func (s *Source) candidate(at time.Duration) (request Request, kept bool) {
	c := s.conditionsAt(at)
	if s.random.Float64() >= c.rate/s.peakRate {
		return Request{}, false
	}
	proxies := s.byWeight
	if c.weights != nil {
		proxies = newChooser(c.weights)
	}
	request.At = at
	request.Proxy = proxies.draw(s.random)
	request.Class = drawIndex(s.random, s.classShares)
	request.WorkMs = s.work[request.Class].Rand()
	if s.isHeavy(c.heavy, request.Class) {
		request.WorkMs *= c.heavy.Factor
	}
	if s.load.Keys > 0 {
		request.Key = Key(s.random.IntN(s.load.Keys))
	}
	return request, true
}

// isHeavy draws whether a request of a class is one of a spike's heavy ones. It takes no random number for a class that
// has none.
func (s *Source) isHeavy(spike Spike, class int) bool {
	if spike.HeavyFraction <= 0 {
		return false
	}
	if spike.HeavyClass != "" && spike.HeavyClass != s.load.Classes[class].Name {
		return false
	}
	return s.random.Float64() < spike.HeavyFraction
}
