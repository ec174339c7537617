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

// Parameters of the random outages.
const (
	silenceSeeds    = 6                     // number of seeds; the environment variable SILENCE_SEEDS overrides it
	silencesLast    = 30 * time.Second      // time in which outages start and endpoints drain
	drainedFor      = 7 * time.Second       // minimum time after which a draining endpoint becomes active again
	lookEach        = 20 * time.Millisecond // interval of the checks
	mostAtOnce      = 3                     // maximum number of endpoints that start to drain at the same time
	leastLeftActive = 12                    // number of endpoints that are kept active, about
)

// failureWaits is the time for which deadlines stay suspended after an outage ends. The rules suspend them for 1.5 s
// from the last call that got no response or an unreadable one, and for 0.5 s from the last call that was reset. The
// last call may have been made 0.6 s and 0.35 s, respectively, before the end of the outage.
var failureWaits = map[relay.Failure]time.Duration{
	relay.Silent:     900 * time.Millisecond,
	relay.Unreadable: 1150 * time.Millisecond,
	relay.Resetting:  150 * time.Millisecond,
}

// span is a period in which something fails, relative to the start of the run.
type span struct{ from, to time.Duration }

// silencePlan is a random sequence of outages and drains.
type silencePlan struct {
	silences []span          // outages of the relay
	failures []relay.Failure // how the relay fails, for each outage
	carried  []float64       // probability that a call received during the outage is executed, for each outage
	lost     []span          // periods in which event streams are broken and mark acknowledgements are lost
	drains   []time.Duration // times at which endpoints start to drain, relative to the start of the run
}

// drawSilences returns a random plan.
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

// deadline returns the time by which proxies must have stopped using an endpoint that started to drain at the time
// told. The grace period is suspended during outages.
func (p silencePlan) deadline(told time.Duration) time.Duration {
	end := told + silenceGrace + silenceSlack
	for i, s := range p.silences {
		if until := s.to + failureWaits[p.failures[i]]; s.from < end && until > told {
			end += until - max(told, s.from)
		}
	}
	return end
}

// silentDay executes a plan and checks that proxies stop using draining endpoints in time.
type silentDay struct {
	*silentSite
	plan    silencePlan
	random  *rand.Rand
	began   time.Time
	drained map[string]time.Duration // draining endpoints, with the time at which they started to drain
	silent  int                      // number of outages that have started
	ended   int                      // number of outages that have ended
	losing  bool                     // whether the event streams are broken
	broken  map[string]bool          // endpoints that were not drained in time
}

// now returns the time since the start of the run.
func (d *silentDay) now() time.Duration { return time.Since(d.began) }

// play executes the plan.
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

// strike starts and ends outages of the relay and of the event streams according to the plan.
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

// drainSome reactivates endpoints that have been draining long enough, and lets other random endpoints drain.
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

// look reports an error for each endpoint that proxies still send to after its deadline.
func (d *silentDay) look() {
	for name, told := range d.drained {
		if d.now() <= d.plan.deadline(told) || d.broken[name] {
			continue
		}
		if senders := d.relay.Senders(name); len(senders) > 0 {
			d.broken[name] = true
			d.t.Errorf("%s draining since %v is used by %d proxies at %v, deadline %v", name, told, len(senders), d.now(),
				d.plan.deadline(told))
		}
	}
}

// TestDrainsUnderSeededSilences checks drains during random outages, with a real process. Repeatedly, the relay does
// not respond, resets calls or sends unreadable responses for 0.3 to 8 s, and executes all, half or none of the calls
// that it receives meanwhile. Event streams are broken for up to a second, and mark acknowledgements are lost with
// them. Endpoints drain and return. Proxies must stop using draining endpoints within the grace period, which is
// suspended during outages, and the number of queued lines must stay within the backlog.
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
			t.Logf("%d outages, %d drains, at most %d queued lines", len(d.plan.silences), len(d.plan.drains), most)
			assert.LessOrEqual(t, most, silenceBacklog, "maximum number of queued lines")
		})
	}
}
