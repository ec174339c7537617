// Command standin2 is a small platform for one pilot: relay, discovery agent, collectors, proxies, endpoints and clients
// on loopback addresses. It starts the pilot with the command of the deploy file, plays one case of the review, and
// checks what proxies, clients and the platform can see against the rules of the operators' pages.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longest is the time that a case may take.
const longest = 118 * time.Second

// Exit codes of a case.
const (
	exitKept   = 0
	exitBroken = 1
	exitUnable = 2
)

func main() {
	name := flag.String("case", "", "case to play")
	trouble := flag.Bool("trouble", true, "play the disruption")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	root := flag.String("root", ".", "root of the repository")
	run := flag.String("run", "exec bin/indigousher pilot --platform", "command that starts a pilot")
	rule := flag.String("rule", "", "judge this rule only; empty: all")
	seed := flag.Uint64("seed", 1, "seed of the requests")
	flag.Parse()
	code, err := playCase(*name, *trouble, *record, *root, *run, *rule, *seed)
	if err != nil {
		fmt.Println("could not run:", err)
	}
	os.Exit(code)
}

// playCase plays a case and returns the exit code.
func playCase(name string, trouble bool, recordPath, root, run, rule string, seed uint64) (int, error) {
	scenario, known := scenarios()[name]
	if !known {
		return exitUnable, fmt.Errorf("there is no case %q", name)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return exitUnable, err
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		return exitUnable, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := defaultDeployment()
	if scenario.deploy != nil {
		scenario.deploy(&d)
	}
	if name == "random" {
		vary(&d, seed)
	}
	w := newWorld(d, record, seed)
	stop := make(chan struct{})
	if err := w.open(root, run, dir, stop); err != nil {
		return exitUnable, err
	}
	defer w.shut()
	w.endOnSignal()
	scenario.play(w, trouble)
	close(stop)
	log, _ := os.ReadFile(filepath.Join(dir, "pilot.log"))
	return w.verdict(rule, log), nil
}

// open starts all parts and then the pilot.
func (w *world) open(root, run, dir string, stop chan struct{}) (err error) {
	if w.pilot, err = newPilot(w, root, run, dir); err != nil {
		return err
	}
	if w.agent, err = newAgent(w); err != nil {
		return err
	}
	if w.relay, err = newRelay(w); err != nil {
		return err
	}
	w.mu.Lock()
	w.log("deployment %+v", w.d)
	for _, p := range w.proxies {
		p.join()
	}
	w.mu.Unlock()
	if err := w.pilot.begin(); err != nil {
		w.shut()
		return errors.Join(err, errors.New("the pilot did not start"))
	}
	for _, p := range w.proxies {
		go p.drive(stop)
	}
	for _, zone := range w.d.zones {
		go w.collect(zone, stop)
	}
	go w.watchBare(stop)
	return nil
}

// endOnSignal ends the pilot when this process is asked to end, or after two minutes.
func (w *world) endOnSignal() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-asked:
		case <-time.After(longest):
		}
		if c := w.pilot.command; c != nil {
			_ = c.Process.Kill() // without the lock, which whoever hangs may hold
		}
		_ = os.RemoveAll(w.pilot.dir)
		os.Exit(exitUnable)
	}()
}

// shut ends the pilot and closes all sockets.
func (w *world) shut() {
	if w.pilot.command != nil {
		w.pilot.end(syscall.SIGKILL)
	}
	for _, l := range w.relay.listeners {
		_ = l.Close()
	}
	for _, s := range w.agent.servers {
		_ = s.Close()
	}
}

// verdict prints the result and returns the exit code.
func (w *world) verdict(rule string, log []byte) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log("requests %v, most lines waiting %d", w.requests, w.relay.most)
	w.log("log of the pilot:\n%s", log)
	fmt.Printf("requests %v, most lines waiting %d of %d\n", w.requests, w.relay.most, w.d.backlog)
	w.hints()
	code := exitKept
	for _, text := range w.broken {
		fmt.Println("broken:", text)
		if rule == "" || len(text) > len(rule) && text[:len(rule)] == rule {
			code = exitBroken
		}
	}
	if code == exitKept {
		fmt.Println("kept")
	}
	return code
}

// until waits for a time in seconds since the start.
func (w *world) until(seconds float64) {
	time.Sleep(time.Duration((seconds*1000 - w.nowMs()) * float64(time.Millisecond)))
}
