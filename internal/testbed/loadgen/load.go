// Package loadgen generates client load. The load is open-loop: requests are generated from a seed and sent to the
// proxies at predetermined times, whether or not earlier requests have been answered. Clients retry failed requests and
// give up after a timeout.
package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"indigousher/internal/config"
	"indigousher/internal/scenario"
	"indigousher/internal/wire"
)

// Second words of the random generators' seeds. They make the random numbers for weights and requests independent.
const (
	weightStream  = 47 // for the weights of the proxies
	requestStream = 23 // for the requests
)

// Load describes the requests that clients send during a run.
type Load struct {
	Classes []RequestClass
	Rate    float64   // total requests per second at all proxies
	Weights []float64 // by proxy: its share of the requests, relative to the sum of all weights
	Length  time.Duration
	Retries int           // maximum number of retries of a request by its client
	Backoff time.Duration // minimum wait before a retry; a proxy may ask for a longer one
	Seed    uint64
	Keys    int // number of distinct request keys; 0 means that requests have no key
	Spikes  []Spike
}

// RequestClass describes the requests of one request class.
type RequestClass struct {
	Name       string
	Share      float64       // share of all requests, relative to the sum of all shares
	WorkMs     float64       // mean work of a request, in ms; the work has a log-normal distribution
	CV         float64       // coefficient of variation of the work
	Timeout    time.Duration // time after which a client gives up a request, including retries
	Replayable bool          // retry after any failure; otherwise only if the request is known not to have been executed
}

// Spike is a temporary change of the load. Fields with the zero value change nothing.
type Spike struct {
	From, For time.Duration // start and duration; a For of 0 means until the end of the load

	Factor        float64 // multiplies the rate of all requests, or the work of heavy requests if HeavyFraction is set
	HeavyFraction float64 // fraction of requests that are heavy, that is, whose work is multiplied by Factor
	HeavyClass    string  // request class of the heavy requests; empty means all classes
	Fraction      float64 // fraction of all requests that is moved to HotProxy or TargetProxies
	HotProxy      int     // number of a proxy, counted from 1; 0 means that TargetProxies is used
	TargetProxies []int   // indices of proxies, counted from 0
}

func (s Spike) covers(at time.Duration) bool {
	return at >= s.From && (s.For == 0 || at < s.From+s.For)
}

// targets returns the indices, counted from 0, of the proxies to which requests are moved.
func (s Spike) targets() []int {
	if s.HotProxy > 0 {
		return []int{s.HotProxy - 1}
	}
	return s.TargetProxies
}

// FromScenario returns the load of a scenario, with the spikes that its faults cause. The weights of the proxies are
// random numbers that depend only on the scenario's seed, so that runs on sockets and in virtual time use the same
// ones.
func FromScenario(s *scenario.Scenario) Load {
	load := Load{
		Rate:    s.Rate,
		Length:  s.Length,
		Retries: s.Retries,
		Backoff: s.Backoff,
		Seed:    uint64(s.Seed),
		Keys:    s.Slices * scenario.KeysPerSlice,
	}
	for _, demand := range s.Demands {
		class := s.Kinds[slices.Index(s.ClassNames(), demand.Class)]
		load.Classes = append(load.Classes, RequestClass{
			Name:       demand.Class,
			Share:      demand.Share,
			WorkMs:     float64(demand.Work) / float64(time.Millisecond),
			CV:         demand.CV,
			Timeout:    class.ClientTimeout,
			Replayable: class.Repeats != config.RepeatsNonReplayable,
		})
	}
	random := rand.New(rand.NewPCG(uint64(s.Seed), weightStream))
	for range s.ProxyZones {
		load.Weights = append(load.Weights, math.Exp(s.ClientRateSpread*random.NormFloat64()))
	}
	for _, fault := range s.Faults {
		if spike, ok := spikeOf(fault, s.ProxyZones); ok {
			load.Spikes = append(load.Spikes, spike)
		}
	}
	return load
}

// spikeOf returns the spike that a fault causes, or false if the fault does not change the load.
func spikeOf(fault scenario.Fault, proxyZones []string) (Spike, bool) {
	spike := Spike{From: fault.At, For: fault.Duration}
	switch fault.Type {
	case "burst":
		spike.Factor = fault.Size
	case "hot_caller":
		spike.HotProxy = 1
		spike.Fraction = fault.Fraction
	case "heavy_tail":
		spike.Factor = fault.Size
		spike.HeavyFraction = fault.Fraction
		spike.HeavyClass = fault.Class
	case "shift":
		spike.For = 0
		spike.Fraction = fault.Fraction
		for i, zone := range proxyZones {
			if zone == fault.Zone {
				spike.TargetProxies = append(spike.TargetProxies, i)
			}
		}
	default:
		return Spike{}, false
	}
	return spike, true
}

// Key returns the request key with a number. The lexical order of keys is that of their numbers, below 1000000.
func Key(i int) string { return fmt.Sprintf("key-%06d", i) }

// SliceAssignment returns the message that assigns a slice of the key space to one endpoint.
func SliceAssignment(slice int, owner string) wire.Slices {
	return wire.Slices{
		Slice: slice,
		Given: true,
		From:  Key(slice * scenario.KeysPerSlice),
		To:    Key((slice + 1) * scenario.KeysPerSlice),
		Lines: []wire.HeldLine{{Endpoint: owner, Weight: 1}},
	}
}
