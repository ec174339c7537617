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
	outageSeeds     = 6                     // number of seeds; the environment variable SILENCE_SEEDS overrides it
	faultPeriod     = 30 * time.Second      // time in which outages start and endpoints drain
	minDrainTime    = 7 * time.Second       // minimum time after which a draining endpoint becomes active again
	checkInterval   = 20 * time.Millisecond // interval of the checks
	maxDrainsAtOnce = 3                     // maximum number of endpoints that start to drain at the same time
	minActive       = 12                    // number of endpoints that are kept active, about
)

// suspensionAfter is the time for which deadlines stay suspended after an outage ends. The rules suspend them for 1.5 s
// from the last call that got no response or an unreadable one, and for 0.5 s from the last call that was reset. The
// last call may have been made 0.6 s and 0.35 s, respectively, before the end of the outage.
var suspensionAfter = map[relay.Failure]time.Duration{
	relay.Silent:     900 * time.Millisecond,
	relay.Unreadable: 1150 * time.Millisecond,
	relay.Resetting:  150 * time.Millisecond,
}

// span is a period in which something fails, relative to the start of the run.
type span struct{ from, to time.Duration }

// outagePlan is a random sequence of outages and drains.
type outagePlan struct {
	outages          []span          // outages of the relay
	failures         []relay.Failure // how the relay fails, for each outage
	executionChances []float64       // probability that a call received during the outage is executed, for each outage
	streamLosses     []span          // periods in which event streams are broken and mark acknowledgements are lost
	drains           []time.Duration // times at which endpoints start to drain, relative to the start of the run
}

// randomPlan returns a random plan.
func randomPlan(r *rand.Rand) (p outagePlan) {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(r.Int64N(int64(most-least)))
	}
	for at := between(time.Second, 3*time.Second); at < faultPeriod-12*time.Second; {
		s := span{at, at + between(300*time.Millisecond, 8*time.Second)}
		p.outages = append(p.outages, s)
		kinds := []relay.Failure{relay.Silent, relay.Silent, relay.Unreadable, relay.Resetting}
		p.failures = append(p.failures, kinds[r.IntN(len(kinds))])
		p.executionChances = append(p.executionChances, []float64{0, 0.5, 1}[r.IntN(3)])
		at = s.to + between(500*time.Millisecond, 6*time.Second)
	}
	for at := between(0, 4*time.Second); at < faultPeriod; at += between(2*time.Second, 8*time.Second) {
		p.streamLosses = append(p.streamLosses, span{at, at + between(100*time.Millisecond, time.Second)})
	}
	for at := between(0, 2*time.Second); at < faultPeriod; at += between(500*time.Millisecond, 3*time.Second) {
		p.drains = append(p.drains, at)
	}
	return p
}

// deadline returns the time by which proxies must have stopped using an endpoint that started to drain at the time
// drainedAt. The grace period is suspended during outages.
func (p outagePlan) deadline(drainedAt time.Duration) time.Duration {
	end := drainedAt + drainGrace + graceTolerance
	for i, s := range p.outages {
		if until := s.to + suspensionAfter[p.failures[i]]; s.from < end && until > drainedAt {
			end += until - max(drainedAt, s.from)
		}
	}
	return end
}

// outageRun executes a plan and checks that proxies stop using draining endpoints in time.
type outageRun struct {
	*outageSite
	plan           outagePlan
	random         *rand.Rand
	began          time.Time
	drainingSince  map[string]time.Duration // draining endpoints, with the time at which they started to drain
	startedOutages int                      // number of outages that have started
	endedOutages   int                      // number of outages that have ended
	streamsBroken  bool                     // whether the event streams are broken
	late           map[string]bool          // endpoints that were not drained in time
}

// now returns the time since the start of the run.
func (d *outageRun) now() time.Duration { return time.Since(d.began) }

// play executes the plan.
func (d *outageRun) play() {
	d.began = time.Now()
	for drains := 0; d.now() < faultPeriod+drainGrace; time.Sleep(checkInterval) {
		d.updateFaults()
		if drains < len(d.plan.drains) && d.now() >= d.plan.drains[drains] {
			drains++
			d.drainSome()
		}
		d.checkDeadlines()
	}
}

// updateFaults starts and ends outages of the relay and of the event streams according to the plan.
func (d *outageRun) updateFaults() {
	if d.startedOutages < len(d.plan.outages) && d.now() >= d.plan.outages[d.startedOutages].from {
		chance := d.plan.executionChances[d.startedOutages]
		seed := d.random.Uint64()
		d.relay.Fail(d.plan.failures[d.startedOutages], func(n int) bool {
			return rand.New(rand.NewPCG(seed, uint64(n))).Float64() < chance
		})
		d.startedOutages++
	}
	if d.endedOutages < d.startedOutages && d.now() >= d.plan.outages[d.endedOutages].to {
		d.relay.Recover()
		d.endedOutages++
	}
	streamsBroken := slices.ContainsFunc(d.plan.streamLosses, func(s span) bool { return s.from <= d.now() && d.now() < s.to })
	if streamsBroken != d.streamsBroken {
		d.streamsBroken = streamsBroken
		d.relay.BreakStreams(streamsBroken)
	}
}

// drainSome reactivates endpoints that have been draining long enough, and lets other random endpoints drain.
func (d *outageRun) drainSome() {
	var back, out []string
	for name, drainedAt := range d.drainingSince {
		if d.now() > max(drainedAt+minDrainTime, d.plan.deadline(drainedAt)) {
			back = append(back, name)
			delete(d.drainingSince, name)
		}
	}
	for range 1 + d.random.IntN(maxDrainsAtOnce) {
		name := fmt.Sprint("s-", d.random.IntN(outageEndpoints))
		if _, drains := d.drainingSince[name]; drains || len(d.drainingSince) > outageEndpoints-minActive {
			continue
		}
		d.drainingSince[name] = d.now()
		out = append(out, name)
	}
	if len(back) > 0 {
		d.catalog.Set(catalog.Active, back...)
	}
	if len(out) > 0 {
		d.catalog.Set(catalog.Leaving, out...)
	}
}

// checkDeadlines reports an error for each endpoint that proxies still send to after its deadline.
func (d *outageRun) checkDeadlines() {
	for name, drainedAt := range d.drainingSince {
		if d.now() <= d.plan.deadline(drainedAt) || d.late[name] {
			continue
		}
		if senders := d.relay.Senders(name); len(senders) > 0 {
			d.late[name] = true
			d.t.Errorf("%s draining since %v is used by %d proxies at %v, deadline %v", name, drainedAt, len(senders), d.now(),
				d.plan.deadline(drainedAt))
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
	seeds := outageSeeds
	if asked, err := strconv.Atoi(os.Getenv("SILENCE_SEEDS")); err == nil {
		seeds = asked
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(uint64(seed), 29))
			d := &outageRun{
				plan: randomPlan(random), random: random, drainingSince: map[string]time.Duration{},
				late: map[string]bool{},
			}
			d.outageSite = startOutageSite(t, binary)
			d.settle()
			d.play()
			_, most := d.relay.Waiting()
			t.Logf("%d outages, %d drains, at most %d queued lines", len(d.plan.outages), len(d.plan.drains), most)
			assert.LessOrEqual(t, most, outageBacklog, "maximum number of queued lines")
		})
	}
}
