// Package client is a stand-in for the clients: an open loop of reqs drawn ahead from a seed, asked of the proxies
// when their time comes whether or not earlier ones are answered, with retries and client timeouts.
package client

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

	"indigousher/internal/standin/proxy"
	"indigousher/internal/standin/trail"
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
	Swells  []Swell
}

// Swell changes the load for a while. Fields of 0 change nothing.
type Swell struct {
	From, For   time.Duration
	Times       float64 // all reqs
	Caller      int     // one proxy's share grows to Part, from 1; 0: none
	Part        float64
	Heavy       float64 // part of a kind's reqs whose work is Times as much
	Kind        string  // with Heavy
	TowardsZone []int   // proxies to which Part of all reqs moves, for good if For is 0
}

func (s Swell) covers(at time.Duration) bool {
	return at >= s.From && (s.For == 0 || at < s.From+s.For)
}

// Asked is one req drawn ahead.
type Asked struct {
	At     time.Duration
	Proxy  int
	Kind   int
	WorkMs float64
	Key    string
}

// Draw draws the reqs of a day.
func Draw(l Load) []Asked {
	src := rand.NewPCG(l.Seed, 23)
	rnd := rand.New(src)
	var all []Asked
	peak := l.Rate
	for _, s := range l.Swells {
		peak = math.Max(peak, l.Rate*s.Times)
	}
	gap := distuv.Exponential{Rate: peak, Src: src}
	for at := 0.0; ; {
		at += gap.Rand()
		t := time.Duration(at * float64(time.Second))
		if t >= l.Over {
			return all
		}
		rate := l.Rate
		weights := slices.Clone(l.Weights)
		heavy, heavyKind, times := 0.0, "", 1.0
		for _, s := range l.Swells {
			if !s.covers(t) {
				continue
			}
			switch {
			case s.Heavy > 0:
				heavy, heavyKind, times = s.Heavy, s.Kind, s.Times
			case s.Caller > 0:
				shift(weights, []int{s.Caller - 1}, s.Part)
			case len(s.TowardsZone) > 0:
				shift(weights, s.TowardsZone, s.Part)
			case s.Times > 0:
				rate *= s.Times
			}
		}
		if rnd.Float64() >= rate/peak { // thinned from the peak's rate
			continue
		}
		a := Asked{At: t, Proxy: pick(rnd, weights), Kind: pickKind(rnd, l.Kinds)}
		k := l.Kinds[a.Kind]
		sigma := math.Sqrt(math.Log(1 + k.CV*k.CV))
		a.WorkMs = distuv.LogNormal{Mu: math.Log(k.WorkMs) - sigma*sigma/2, Sigma: sigma, Src: src}.Rand()
		if heavy > 0 && (heavyKind == "" || heavyKind == k.Name) && rnd.Float64() < heavy {
			a.WorkMs *= times
		}
		if l.Keys > 0 {
			a.Key = Key(rnd.IntN(l.Keys))
		}
		all = append(all, a)
	}
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

func pickKind(rnd *rand.Rand, kinds []Kind) int {
	w := make([]float64, len(kinds))
	for i, k := range kinds {
		w[i] = k.Share
	}
	return pick(rnd, w)
}

// Crowd asks.
type Crowd struct {
	Load Load
	Book *trail.Trail
	Ask  []*proxy.Asker // by proxy
}

// NewCrowd returns a crowd whose askers dial the addresses.
func NewCrowd(l Load, book *trail.Trail, addresses []string) *Crowd {
	c := &Crowd{Load: l, Book: book}
	dial := (&net.Dialer{}).DialContext
	for _, a := range addresses {
		c.Ask = append(c.Ask, proxy.NewAsker(a, dial, 250*time.Millisecond))
	}
	return c
}

// Run asks all reqs at their times and returns when the last has ended.
func (c *Crowd) Run(ctx context.Context) {
	start := time.Now()
	var wg sync.WaitGroup
	for i, a := range Draw(c.Load) {
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
func (c *Crowd) one(ctx context.Context, name uint64, a Asked) {
	k := c.Load.Kinds[a.Kind]
	c.Book.Add(trail.Event{What: trail.Asked, Kind: k.Name, Req: name})
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
	c.Book.Add(trail.Event{What: trail.Answered, Kind: k.Name, Req: name, Value: took, Text: outcome})
}
