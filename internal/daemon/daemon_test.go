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

// pilotTerms writes a list file and returns terms that follow it.
func pilotTerms(t *testing.T, endpoints ...string) *config.Pilot {
	path := filepath.Join(t.TempDir(), "endpoints.hcl")
	text := ""
	for _, e := range endpoints {
		text += fmt.Sprintf("endpoint %q {\n  zone = \"a\"\n}\n", e)
	}
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	p, err := config.Parse("p.hcl", []byte(fmt.Sprintf(`zones = ["a"]
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
`, path)))
	require.NoError(t, err)
	return p
}

func run(t *testing.T, d *Daemon) (stop context.CancelFunc, ended chan error) {
	ctx, cancel := context.WithCancel(t.Context())
	ended = make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(cancel)
	return cancel, ended
}

func get(t *testing.T, d *Daemon, path string) (int, string) {
	r, err := http.Get("http://" + d.AdminAddress() + path)
	require.NoError(t, err)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return r.StatusCode, string(b)
}

// following starts a proxy of the stand-ins that follows a pilot.
func following(t *testing.T, name string, pilots func() []string) *eventlog.Log {
	book := eventlog.NewLog()
	p := proxy.New(proxy.Options{Name: name, Zone: "a", Routing: routing.Policy{Classes: []string{"read"}}, Rate: 1,
		StaticTable: func() []string { return []string{"old:1"} }, Pilots: pilots, Dial: (&net.Dialer{}).DialContext,
		RedialPause: 20 * time.Millisecond}, book.Stream(name))
	require.NoError(t, p.Start())
	t.Cleanup(p.Kill)
	return book
}

func count(b *eventlog.Log, what eventlog.What) (n int) {
	for _, e := range b.Events() {
		if e.What == what {
			n++
		}
	}
	return n
}

// TestLife takes a pilot from its start over a reload to its end, with a proxy that follows.
func TestLife(t *testing.T) {
	p := pilotTerms(t, "x:1", "y:1")
	d, err := New(p, Options{})
	require.NoError(t, err)
	stop, ended := run(t, d)
	book := following(t, "p", func() []string { return []string{d.Address()} })
	require.Eventually(t, func() bool { return d.State().Listed && d.State().Proxies == 1 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return count(book, eventlog.Got) > 0 }, 5*time.Second, time.Millisecond)
	for path, want := range map[string]string{"/healthz": "ok", "/readyz": "ok", "/state": `"Proxies":1`,
		"/metrics": "indigousher_proxies_joined 1"} {
		code, body := get(t, d, path)
		assert.Equal(t, 200, code, path)
		assert.Contains(t, body, want, path)
	}
	now := *p
	now.LinesPerS, now.Name = 50, "other"
	changed, restart, err := d.Reload(t.Context(), &now)
	require.NoError(t, err)
	assert.Equal(t, []string{"LinesPerS"}, changed)
	assert.Equal(t, []string{"Name"}, restart)
	stop()
	assert.NoError(t, <-ended)
	assert.Equal(t, 1, count(book, eventlog.Leave))
}

// TestStopAndReload guards against a reload that comes as the pilot stops: it ends, and nothing hangs.
func TestStopAndReload(t *testing.T) {
	p := pilotTerms(t)
	d, err := New(p, Options{})
	require.NoError(t, err)
	stop, ended := run(t, d)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			now := *p
			now.LinesPerS = float64(100 + i)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, _, _ = d.Reload(ctx, &now)
		})
	}
	stop()
	assert.NoError(t, <-ended)
	wg.Wait()
}

// TestKilled shows what a killed pilot leaves to its proxies: a broken stream and the other pilot.
func TestKilled(t *testing.T) {
	p := pilotTerms(t, "x:1")
	first, err := New(p, Options{})
	require.NoError(t, err)
	second, err := New(p, Options{})
	require.NoError(t, err)
	_, ended := run(t, first)
	run(t, second)
	book := following(t, "p", func() []string { return []string{first.Address(), second.Address()} })
	require.Eventually(t, func() bool { return first.State().Proxies == 1 }, 5*time.Second, time.Millisecond)
	first.Kill()
	assert.NoError(t, <-ended)
	assert.Eventually(t, func() bool { return second.State().Proxies == 1 }, 5*time.Second, time.Millisecond)
	assert.GreaterOrEqual(t, count(book, eventlog.Join), 2)
}

// TestNoStart shows how a pilot fails that can't have what it needs.
func TestNoStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	for name, change := range map[string]func(*config.Pilot){
		"listen for proxies":   func(p *config.Pilot) { p.Listen = taken.Addr().String() },
		"listen for operators": func(p *config.Pilot) { p.Admin = taken.Addr().String() },
		"listen for pilots":    func(p *config.Pilot) { p.PeersListen = "127.0.0.1:none" },
		"address of pilot 1":   func(p *config.Pilot) { p.PeersListen, p.Peers = "127.0.0.1:0", map[string]string{"1": "x"} },
	} {
		p := pilotTerms(t)
		change(p)
		_, err := New(p, Options{})
		assert.ErrorContains(t, err, name)
	}
	p := pilotTerms(t)
	p.ListFile = "/nowhere/at/all.hcl"
	d, err := New(p, Options{})
	require.NoError(t, err)
	assert.ErrorContains(t, d.Run(t.Context()), "watch /nowhere/at/all.hcl")
}
