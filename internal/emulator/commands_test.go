package emulator_test

import (
	"flag"
	"fmt"
	"hash/crc64"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/controller"
	"indigousher/internal/emulator"
	"indigousher/internal/record"
	"indigousher/internal/scenario"
	"indigousher/internal/search"
	"indigousher/planner"
)

var update = flag.Bool("update", false, "rewrite the golden digests; use only if decisions change on purpose")

// goldenPath is the golden file. It has one line for each sequence: its name, the number of turns of all pilots, and
// a digest of the commands and the time of each turn. It was written at commit 7c7c6c6.
const goldenPath = "testdata/commands.golden"

// sequence is a scenario whose events are always the same: a fleet of fixed size and the faults injected into it.
type sequence struct {
	name string
	read func() (*scenario.Scenario, error)
}

// sequences returns scenarios that together contain each fault type of scenario files, with 2 to 500 proxies.
func sequences() (all []sequence) {
	for _, name := range scenario.Names() {
		all = append(all, sequence{name, func() (*scenario.Scenario, error) { return scenario.Load(name) }})
	}
	for _, x := range []struct {
		name    string
		proxies int
	}{{"bad-day-short", 2}, {"errors", 2}, {"slices", 2}, {"replacement", 150}, {"proxies", 150}, {"bad-day-short", 500}, {"zone-loss", 500}} {
		all = append(all, sequence{fmt.Sprintf("%s with %d proxies", x.name, x.proxies), func() (*scenario.Scenario, error) {
			return resized(x.name, x.proxies)
		}})
	}
	for _, seed := range drawnSeeds {
		all = append(all, sequence{fmt.Sprintf("drawn %d", seed), func() (*scenario.Scenario, error) { return search.Draw(seed, 9).Scenario() }})
	}
	return all
}

// drawnSeeds are the seeds of scenarios that the search generates. They have overlapping faults, including fault
// types that no embedded scenario has.
var drawnSeeds = []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24}

// resized returns an embedded scenario with a different number of proxies, which are distributed over its zones in
// the same proportions.
func resized(name string, proxies int) (*scenario.Scenario, error) {
	d, err := scenario.Load(name)
	if err != nil {
		return nil, err
	}
	zones := d.ProxyZones
	d.ProxyZones = nil
	for i := range proxies {
		d.ProxyZones = append(d.ProxyZones, zones[i*len(zones)/proxies])
	}
	d.Proxies = proxies
	return d, nil
}

// turnLog collects a line with the digest of the commands for each turn of the pilots in one run.
type turnLog struct {
	mu    sync.Mutex
	turns int
	lines strings.Builder
}

func (l *turnLog) add(seed int64, nowMs float64, commands []planner.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turns++
	fmt.Fprintf(&l.lines, "%d %v %016x\n", seed, nowMs, record.Digest(commands))
}

// digested wraps a decider and adds the digest of its commands to a turnLog.
type digested struct {
	controller.Decider
	seed int64
	log  *turnLog
}

func (d digested) Handle(nowMs float64, events []planner.Event) []planner.Command {
	commands := d.Decider.Handle(nowMs, events)
	d.log.add(d.seed, nowMs, commands)
	return commands
}

// TestCommandsStay guards against refactorings that change decisions. It runs fixed sequences of events and compares
// the planner's commands in each turn with digests in the golden file, which were taken before the code was
// restructured.
func TestCommandsStay(t *testing.T) {
	all := sequences()
	got := make([]string, len(all))
	t.Run("play", func(t *testing.T) {
		for i, s := range all {
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				d, err := s.read()
				require.NoError(t, err)
				log := &turnLog{}
				decide := func(seed int64, settings map[string]any) controller.Decider {
					return digested{planner.New(seed, settings), seed, log}
				}
				_, err = emulator.Play{Scenario: d, Decide: decide}.Run(t.Context())
				require.NoError(t, err)
				sum := crc64.Checksum([]byte(log.lines.String()), crc64.MakeTable(crc64.ECMA))
				got[i] = fmt.Sprintf("%s: %d turns, %016x", s.name, log.turns, sum)
			})
		}
	})
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(goldenPath), 0o755))
		require.NoError(t, os.WriteFile(goldenPath, []byte(strings.Join(got, "\n")+"\n"), 0o644))
	}
	golden, err := os.ReadFile(goldenPath)
	require.NoError(t, err)
	assert.Equal(t, strings.Split(strings.TrimSpace(string(golden)), "\n"), got)
}

// TestSequencesCoverFaults checks that each fault type occurs in at least one sequence, so that TestCommandsStay
// covers all of them.
func TestSequencesCoverFaults(t *testing.T) {
	covered := map[string]bool{}
	for _, s := range sequences() {
		d, err := s.read()
		require.NoError(t, err)
		for _, fault := range d.Faults {
			covered[fault.Type] = true
		}
	}
	for _, what := range []string{
		"hang", "fast_errors", "class_fail", "vanish", "crash", "restart", "drain", "preempt", "replace",
		"flapping", "zone_cut", "zone_loss", "slow_link", "handshake_slow", "proxy_crash", "proxy_roll", "pilot_kill",
		"pilot_roll", "reconnect", "counter_down", "burst", "hot_caller", "heavy_tail", "shift", "list_down", "list_all",
		"reload", "mute_proxy", "report_burst", "answers_twice", "silent", "handover", "slice_move", "pause", "pilot_pause",
	} {
		assert.Contains(t, covered, what)
	}
	proxies := []int{}
	for _, s := range sequences() {
		d, err := s.read()
		require.NoError(t, err)
		proxies = append(proxies, len(d.ProxyZones))
	}
	assert.Equal(t, 2, slices.Min(proxies))
	assert.Equal(t, 500, slices.Max(proxies))
}
