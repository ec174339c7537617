// Package loadgen generates the load of clients: an open loop of requests, drawn ahead from a seed, that are sent to
// the proxies when their time comes whether or not earlier ones are answered, with retries and client timeouts.
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

// Second words of random generators' seeds. They keep draws of different things apart.
const (
	weightStream  = 47 // the proxies' weights
	requestStream = 23 // the requests
)

// Load is what clients ask for.
type Load struct {
	Classes []RequestClass
	Rate    float64   // requests a second, all proxies together
	Weights []float64 // of the proxies
	Length  time.Duration
	Retries int           // of one request by its client
	Backoff time.Duration // before a retry; longer if the proxy says so
	Seed    uint64
	Keys    int // 0: requests have none
	Spikes  []Spike
}

// RequestClass is a request class as clients ask for it.
type RequestClass struct {
	Name       string
	Share      float64 // of all requests
	WorkMs     float64 // mean; the work is log-normal
	CV         float64 // coefficient of variation of the work
	Timeout    time.Duration
	Replayable bool // may be retried after any failure; others only if they are known not to have run
}

// Spike changes the load for a while. Fields of 0 change nothing.
type Spike struct {
	From, For time.Duration // For 0: to the end

	Factor        float64 // by which the rate of all requests grows, or the work of heavy ones
	HeavyFraction float64 // of a class's requests, whose work grows by Factor
	HeavyClass    string  // with HeavyFraction; empty: all classes
	Fraction      float64 // of all requests, which move to the proxies below
	HotProxy      int     // one proxy, counted from 1
	TargetProxies []int   // several proxies, counted from 0
}

func (s Spike) covers(at time.Duration) bool {
	return at >= s.From && (s.For == 0 || at < s.From+s.For)
}

// targets returns the proxies that requests move to.
func (s Spike) targets() []int {
	if s.HotProxy > 0 {
		return []int{s.HotProxy - 1}
	}
	return s.TargetProxies
}

// FromScenario returns the load of a scenario and of its faults. The proxies' weights are drawn from the scenario's
// seed, so that they are the same on sockets and in virtual time.
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

// spikeOf returns how a fault changes the load, or false if it doesn't.
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

// Key returns a key by its number. Keys are ordered as their numbers.
func Key(i int) string { return fmt.Sprintf("key-%06d", i) }

// SliceAssignment gives a slice of the key space to one endpoint.
func SliceAssignment(slice int, owner string) wire.Slices {
	return wire.Slices{
		Slice: slice,
		Given: true,
		From:  Key(slice * scenario.KeysPerSlice),
		To:    Key((slice + 1) * scenario.KeysPerSlice),
		Lines: []wire.HeldLine{{Endpoint: owner, Weight: 1}},
	}
}
