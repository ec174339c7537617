package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"indigousher/internal/wire"
)

// settings is the settings file of a small deployment: addresses, a req_kind block, lines for rules and proxies.
const settings = `zones    = ["north"]
machines = ["small"]

%s

pilot {
  listen   = %q
  admin    = ""
  handover = %q
}

keys { plain = true }
list { file = "endpoints.hcl" }

rules {
  drain_grace   = "2s"
  cold          = %q
  cold_from     = 0.16
  fall          = "1500ms"
  fall_multiple = 2.5
}

proxies {
  count     = 4
  try_again = %d
}
`

// writeSettings writes the settings file.
func (w *world) writeSettings(kind, cold string, tryAgain int) error {
	return w.replaceFile("pilot.hcl", fmt.Sprintf(settings, kind, w.listen, filepath.Join(w.dir, "handover.sock"), cold, tryAgain))
}

// until waits for a time in seconds since the start.
func (w *world) until(seconds float64) {
	time.Sleep(time.Duration(seconds*float64(time.Second)) - time.Since(w.start))
}

// ran counts the effect of a request at an endpoint. Endpoints of one cell discard repeats of a request that they know.
func (w *world) ran(e *endpoint, request *wire.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	group := fmt.Sprint("cell ", e.cell)
	known := w.effects[request.RequestID]
	if known == nil {
		known = map[string]bool{}
		w.effects[request.RequestID] = known
	}
	if known[group] {
		w.logLocked("endpoint %s cell %d discards %d, known in its cell", e.address, e.cell, request.RequestID)
		return
	}
	known[group] = true
	w.logLocked("endpoint %s cell %d ran %d", e.address, e.cell, request.RequestID)
	if len(known) > 1 && w.classes[0] == "booking" {
		w.breakRule("request %d of a uniqued class took effect in %d cells", request.RequestID, len(known))
	}
}

// playKeyed: a class whose requests carry a key that endpoints of one cell share, and try_again = 2. One of eight
// endpoints becomes slow. Without trouble none does.
func playKeyed(w *world, trouble bool) error {
	const kind = `req_kind "booking" {
  response_target = "400ms"
  client_timeout  = "2s"
  payoff          = 5
  repeats         = "uniqued"
  group           = "cell"
  window          = "5s"
  writes          = true
}`
	w.classes = []string{"booking"}
	w.target, w.timeout, w.retryMode = 400*time.Millisecond, 2*time.Second, 2
	w.coldFor, w.coldFrom, w.fall, w.fallMultiple = time.Minute, 1, time.Second, 100
	for i := range 8 {
		e, err := w.newEndpoint(i/2, false)
		if err != nil {
			return err
		}
		w.endpoints = append(w.endpoints, e)
	}
	if err := errors.Join(w.writeList(), w.writeSettings(kind, "15s", 2)); err != nil {
		return err
	}
	check := exec.Command(filepath.Join(w.root, "bin/indigousher"), "check", filepath.Join(w.dir, "pilot.hcl"))
	out, err := check.CombinedOutput()
	w.log("check: %s", out)
	if err != nil {
		return nil // settings that break the promise are refused: the rule is kept
	}
	if _, err := w.startPilot("pilot.log"); err != nil {
		return err
	}
	if err := w.startProxies(4); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.until(5)
	go w.drive(ctx, 40, 20)
	w.until(12)
	if trouble {
		w.log("endpoint %s becomes slow", w.endpoints[0].address)
		w.endpoints[0].delay = 800 * time.Millisecond
	}
	w.until(24)
	return nil
}

// checkLoad checks that no cold endpoint is sent more than its multiple. The caller must hold the endpoint's lock.
func (w *world) checkLoad(e *endpoint, now time.Time) {
	if e.started.IsZero() || w.knownFrom.IsZero() || now.Sub(w.knownFrom) < w.fall {
		return
	}
	work, _ := e.workWithin(now, w.fall)
	limit := w.fallMultiple * e.warmth(now) * e.capacity * w.fall.Seconds()
	if work > 1.1*limit {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.breakRule("endpoint %s, %.1f s old, was sent %.0f ms of work in %s; its limit is %.0f", e.address,
			now.Sub(e.started).Seconds(), work, w.fall, limit)
	}
}

// playUpgrade: the settings are reloaded with a longer warm-up time, then an upgrade is begun whose new process crashes
// half way. An endpoint starts meanwhile. Without trouble no upgrade is begun.
func playUpgrade(w *world, trouble bool) error {
	const kind = `req_kind "lookup" {
  response_target = "400ms"
  client_timeout  = "1500ms"
}`
	w.classes = []string{"lookup"}
	w.target, w.timeout, w.retryMode = 400*time.Millisecond, 1500*time.Millisecond, 1
	w.coldFor, w.coldFrom, w.fall, w.fallMultiple = 2*time.Minute, 0.16, 1500*time.Millisecond, 2.5
	for i := range 5 {
		e, err := w.newEndpoint(i, false)
		if err != nil {
			return err
		}
		w.endpoints = append(w.endpoints, e)
	}
	if err := errors.Join(w.writeList(), w.writeSettings(kind, "10s", 1)); err != nil {
		return err
	}
	pilot, err := w.startPilot("pilot.log")
	if err != nil {
		return err
	}
	if err := w.startProxies(4); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.until(3)
	go w.drive(ctx, 140, 60)
	w.until(6)
	if err := w.writeSettings(kind, "120s", 1); err != nil {
		return err
	}
	w.log("new settings, SIGHUP")
	_ = pilot.Process.Signal(syscall.SIGHUP)
	w.until(9)
	if trouble {
		if err := w.crashingUpgrade(); err != nil {
			return err
		}
	}
	w.until(16)
	e, err := w.newEndpoint(5, true)
	if err != nil {
		return err
	}
	w.endpoints = append(w.endpoints, e)
	if err := w.writeList(); err != nil {
		return err
	}
	w.knownFrom = time.Now().Add(3 * time.Second) // the grace, and a second more
	w.until(50)
	return nil
}

// crashingUpgrade starts a new process that takes over, and kills it once the old one has begun to stop.
func (w *world) crashingUpgrade() error {
	next, err := w.startPilot("next.log", "--take-over")
	if err != nil {
		return err
	}
	for range 3000 {
		text, _ := os.ReadFile(filepath.Join(w.dir, "pilot.log"))
		if bytes.Contains(text, []byte("shutting down")) {
			_ = next.Process.Kill()
			w.log("the new process is killed")
			_ = next.Wait()
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return errors.New("the takeover has not begun")
}
