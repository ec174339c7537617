// Command standin3 is a small deployment around a pilot that holds its proxies' streams itself: a list file, proxies of
// the testbed, endpoints and clients on loopback addresses. It starts pilots as processes, plays one case of the review,
// and checks what proxies, endpoints and clients can see against the rules of the operators' pages.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
)

// Exit codes of a case.
const (
	exitKept   = 0
	exitBroken = 1
	exitUnable = 2
)

// longest is the time that a case may take.
const longest = 118 * time.Second

// world is a deployment around a pilot.
type world struct {
	root, dir string
	start     time.Time
	listen    string
	classes   []string
	retryMode int // what proxies do where no pilot has told them otherwise
	target    time.Duration
	timeout   time.Duration
	proxies   []*proxy.Proxy
	endpoints []*endpoint

	// Limits of the rule on cold endpoints, as the settings in force have them.
	coldFor      time.Duration
	coldFrom     float64
	fall         time.Duration
	fallMultiple float64
	knownFrom    time.Time // since when all proxies' pilot knows of the starts

	mu       sync.Mutex
	record   *os.File
	pilots   []*exec.Cmd
	effects  map[uint64]map[string]bool // by request: groups in which it took effect
	broken   []string
	requests map[string]int
	closed   bool
}

func main() {
	name := flag.String("case", "", "case to play")
	trouble := flag.Bool("trouble", true, "play the disruption")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	code, err := playCase(*name, *trouble, *record, *root)
	if err != nil {
		fmt.Println("could not run:", err)
	}
	os.Exit(code)
}

// playCase plays a case and returns the exit code.
func playCase(name string, trouble bool, recordPath, root string) (int, error) {
	play := map[string]func(w *world, trouble bool) error{"keyed": playKeyed, "upgrade": playUpgrade}[name]
	if play == nil {
		return exitUnable, fmt.Errorf("there is no case %q", name)
	}
	root, err := filepath.Abs(root)
	if err != nil {
		return exitUnable, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return exitUnable, err
	}
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return exitUnable, err
	}
	w := &world{
		root: root, dir: dir, start: time.Now(), record: record, effects: map[uint64]map[string]bool{},
		requests: map[string]int{},
	}
	if w.listen, err = freeAddress(); err != nil {
		return exitUnable, err
	}
	w.endOnSignal()
	err = play(w, trouble)
	w.shut()
	if err != nil {
		return exitUnable, err
	}
	return w.verdict(), nil
}

// freeAddress returns a loopback address on which nobody listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, args...)
}

func (w *world) logLocked(format string, args ...any) {
	ms := float64(time.Since(w.start)) / float64(time.Millisecond)
	_, _ = fmt.Fprintf(w.record, "%10.1f %s\n", ms, fmt.Sprintf(format, args...))
}

// breakRule records that a rule was broken. The caller must hold mu.
func (w *world) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.logLocked("BROKEN %s", text)
	w.broken = append(w.broken, text)
}

// startPilot starts a pilot with the settings file and further arguments. Its output goes to a file in the folder.
func (w *world) startPilot(log string, args ...string) (*exec.Cmd, error) {
	out, err := os.Create(filepath.Join(w.dir, log))
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	c := exec.Command(filepath.Join(w.root, "bin/indigousher"),
		append([]string{"pilot", "-f", filepath.Join(w.dir, "pilot.hcl")}, args...)...)
	c.Stdout, c.Stderr = out, out
	c.Dir = w.dir
	if err := c.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.pilots = append(w.pilots, c)
	w.logLocked("pilot %d started %v", c.Process.Pid, args)
	w.mu.Unlock()
	return c, nil
}

// writeList writes the endpoint list, as a whole.
func (w *world) writeList() error {
	text := ""
	for _, e := range w.endpoints {
		started := ""
		if !e.started.IsZero() {
			started = fmt.Sprintf("  started = %q\n", e.started.UTC().Format(time.RFC3339Nano))
		}
		text += fmt.Sprintf("endpoint %q {\n  zone    = \"north\"\n  machine = \"small\"\n  cell    = %d\n  phase   = %q\n%s}\n",
			e.address, e.cell, e.phase, started)
	}
	w.log("list written: %d endpoints", len(w.endpoints))
	return w.replaceFile("endpoints.hcl", text)
}

// replaceFile writes a file and renames it into its place.
func (w *world) replaceFile(name, text string) error {
	path := filepath.Join(w.dir, name)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// startProxies starts proxies that follow the pilot.
func (w *world) startProxies(count int) error {
	events := eventlog.NewLog()
	for i := range count {
		name := fmt.Sprint("proxy-", i)
		p := proxy.New(proxy.Options{
			Name: name, Zone: "north", Rate: 20, Seed: uint64(i + 1),
			Routing: routing.Policy{Classes: w.classes, Algorithm: routing.Weighted, RetryMode: w.retryMode},
			StaticTable: func() (list []string) {
				for _, e := range w.endpoints {
					list = append(list, e.address)
				}
				return list
			},
			Pilots:      func() []string { return []string{w.listen} },
			NewJoiner:   func() proxy.Joiner { return w.recordingJoiner(name) },
			RedialPause: 300 * time.Millisecond, Dial: (&net.Dialer{}).DialContext, DialTimeout: 250 * time.Millisecond,
			LatencyObjectives: w.each(w.target), ClientTimeouts: w.each(w.timeout), FirstAttemptShare: 1,
		}, events.Stream(name))
		if err := p.Start(); err != nil {
			return err
		}
		w.proxies = append(w.proxies, p)
	}
	return nil
}

func (w *world) each(d time.Duration) (list []time.Duration) {
	for range w.classes {
		list = append(list, d)
	}
	return list
}

// recordingStream records what the pilot orders.
type recordingStream struct {
	proxy.Stream
	w    *world
	name string
}

func (w *world) recordingJoiner(name string) proxy.Joiner {
	framed := proxy.Framed(nil)
	return func(ctx context.Context, dial proxy.Dial, address string, hello *wire.Hello) (proxy.Stream, *wire.Welcome, error) {
		stream, welcome, err := framed(ctx, dial, address, hello)
		if err != nil {
			return nil, nil, err
		}
		w.log("%s joined", name)
		return &recordingStream{stream, w, name}, welcome, nil
	}
}

// Read implements proxy.Stream.
func (s *recordingStream) Read(timeout time.Duration) (wire.Message, error) {
	m, err := s.Stream.Read(timeout)
	if commands, ok := m.(*wire.Commands); ok {
		for _, op := range commands.Ops {
			if op.Kind != wire.OpAckRequest {
				s.w.log("%s ordered %+v", s.name, op)
			}
		}
	}
	return m, err
}

// drive lets clients send requests of the first class to all proxies at a rate, until ctx ends.
func (w *world) drive(ctx context.Context, perSecond, workMs float64) {
	var clients []*proxy.Client
	for _, p := range w.proxies {
		clients = append(clients, proxy.NewClient(p.Address(), (&net.Dialer{}).DialContext, 250*time.Millisecond))
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for id := uint64(1); ; id++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		go w.request(ctx, clients[id%uint64(len(clients))], id, workMs)
	}
}

// request sends one request and waits for its answer, also when no more are sent.
func (w *world) request(ctx context.Context, client *proxy.Client, id uint64, workMs float64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.timeout)
	defer cancel()
	w.log("request %d sent", id)
	answer, err := client.Do(ctx, &wire.Request{
		RequestID: id, Class: w.classes[0], From: "client", WorkMs: workMs,
		TimeoutMs: float64(w.timeout) / float64(time.Millisecond),
	})
	outcome := "no answer"
	if err == nil {
		outcome = map[wire.Outcome]string{wire.Succeeded: "answered", wire.Errored: "failed", wire.Denied: "refused"}[answer.Outcome]
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[outcome]++
	w.logLocked("request %d %s", id, outcome)
}

// endOnSignal ends all processes when this one is asked to end, or after two minutes.
func (w *world) endOnSignal() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-asked:
		case <-time.After(longest):
		}
		w.shut()
		os.Exit(exitUnable)
	}()
}

// shut ends all processes and removes the folder. Pilots' logs go to the record.
func (w *world) shut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	for _, c := range w.pilots {
		_ = c.Process.Kill()
	}
	for _, c := range w.pilots {
		_ = c.Wait() // returns at once for one that was waited for before
	}
	logs, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		w.logLocked("%s:\n%s", filepath.Base(path), text)
	}
	_ = os.RemoveAll(w.dir)
}

// verdict prints the result and returns the exit code.
func (w *world) verdict() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Println("requests", w.requests)
	for _, text := range w.broken[:min(len(w.broken), 3)] {
		fmt.Println("broken:", text)
	}
	if len(w.broken) > 0 {
		fmt.Println(len(w.broken), "times broken")
		return exitBroken
	}
	fmt.Println("kept")
	return exitKept
}
