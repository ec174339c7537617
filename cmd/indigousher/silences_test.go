package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/testbed/catalog"
	"indigousher/internal/testbed/relay"
)

// Figures of the seeded silences.
const (
	silenceSeeds    = 6 // in CI; SILENCE_SEEDS asks for more
	silencesLast    = 30 * time.Second
	drainedFor      = 7 * time.Second // until an endpoint is listed as active again
	lookEach        = 20 * time.Millisecond
	mostAtOnce      = 3 // endpoints that drain at once
	leastLeftActive = 12
)

// failureWaits is how long limits still wait after a failure. The rules give 1.5 s from the last call that was silent
// or unreadable and 0.5 s from one that was reset; the last call may be 0.6 and 0.35 s before the failure's end.
var failureWaits = map[relay.Failure]time.Duration{
	relay.Silent:     900 * time.Millisecond,
	relay.Unreadable: 1150 * time.Millisecond,
	relay.Resetting:  150 * time.Millisecond,
}

// span is a time in which something fails.
type span struct{ from, to time.Duration }

// silencePlan is what a seed draws.
type silencePlan struct {
	silences []span
	failures []relay.Failure // how the relay fails in each
	carried  []float64       // the chance that a call read in that silence is carried out
	lost     []span          // times in which the event streams are broken and answers to marks are lost
	drains   []time.Duration
}

func drawSilences(r *rand.Rand) (p silencePlan) {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(r.Int64N(int64(most-least)))
	}
	for at := between(time.Second, 3*time.Second); at < silencesLast-12*time.Second; {
		s := span{at, at + between(300*time.Millisecond, 8*time.Second)}
		p.silences = append(p.silences, s)
		kinds := []relay.Failure{relay.Silent, relay.Silent, relay.Unreadable, relay.Resetting}
		p.failures = append(p.failures, kinds[r.IntN(len(kinds))])
		p.carried = append(p.carried, []float64{0, 0.5, 1}[r.IntN(3)])
		at = s.to + between(500*time.Millisecond, 6*time.Second)
	}
	for at := between(0, 4*time.Second); at < silencesLast; at += between(2*time.Second, 8*time.Second) {
		p.lost = append(p.lost, span{at, at + between(100*time.Millisecond, time.Second)})
	}
	for at := between(0, 2*time.Second); at < silencesLast; at += between(500*time.Millisecond, 3*time.Second) {
		p.drains = append(p.drains, at)
	}
	return p
}

// deadline returns when a drain has to be kept that was told at some time: silences stop the clock.
func (p silencePlan) deadline(told time.Duration) time.Duration {
	end := told + silenceGrace + silenceSlack
	for i, s := range p.silences {
		if until := s.to + failureWaits[p.failures[i]]; s.from < end && until > told {
			end += until - max(told, s.from)
		}
	}
	return end
}

// silentDay plays a plan and checks what the proxies do.
type silentDay struct {
	*silentSite
	plan    silencePlan
	random  *rand.Rand
	began   time.Time
	drained map[string]time.Duration // endpoints that drain, and when that was told
	silent  int                      // silences begun
	ended   int
	losing  bool
	broken  map[string]bool // drains not kept
}

func (d *silentDay) now() time.Duration { return time.Since(d.began) }

func (d *silentDay) play() {
	d.began = time.Now()
	for drains := 0; d.now() < silencesLast+silenceGrace; time.Sleep(lookEach) {
		d.strike()
		if drains < len(d.plan.drains) && d.now() >= d.plan.drains[drains] {
			drains++
			d.drainSome()
		}
		d.look()
	}
}

// strike begins and ends silences and losses.
func (d *silentDay) strike() {
	if d.silent < len(d.plan.silences) && d.now() >= d.plan.silences[d.silent].from {
		chance := d.plan.carried[d.silent]
		seed := d.random.Uint64()
		d.relay.Fail(d.plan.failures[d.silent], func(n int) bool {
			return rand.New(rand.NewPCG(seed, uint64(n))).Float64() < chance
		})
		d.silent++
	}
	if d.ended < d.silent && d.now() >= d.plan.silences[d.ended].to {
		d.relay.Recover()
		d.ended++
	}
	losing := slices.ContainsFunc(d.plan.lost, func(s span) bool { return s.from <= d.now() && d.now() < s.to })
	if losing != d.losing {
		d.losing = losing
		d.relay.BreakStreams(losing)
	}
}

// drainSome has endpoints return that drained long ago, and others drain.
func (d *silentDay) drainSome() {
	var back, out []string
	for name, told := range d.drained {
		if d.now() > max(told+drainedFor, d.plan.deadline(told)) {
			back = append(back, name)
			delete(d.drained, name)
		}
	}
	for range 1 + d.random.IntN(mostAtOnce) {
		name := fmt.Sprint("s-", d.random.IntN(silenceEndpoints))
		if _, drains := d.drained[name]; drains || len(d.drained) > silenceEndpoints-leastLeftActive {
			continue
		}
		d.drained[name] = d.now()
		out = append(out, name)
	}
	if len(back) > 0 {
		d.catalog.Set(catalog.Active, back...)
	}
	if len(out) > 0 {
		d.catalog.Set(catalog.Leaving, out...)
	}
}

// look notes drains that are past their limit and still sent to.
func (d *silentDay) look() {
	for name, told := range d.drained {
		if d.now() <= d.plan.deadline(told) || d.broken[name] {
			continue
		}
		if senders := d.relay.Senders(name); len(senders) > 0 {
			d.broken[name] = true
			d.t.Errorf("%s, told %v, is sent to by %d proxies at %v, limit %v", name, told, len(senders), d.now(),
				d.plan.deadline(told))
		}
	}
}

// TestDrainsUnderSeededSilences plays drawn days with a real process: the relay is silent, resets its calls or answers
// in a form that can't be read for 0.3 to 8 s, again and again, and carries out all, half or none of what it reads
// meanwhile; event streams are broken for up to a second, with the answers to marks; endpoints drain and return. Drains
// are kept within the grace, which waits in silences, and the channel stays short.
func TestDrainsUnderSeededSilences(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "indigousher")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	seeds := silenceSeeds
	if asked, err := strconv.Atoi(os.Getenv("SILENCE_SEEDS")); err == nil {
		seeds = asked
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(uint64(seed), 29))
			d := &silentDay{
				plan: drawSilences(random), random: random, drained: map[string]time.Duration{},
				broken: map[string]bool{},
			}
			d.silentSite = startSilentSite(t, binary)
			d.settle()
			d.play()
			_, most := d.relay.Waiting()
			t.Logf("%d silences, %d drains, most lines %d", len(d.plan.silences), len(d.plan.drains), most)
			assert.LessOrEqual(t, most, silenceBacklog, "the channel stays short")
		})
	}
}
