package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/testbed/routing"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"))
}

// testConfig returns the configuration of a pilot in zone a that reads a file with the given endpoints as its endpoint
// list.
func testConfig(t *testing.T, endpoints ...string) *config.Pilot {
	path := filepath.Join(t.TempDir(), "endpoints.hcl")
	list := ""
	for _, e := range endpoints {
		list += fmt.Sprintf("endpoint %q {\n  zone = \"a\"\n}\n", e)
	}
	require.NoError(t, os.WriteFile(path, []byte(list), 0o600))
	text := fmt.Sprintf(`zones = ["a"]
machines = ["std"]
req_kind "read" {}
pilot {
  listen = "127.0.0.1:0"
  admin  = "127.0.0.1:0"
}
streams {
  beat        = "100ms"
  stop_within = "500ms"
}
list { file = %q }
keys { plain = true }
`, path)
	p, err := config.Parse("p.hcl", []byte(text))
	require.NoError(t, err)
	return p
}

// run runs a daemon until stop is called or the test ends. The result of Daemon.Run is sent to ended.
func run(t testing.TB, d *Daemon) (stop context.CancelFunc, ended chan error) {
	ctx, cancel := context.WithCancel(t.Context())
	ended = make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(cancel)
	return cancel, ended
}

// listedAndJoined returns a function that reports whether the daemon has an endpoint list and exactly one proxy.
func listedAndJoined(d *Daemon) func() bool {
	return func() bool { return d.State().Listed && d.State().Proxies == 1 }
}

// mustClose closes c and fails the test on an error.
func mustClose(t testing.TB, c io.Closer) { assert.NoError(t, c.Close()) }

// get requests a path from the daemon's admin interface and returns the status code and the body.
func get(t *testing.T, d *Daemon, path string) (int, string) {
	r, err := http.Get("http://" + d.AdminAddress() + path)
	require.NoError(t, err)
	defer mustClose(t, r.Body)
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return r.StatusCode, string(b)
}

// startProxy starts a testbed proxy that connects to one of the addresses, and returns its event log.
func startProxy(t *testing.T, addresses func() []string) *eventlog.Log {
	const name = "p"
	events := eventlog.NewLog()
	p := proxy.New(proxy.Options{
		Name:        name,
		Zone:        "a",
		Routing:     routing.Policy{Classes: []string{"read"}},
		Rate:        1,
		StaticTable: func() []string { return []string{"old:1"} },
		Pilots:      addresses,
		Dial:        (&net.Dialer{}).DialContext,
		RedialPause: 20 * time.Millisecond,
	}, events.Stream(name))
	require.NoError(t, p.Start())
	t.Cleanup(p.Kill)
	return events
}

// countEvents returns the number of events of one type in a log.
func countEvents(b *eventlog.Log, what eventlog.What) (n int) {
	for _, e := range b.Events() {
		if e.What == what {
			n++
		}
	}
	return n
}

// TestDaemonLifecycle starts a pilot with one connected proxy, checks its admin interface, reloads its settings and
// shuts it down.
func TestDaemonLifecycle(t *testing.T) {
	p := testConfig(t, "x:1", "y:1")
	d, err := New(p, Options{})
	require.NoError(t, err)
	stop, ended := run(t, d)
	events := startProxy(t, func() []string { return []string{d.Address()} })
	require.Eventually(t, listedAndJoined(d), 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return countEvents(events, eventlog.Got) > 0 }, 5*time.Second, time.Millisecond)
	for path, want := range map[string]string{
		"/healthz": "ok",
		"/readyz":  "ok",
		"/state":   `"Proxies":1`,
		"/metrics": "indigousher_proxies_joined 1",
	} {
		code, body := get(t, d, path)
		assert.Equal(t, 200, code, path)
		assert.Contains(t, body, want, path)
	}
	updated := *p
	updated.LinesPerS = 50
	updated.Name = "other"
	changed, restart, err := d.Reload(t.Context(), &updated)
	require.NoError(t, err)
	assert.Equal(t, []string{"LinesPerS"}, changed)
	assert.Equal(t, []string{"Name"}, restart)
	stop()
	assert.NoError(t, <-ended)
	assert.Equal(t, 1, countEvents(events, eventlog.Leave))
}

// TestStopAndReload checks that neither the pilot nor a reload blocks when settings are reloaded during a shutdown.
func TestStopAndReload(t *testing.T) {
	p := testConfig(t)
	d, err := New(p, Options{})
	require.NoError(t, err)
	stop, ended := run(t, d)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			updated := *p
			updated.LinesPerS = float64(100 + i)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, _, _ = d.Reload(ctx, &updated)
		})
	}
	stop()
	assert.NoError(t, <-ended)
	wg.Wait()
}

// TestKilled checks that a proxy reconnects to the second pilot when the first one is killed.
func TestKilled(t *testing.T) {
	p := testConfig(t, "x:1")
	first, err := New(p, Options{})
	require.NoError(t, err)
	second, err := New(p, Options{})
	require.NoError(t, err)
	_, ended := run(t, first)
	run(t, second)
	events := startProxy(t, func() []string { return []string{first.Address(), second.Address()} })
	joins := func() int { return countEvents(events, eventlog.Join) }
	require.Eventually(t, func() bool { return first.State().Proxies == 1 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return joins() == 1 }, 5*time.Second, time.Millisecond) // Welcome was received
	first.Kill()
	assert.NoError(t, <-ended)
	assert.Eventually(t, func() bool { return second.State().Proxies == 1 }, 5*time.Second, time.Millisecond)
	assert.Eventually(t, func() bool { return joins() == 2 }, 5*time.Second, time.Millisecond)
}

// TestStartErrors checks that the error names the cause if a pilot can't open a listener, has an invalid peer address,
// or can't read its endpoint list.
func TestStartErrors(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer mustClose(t, taken)
	for name, change := range map[string]func(*config.Pilot){
		"listen for proxies":   func(p *config.Pilot) { p.Listen = taken.Addr().String() },
		"listen for operators": func(p *config.Pilot) { p.Admin = taken.Addr().String() },
		"listen for pilots":    func(p *config.Pilot) { p.PeersListen = "127.0.0.1:none" },
		"address of pilot 1": func(p *config.Pilot) {
			p.PeersListen = "127.0.0.1:0"
			p.Peers = map[string]string{"1": "x"}
		},
	} {
		p := testConfig(t)
		change(p)
		_, err := New(p, Options{})
		assert.ErrorContains(t, err, name)
	}
	p := testConfig(t)
	p.ListFile = "/nowhere/at/all.hcl"
	d, err := New(p, Options{})
	require.NoError(t, err)
	assert.ErrorContains(t, d.Run(t.Context()), "watch /nowhere/at/all.hcl")
}
