package loadgen

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Request is a generated request.
type Request struct {
	At     time.Duration // time at which it is sent, since the start of the load
	Proxy  int           // index into Load.Weights
	Class  int           // index into Load.Classes
	WorkMs float64       // work at an endpoint, in ms
	Key    string        // empty if the load has no keys
}

// Source generates the requests of a load in order of time. It generates candidates as a Poisson process with the peak
// rate and thins them at random to the rate at each time.
type Source struct {
	load         Load
	random       *rand.Rand
	interarrival distuv.Exponential // time between candidates, in seconds
	peakRate     float64            // candidates per second
	nowSeconds   float64            // time of the last candidate, in seconds since the start
	classShares  []float64          // by class
	work         []distuv.LogNormal // work of a request in ms, by class
	proxyChooser chooser            // chooses a proxy while no spike moves requests
}

// NewSource returns a source that begins at the start of a load.
func NewSource(load Load) *Source {
	generator := rand.NewPCG(load.Seed, requestStream)
	s := &Source{
		load:         load,
		random:       rand.New(generator),
		peakRate:     load.Rate,
		proxyChooser: newChooser(load.Weights),
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

// Next returns the next request, or false at the end of the load.
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

// conditions holds the parameters of the load at one time, with all active spikes applied.
type conditions struct {
	rate    float64   // requests per second
	weights []float64 // weights of the proxies; nil means Load.Weights
	heavy   Spike     // last active spike with heavy requests; the zero value if there is none
}

// conditionsAt returns the conditions at a time. It applies the active spikes in the order of Load.Spikes.
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

// candidate generates a request for a time, or returns false if the candidate is dropped by thinning.
func (s *Source) candidate(at time.Duration) (request Request, kept bool) {
	c := s.conditionsAt(at)
	if s.random.Float64() >= c.rate/s.peakRate {
		return Request{}, false
	}
	proxies := s.proxyChooser
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

// isHeavy decides at random whether a request of a class is heavy during a spike. It draws no random number if the
// spike has no heavy requests in that class.
func (s *Source) isHeavy(spike Spike, class int) bool {
	if spike.HeavyFraction <= 0 {
		return false
	}
	if spike.HeavyClass != "" && spike.HeavyClass != s.load.Classes[class].Name {
		return false
	}
	return s.random.Float64() < spike.HeavyFraction
}
