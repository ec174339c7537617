package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/daemon"
	"indigousher/internal/record"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/network"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/testbed/routing"
)

// pilotProcess holds the files and addresses of a pilot that runs as a separate process.
type pilotProcess struct {
	t                    *testing.T
	binary, settingsFile string // paths of the program and of the pilot's settings
	records              string // directory of the record
	listen, admin        string // listen addresses for proxies and for the admin interface
}

// mustClose closes c and fails the test on an error.
func mustClose(t *testing.T, c io.Closer) { assert.NoError(t, c.Close()) }

// freePort returns a listen address that is not in use.
func freePort(t *testing.T) string {
	l, err := network.Listen("") // an address whose ports are not assigned to outgoing connections
	require.NoError(t, err)
	defer mustClose(t, l)
	return l.Addr().String()
}

// newPilotProcess builds the program, and writes the settings and an endpoint list with six endpoints to a temporary
// directory.
func newPilotProcess(t *testing.T) *pilotProcess {
	dir := t.TempDir()
	w := &pilotProcess{
		t: t, binary: filepath.Join(dir, "indigousher"), settingsFile: filepath.Join(dir, "pilot.hcl"),
		records: filepath.Join(dir, "records"), listen: freePort(t), admin: freePort(t),
	}
	out, err := exec.Command("go", "build", "-o", w.binary, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	require.NoError(t, os.Mkdir(w.records, 0o755))
	list := filepath.Join(dir, "endpoints.hcl")
	text := ""
	for i := range 6 {
		text += fmt.Sprintf("endpoint \"127.0.0.1:%d\" {\n  zone = \"a\"\n}\n", 9000+i)
	}
	require.NoError(t, os.WriteFile(list, []byte(text), 0o600))
	require.NoError(t, os.WriteFile(w.settingsFile, []byte(fmt.Sprintf(`zones    = ["a"]
machines = ["std"]
req_kind "read" {}
pilot {
  listen   = %q
  admin    = %q
  handover = %q
}
reports { period = "100ms" }
streams { beat = "100ms" }
keys { plain = true }
list { file = %q }
record { dir = %q }
log { format = "json" }
`, w.listen, w.admin, filepath.Join(dir, "handover.sock"), list, w.records)), 0o600))
	return w
}

// run starts a pilot process and returns it with the buffer that receives its log.
func (w *pilotProcess) run(args ...string) (*exec.Cmd, *bytes.Buffer) {
	log := &bytes.Buffer{}
	c := exec.Command(w.binary, append([]string{"pilot", "-f", w.settingsFile}, args...)...)
	c.Stderr = log
	require.NoError(w.t, c.Start())
	return c, log
}

// ready reports whether the pilot's readiness check succeeds.
func (w *pilotProcess) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + w.admin + "/readyz")
	if err != nil {
		return false
	}
	defer mustClose(w.t, r.Body)
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode == http.StatusOK
}

// startProxies starts three proxies that connect to the pilot, and returns their event log.
func (w *pilotProcess) startProxies() *eventlog.Log {
	events := eventlog.NewLog()
	for i := range 3 {
		name := fmt.Sprint("p", i)
		p := proxy.New(proxy.Options{
			Name: name, Zone: "a", Routing: routing.Policy{Classes: []string{"read"}}, Rate: 1,
			StaticTable: func() []string { return []string{"127.0.0.1:9000"} },
			Pilots:      func() []string { return []string{w.listen} },
			Dial:        (&net.Dialer{}).DialContext, RedialPause: 20 * time.Millisecond,
		}, events.Stream(name))
		require.NoError(w.t, p.Start())
		w.t.Cleanup(p.Kill)
	}
	return events
}

// TestKilled9 kills a pilot process with SIGKILL at random times and restarts it. It guards against a record that is
// damaged by an interrupted write: each start must succeed and log whether it recovered, and all recorded lives must be
// readable and replay to the recorded commands.
func TestKilled9(t *testing.T) {
	w := newPilotProcess(t)
	w.startProxies()
	random := rand.New(rand.NewPCG(5, 6))
	recovered := 0
	for i := range 12 {
		c, log := w.run()
		require.Eventually(t, w.ready, 10*time.Second, 5*time.Millisecond, "%s", log)
		time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
		require.NoError(t, c.Process.Signal(syscall.SIGKILL))
		_ = c.Wait() // always an error, because the process was killed
		if strings.Contains(log.String(), "recovered from the last") {
			recovered++
		} else {
			assert.Contains(t, log.String(), "cold start: ", "start %d", i)
		}
	}
	assert.Greater(t, recovered, 4)
	s, err := daemon.OpenRecords(w.records)
	require.NoError(t, err)
	defer mustClose(t, s)
	lives, err := s.Lives()
	require.NoError(t, err)
	turns := 0
	for _, l := range lives {
		require.NoError(t, s.Read(l.ID, func(ts []record.Turn, _ bool) error { turns += len(ts); return nil }))
		r, err := record.Replay(s, l, nil, newPlanner)
		require.NoError(t, err)
		assert.Empty(t, r.FirstDiff, l.ID)
	}
	assert.Positive(t, turns)
}

// TestUpgraded checks upgrades with real processes: the new process takes over and the old one exits with status 0. If
// the settings of the new process can't be read, the old one must keep serving.
func TestUpgraded(t *testing.T) {
	w := newPilotProcess(t)
	events := w.startProxies()
	old, _ := w.run()
	require.Eventually(t, w.ready, 10*time.Second, 5*time.Millisecond)
	invalid := exec.Command(w.binary, "pilot", "-f", w.settingsFile+".none", "--take-over")
	assert.Error(t, invalid.Run())
	assert.True(t, w.ready())
	for i := range 3 {
		next, log := w.run("--take-over")
		require.NoError(t, old.Wait(), "upgrade %d: %s", i, log)
		require.Eventually(t, w.ready, 10*time.Second, 5*time.Millisecond, "%s", log)
		old = next
	}
	require.Eventually(t, func() bool {
		joins := 0
		for _, e := range events.Events() {
			if e.What == eventlog.Join {
				joins++
			}
		}
		return joins >= 6
	}, 10*time.Second, 5*time.Millisecond)
	require.NoError(t, old.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, old.Wait())
}
