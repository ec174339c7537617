package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/testbed/catalog"
	"indigousher/internal/testbed/relay"
)

// Parameters of the deployment whose relay stops responding.
const (
	outageProxies   = 80                     // number of proxies
	outageBacklog   = 1200                   // maximum number of queued lines
	drainGrace      = 3 * time.Second        // time within which proxies must stop using a draining endpoint
	graceTolerance  = 300 * time.Millisecond // tolerance that the rules allow on real sockets
	outageDuration  = 5 * time.Second        // duration of the relay's outage
	outageEndpoints = 30                     // number of endpoints
)

// lockedBuffer is a buffer that is safe for concurrent use: a test reads the log while a process writes it.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// outageSite is a pilot process that is connected to a fake relay and a fake endpoint catalog.
type outageSite struct {
	t       *testing.T
	relay   *relay.Relay
	catalog *catalog.Catalog
	log     lockedBuffer // output of the pilot process
}

// startOutageSite starts the relay, the catalog and a pilot process with the given program.
func startOutageSite(t *testing.T, binary string) *outageSite {
	zones, standing := []string{"a", "b", "c"}, map[string][]string{}
	var members []catalog.Member
	for i := range outageEndpoints {
		m := catalog.Member{Name: fmt.Sprint("s-", i), Zone: zones[i%len(zones)], Status: catalog.Active}
		members, standing[m.Zone] = append(members, m), append(standing[m.Zone], m.Name)
	}
	var proxies []relay.Proxy
	for i := range outageProxies {
		proxies = append(proxies, relay.Proxy{Number: i, Zone: zones[i%len(zones)], Rate: 10})
	}
	s := &outageSite{t: t}
	var err error
	s.relay, err = relay.Start(relay.Config{
		Proxies: proxies, StaticTable: standing, LinesPerSecond: 800, OverheadLines: 4,
		Transit: 150 * time.Millisecond,
	})
	require.NoError(t, err)
	t.Cleanup(s.relay.Close)
	s.catalog, err = catalog.Start(members)
	require.NoError(t, err)
	t.Cleanup(s.catalog.Close)
	s.startPilot(binary)
	return s
}

// startPilot starts the pilot process, which is stopped at the end of the test. If the test fails, its log is printed.
func (s *outageSite) startPilot(binary string) {
	listen, file := freePort(s.t), filepath.Join(s.t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":64,"sockets":256},
"relay":{"address":%q},"settings":{"dcs":["a","b","c"],"kinds":["m"],"instances":1,"rank":0,"discovery":"pushed",
"profiles":[{"name":"read"}],"report":{"fields":["cpu_share","served_ps"]},"extra":{"proxy_count":%d,"egress_per_s":800,"backlog":%d,
"envelope":4,"bootstrap":5,"pushes_allowed":30,"counted_over":1e10,"admission":"share"},"obligations":{"drain_grace":%d,"cold":1e10}}}`,
		listen, s.catalog.Address(), s.relay.Address(), outageProxies, outageBacklog, drainGrace.Nanoseconds())
	require.NoError(s.t, os.WriteFile(file, []byte(text), 0o600))
	c := exec.Command(binary, "pilot", "--platform")
	c.Env = append(os.Environ(), "NODE_CONFIG="+file, "NODE_NAME=n0", "NODE_LISTEN="+listen)
	c.Stderr, c.Stdout = &s.log, &s.log
	require.NoError(s.t, c.Start())
	s.t.Cleanup(func() {
		_ = c.Process.Signal(syscall.SIGTERM)
		_ = c.Wait()
		if s.t.Failed() {
			s.t.Log(s.log.String())
		}
	})
}

// settle waits until every proxy is assigned to a table and no lines are queued.
func (s *outageSite) settle() {
	require.Eventually(s.t, func() bool {
		waiting, _ := s.relay.Waiting()
		return s.relay.AssignedCount() == outageProxies && waiting == 0
	}, 30*time.Second, 10*time.Millisecond, "all proxies are assigned to a table")
}

// drain marks six consecutive endpoints as draining, starting with number first: two in each zone. It returns their
// names.
func (s *outageSite) drain(first int) (names []string) {
	for i := range 6 {
		names = append(names, fmt.Sprint("s-", first+i))
	}
	s.catalog.Set(catalog.Leaving, names...)
	return names
}

// requireDrained checks that all proxies stop sending to the endpoints within that time.
func (s *outageSite) requireDrained(names []string, within time.Duration) {
	require.Eventually(s.t, func() bool {
		for _, name := range names {
			if len(s.relay.Senders(name)) > 0 {
				return false
			}
		}
		return true
	}, within, 10*time.Millisecond, "%v must be drained within the grace period", names)
}

// TestDrainsAfterASilentRelay reproduces incident 029 with a real process. The relay does not respond for five seconds
// while a call that concerns all proxies is in progress. One second after it responds again, two endpoints in each zone
// drain; proxies must stop using them within the grace period. The relay executes none, the first or all of the calls
// that it receives during the outage.
func TestDrainsAfterASilentRelay(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "indigousher")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	for name, executes := range map[string]func(n int) bool{
		"no call is executed":    func(int) bool { return false },
		"first call is executed": func(n int) bool { return n == 1 },
		"all calls are executed": func(int) bool { return true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startOutageSite(t, binary)
			s.settle()
			s.relay.Fail(relay.Silent, executes)
			drained := s.drain(0)
			time.Sleep(outageDuration)
			s.relay.Recover()
			returned := time.Now()
			s.requireDrained(drained, drainGrace+graceTolerance)
			time.Sleep(time.Until(returned.Add(time.Second)))
			s.requireDrained(s.drain(6), drainGrace+graceTolerance)
			_, most := s.relay.Waiting()
			assert.LessOrEqual(t, most, outageBacklog, "maximum number of queued lines")
		})
	}
}
