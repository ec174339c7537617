// Package loadgen is a stand-in for the clients: an open loop of reqs drawn ahead from a seed, asked of the proxies
// when their time comes whether or not earlier ones are answered, with retries and client timeouts.
package loadgen

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/wire"
)

// RequestClass is a kind of req as clients ask it.
type RequestClass struct {
	Name       string
	Share      float64
	WorkMs, CV float64
	Timeout    time.Duration
	Replayable bool // may be asked again after any failure; others only once it is known that nothing ran
}

// Load is what clients ask for.
type Load struct {
	Classes   []RequestClass
	Rate    float64 // reqs a second, all proxies together
	Weights []float64
	Length    time.Duration
	Retries int
	Backoff time.Duration
	Seed    uint64
	Keys    int // 0: reqs have none
	Spikes  []Spike
}

// Spike changes the load for a while. Fields of 0 change nothing.
type Spike struct {
	From, For   time.Duration
	Factor       float64 // all reqs
	HotProxy      int     // one proxy's share grows to Part, from 1; 0: none
	Fraction        float64
	HeavyFraction       float64 // part of a kind's reqs whose work is Times as much
	HeavyClass        string  // with Heavy
	TargetProxies []int   // proxies to which Part of all reqs moves, for good if For is 0
}

func (s Spike) covers(at time.Duration) bool {
	return at >= s.From && (s.For == 0 || at < s.From+s.For)
}

// FromScenario makes the clients' load of a day and of its troubles. Callers' weights are drawn from the day's seed, the same on
// sockets and in virtual time.
func FromScenario(d *scenario.Scenario) Load {
	rnd := rand.New(rand.NewPCG(uint64(d.Seed), 47))
	l := Load{Rate: d.Rate, Length: d.Length, Retries: d.Retries, Backoff: d.Backoff, Seed: uint64(d.Seed),
		Keys: d.Slices * scenario.KeysPerSlice}
	for _, x := range d.Demands {
		k := d.Kinds[slices.Index(d.ClassNames(), x.Kind)]
		l.Classes = append(l.Classes, RequestClass{Name: x.Kind, Share: x.Share, CV: x.CV, Timeout: k.ClientTimeout,
			WorkMs: float64(x.Work) / float64(time.Millisecond), Replayable: k.Repeats != "non-replayable"})
	}
	for range d.ProxyZones {
		l.Weights = append(l.Weights, math.Exp(d.Uneven*rnd.NormFloat64()))
	}
	for _, t := range d.Faults {
		w := Spike{From: t.At, For: t.For, Factor: t.Size}
		switch t.What {
		case "burst":
		case "hot_caller":
			w.HotProxy, w.Fraction, w.Factor = 1, t.Part, 0
		case "heavy_tail":
			w.HeavyFraction, w.HeavyClass = t.Part, t.Kind
		case "shift":
			w.For, w.Fraction, w.Factor = 0, t.Part, 0
			for i, z := range d.ProxyZones {
				if z == t.Zone {
					w.TargetProxies = append(w.TargetProxies, i)
				}
			}
		default:
			continue
		}
		l.Spikes = append(l.Spikes, w)
	}
	return l
}

// Request is one req drawn ahead.
type Request struct {
	At     time.Duration
	Proxy  int
	Class   int
	WorkMs float64
	Key    string
}

// Source draws the reqs of a day one after another.
type Source struct {
	load   Load
	random    *rand.Rand
	interarrival    distuv.Exponential
	peakRate   float64
	nowSeconds     float64 // s
	classShares  []float64
	work  []distuv.LogNormal
	byWeight chooser // by the weights of no swell
}

// NewSource begins a day.
func NewSource(l Load) *Source {
	src := rand.NewPCG(l.Seed, 23)
	s := &Source{load: l, random: rand.New(src), peakRate: l.Rate, byWeight: newChooser(l.Weights)}
	for _, w := range l.Spikes {
		s.peakRate = math.Max(s.peakRate, l.Rate*w.Factor)
	}
	s.interarrival = distuv.Exponential{Rate: s.peakRate, Src: src}
	for _, k := range l.Classes {
		sigma := math.Sqrt(math.Log(1 + k.CV*k.CV))
		s.classShares = append(s.classShares, k.Share)
		s.work = append(s.work, distuv.LogNormal{Mu: math.Log(k.WorkMs) - sigma*sigma/2, Sigma: sigma, Src: src})
	}
	return s
}

// Next returns the next req, or false at the day's end.
func (s *Source) Next() (Request, bool) {
	for {
		s.nowSeconds += s.interarrival.Rand()
		t := time.Duration(s.nowSeconds * float64(time.Second))
		if t >= s.load.Length {
			return Request{}, false
		}
		if a, taken := s.candidate(t); taken {
			return a, true
		}
	}
}

// candidate draws a req at a time; the swells that cover it thin it out from the peak's rate, or change it.
func (s *Source) candidate(t time.Duration) (a Request, taken bool) {
	rate, spread := s.load.Rate, s.byWeight
	heavy, heavyKind, times := 0.0, "", 1.0
	var weights []float64
	for _, w := range s.load.Spikes {
		if !w.covers(t) {
			continue
		}
		switch {
		case w.HeavyFraction > 0:
			heavy, heavyKind, times = w.HeavyFraction, w.HeavyClass, w.Factor
		case w.HotProxy > 0 || len(w.TargetProxies) > 0:
			if weights == nil {
				weights = slices.Clone(s.load.Weights)
			}
			to := w.TargetProxies
			if w.HotProxy > 0 {
				to = []int{w.HotProxy - 1}
			}
			moveWeight(weights, to, w.Fraction)
		case w.Factor > 0:
			rate *= w.Factor
		}
	}
	if s.random.Float64() >= rate/s.peakRate {
		return a, false
	}
	if weights != nil {
		spread = newChooser(weights)
	}
	a = Request{At: t, Proxy: spread.draw(s.random), Class: drawIndex(s.random, s.classShares)}
	a.WorkMs = s.work[a.Class].Rand()
	if heavy > 0 && (heavyKind == "" || heavyKind == s.load.Classes[a.Class].Name) && s.random.Float64() < heavy {
		a.WorkMs *= times
	}
	if s.load.Keys > 0 {
		a.Key = Key(s.random.IntN(s.load.Keys))
	}
	return a, true
}

// chooser draws by weight.
type chooser []float64 // sums up to each

func newChooser(weights []float64) chooser {
	c, sum := make(chooser, 0, len(weights)), 0.0
	for _, w := range weights {
		sum += w
		c = append(c, sum)
	}
	return c
}

func (c chooser) draw(rnd *rand.Rand) int {
	i, _ := slices.BinarySearch(c, rnd.Float64()*c[len(c)-1])
	return min(i, len(c)-1)
}

// Key is a key by its number; their order is that of the numbers.
func Key(i int) string { return fmt.Sprintf("key-%06d", i) }

// moveWeight moves a part of all weight to some of the proxies.
func moveWeight(weights []float64, to []int, part float64) {
	sum, mine := 0.0, 1e-9
	for i, w := range weights {
		sum += w
		if slices.Contains(to, i) {
			mine += w
		}
	}
	for i := range weights {
		had := weights[i]
		weights[i] *= 1 - part
		if slices.Contains(to, i) {
			weights[i] += part * sum * had / mine
		}
	}
}

func drawIndex(rnd *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := rnd.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// Clients asks.
type Clients struct {
	Load Load
	Events *eventlog.Stream
	Proxies  []*proxy.Client // by proxy
}

// NewClients returns a crowd whose askers dial the addresses.
func NewClients(l Load, book *eventlog.Stream, addresses []string) *Clients {
	c := &Clients{Load: l, Events: book}
	dial := (&net.Dialer{}).DialContext
	for _, a := range addresses {
		c.Proxies = append(c.Proxies, proxy.NewClient(a, dial, 250*time.Millisecond))
	}
	return c
}

// Run asks all reqs at their times and returns when the last has ended.
func (c *Clients) Run(ctx context.Context) {
	start := time.Now()
	var wg sync.WaitGroup
	source := NewSource(c.Load)
	for i := 0; ; i++ {
		a, more := source.Next()
		if !more {
			break
		}
		if d := time.Until(start.Add(a.At)); d > 0 {
			t := time.NewTimer(d)
			select {
			case <-t.C:
			case <-ctx.Done():
			}
			t.Stop()
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { c.run(ctx, uint64(i+1), a) })
	}
	wg.Wait()
	for _, a := range c.Proxies {
		a.Close()
	}
}

// run takes a req through its retries.
func (c *Clients) run(ctx context.Context, name uint64, a Request) {
	k := c.Load.Classes[a.Class]
	c.Events.Add(eventlog.Event{What: eventlog.Asked, Kind: k.Name, Req: name})
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, k.Timeout)
	defer cancel()
	outcome := "errored"
	for try := 0; ; try++ {
		left := time.Until(start.Add(k.Timeout))
		ans, err := c.Proxies[a.Proxy].Do(ctx, &wire.Req{Name: name, Kind: k.Name, Key: a.Key, From: "client", WorkMs: a.WorkMs,
			LimitMs: float64(left) / float64(time.Millisecond)})
		never := proxy.NotSent(err) || err == nil && ans.Outcome == wire.Denied
		if err == nil && ans.Outcome == wire.Fine {
			outcome = "done"
			break
		}
		if outcome = "errored"; never {
			outcome = "denied"
		}
		if try >= c.Load.Retries || !never && !k.Replayable {
			break
		}
		wait := c.Load.Backoff
		if ans != nil {
			wait = max(wait, time.Duration(ans.ComeBackMs*float64(time.Millisecond)))
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil {
			break
		}
	}
	took := float64(time.Since(start)) / float64(time.Millisecond)
	c.Events.Add(eventlog.Event{What: eventlog.Answered, Kind: k.Name, Req: name, Value: took, Text: outcome})
}
