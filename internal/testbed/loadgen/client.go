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

// Kind is a kind of req as clients ask it.
type Kind struct {
	Name       string
	Share      float64
	WorkMs, CV float64
	Timeout    time.Duration
	Replayable bool // may be asked again after any failure; others only once it is known that nothing ran
}

// Load is what clients ask for.
type Load struct {
	Kinds   []Kind
	Rate    float64 // reqs a second, all proxies together
	Weights []float64
	Over    time.Duration
	Retries int
	Backoff time.Duration
	Seed    uint64
	Keys    int // 0: reqs have none
	Swells  []Spike
}

// Spike changes the load for a while. Fields of 0 change nothing.
type Spike struct {
	From, For   time.Duration
	Times       float64 // all reqs
	Caller      int     // one proxy's share grows to Part, from 1; 0: none
	Part        float64
	Heavy       float64 // part of a kind's reqs whose work is Times as much
	Kind        string  // with Heavy
	TowardsZone []int   // proxies to which Part of all reqs moves, for good if For is 0
}

func (s Spike) covers(at time.Duration) bool {
	return at >= s.From && (s.For == 0 || at < s.From+s.For)
}

// Of makes the clients' load of a day and of its troubles. Callers' weights are drawn from the day's seed, the same on
// sockets and in virtual time.
func Of(d *scenario.Scenario) Load {
	rnd := rand.New(rand.NewPCG(uint64(d.Seed), 47))
	l := Load{Rate: d.Rate, Over: d.Length, Retries: d.Retries, Backoff: d.Backoff, Seed: uint64(d.Seed),
		Keys: d.Slices * scenario.KeysPerSlice}
	for _, x := range d.Demands {
		k := d.Kinds[slices.Index(d.ClassNames(), x.Kind)]
		l.Kinds = append(l.Kinds, Kind{Name: x.Kind, Share: x.Share, CV: x.CV, Timeout: k.ClientTimeout,
			WorkMs: float64(x.Work) / float64(time.Millisecond), Replayable: k.Repeats != "non-replayable"})
	}
	for range d.ProxyZones {
		l.Weights = append(l.Weights, math.Exp(d.Uneven*rnd.NormFloat64()))
	}
	for _, t := range d.Faults {
		w := Spike{From: t.At, For: t.For, Times: t.Size}
		switch t.What {
		case "burst":
		case "hot_caller":
			w.Caller, w.Part, w.Times = 1, t.Part, 0
		case "heavy_tail":
			w.Heavy, w.Kind = t.Part, t.Kind
		case "shift":
			w.For, w.Part, w.Times = 0, t.Part, 0
			for i, z := range d.ProxyZones {
				if z == t.Zone {
					w.TowardsZone = append(w.TowardsZone, i)
				}
			}
		default:
			continue
		}
		l.Swells = append(l.Swells, w)
	}
	return l
}

// Request is one req drawn ahead.
type Request struct {
	At     time.Duration
	Proxy  int
	Kind   int
	WorkMs float64
	Key    string
}

// Source draws the reqs of a day one after another.
type Source struct {
	load   Load
	rnd    *rand.Rand
	gap    distuv.Exponential
	peak   float64
	at     float64 // s
	kinds  []float64
	works  []distuv.LogNormal
	spread chooser // by the weights of no swell
}

// NewSource begins a day.
func NewSource(l Load) *Source {
	src := rand.NewPCG(l.Seed, 23)
	s := &Source{load: l, rnd: rand.New(src), peak: l.Rate, spread: newChooser(l.Weights)}
	for _, w := range l.Swells {
		s.peak = math.Max(s.peak, l.Rate*w.Times)
	}
	s.gap = distuv.Exponential{Rate: s.peak, Src: src}
	for _, k := range l.Kinds {
		sigma := math.Sqrt(math.Log(1 + k.CV*k.CV))
		s.kinds = append(s.kinds, k.Share)
		s.works = append(s.works, distuv.LogNormal{Mu: math.Log(k.WorkMs) - sigma*sigma/2, Sigma: sigma, Src: src})
	}
	return s
}

// Next returns the next req, or false at the day's end.
func (s *Source) Next() (Request, bool) {
	for {
		s.at += s.gap.Rand()
		t := time.Duration(s.at * float64(time.Second))
		if t >= s.load.Over {
			return Request{}, false
		}
		if a, taken := s.one(t); taken {
			return a, true
		}
	}
}

// one draws a req at a time; the swells that cover it thin it out from the peak's rate, or change it.
func (s *Source) one(t time.Duration) (a Request, taken bool) {
	rate, spread := s.load.Rate, s.spread
	heavy, heavyKind, times := 0.0, "", 1.0
	var weights []float64
	for _, w := range s.load.Swells {
		if !w.covers(t) {
			continue
		}
		switch {
		case w.Heavy > 0:
			heavy, heavyKind, times = w.Heavy, w.Kind, w.Times
		case w.Caller > 0 || len(w.TowardsZone) > 0:
			if weights == nil {
				weights = slices.Clone(s.load.Weights)
			}
			to := w.TowardsZone
			if w.Caller > 0 {
				to = []int{w.Caller - 1}
			}
			shift(weights, to, w.Part)
		case w.Times > 0:
			rate *= w.Times
		}
	}
	if s.rnd.Float64() >= rate/s.peak {
		return a, false
	}
	if weights != nil {
		spread = newChooser(weights)
	}
	a = Request{At: t, Proxy: spread.draw(s.rnd), Kind: pick(s.rnd, s.kinds)}
	a.WorkMs = s.works[a.Kind].Rand()
	if heavy > 0 && (heavyKind == "" || heavyKind == s.load.Kinds[a.Kind].Name) && s.rnd.Float64() < heavy {
		a.WorkMs *= times
	}
	if s.load.Keys > 0 {
		a.Key = Key(s.rnd.IntN(s.load.Keys))
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

// shift moves a part of all weight to some of the proxies.
func shift(weights []float64, to []int, part float64) {
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

func pick(rnd *rand.Rand, weights []float64) int {
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
	Book *eventlog.Stream
	Ask  []*proxy.Asker // by proxy
}

// NewClients returns a crowd whose askers dial the addresses.
func NewClients(l Load, book *eventlog.Stream, addresses []string) *Clients {
	c := &Clients{Load: l, Book: book}
	dial := (&net.Dialer{}).DialContext
	for _, a := range addresses {
		c.Ask = append(c.Ask, proxy.NewAsker(a, dial, 250*time.Millisecond))
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
		wg.Go(func() { c.one(ctx, uint64(i+1), a) })
	}
	wg.Wait()
	for _, a := range c.Ask {
		a.Close()
	}
}

// one takes a req through its retries.
func (c *Clients) one(ctx context.Context, name uint64, a Request) {
	k := c.Load.Kinds[a.Kind]
	c.Book.Add(eventlog.Event{What: eventlog.Asked, Kind: k.Name, Req: name})
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, k.Timeout)
	defer cancel()
	outcome := "errored"
	for try := 0; ; try++ {
		left := time.Until(start.Add(k.Timeout))
		ans, err := c.Ask[a.Proxy].Ask(ctx, &wire.Req{Name: name, Kind: k.Name, Key: a.Key, From: "client", WorkMs: a.WorkMs,
			LimitMs: float64(left) / float64(time.Millisecond)})
		never := proxy.Never(err) || err == nil && ans.Outcome == wire.Denied
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
	c.Book.Add(eventlog.Event{What: eventlog.Answered, Kind: k.Name, Req: name, Value: took, Text: outcome})
}
