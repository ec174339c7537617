package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// sums is what the proxies of a zone met at an endpoint since the last report.
type sums struct {
	total, errors int
	rtt           float64
	load          string
	since         time.Time
}

// pilot is one pilot of the project, as a process, with what the platform keeps for it.
type pilot struct {
	world  *world
	rank   int
	name   string
	zone   string
	listen string
	dir    string

	agent *agent
	relay *relay

	// World.mu guards the fields below.
	up      bool      // it runs and has answered
	pongAt  time.Time // when it first answered
	starts  int
	told    map[string]entry     // the list as told
	toldAt  map[string]time.Time // when an endpoint was told to be leaving or gone
	heard   map[[2]string]*sums  // by zone and endpoint
	process *exec.Cmd
	exited  chan struct{}
	logFile *os.File
	ending  bool // it was told to end
}

// newPilot prepares a pilot: addresses, agent and relay.
func newPilot(w *world, rank int) (*pilot, error) {
	p := &pilot{
		world: w, rank: rank, name: fmt.Sprintf("n%d", rank), zone: w.d.pilotZones[rank],
		told: map[string]entry{}, toldAt: map[string]time.Time{}, heard: map[[2]string]*sums{},
	}
	p.dir = filepath.Join(w.dir, p.name)
	if err := os.MkdirAll(filepath.Join(p.dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	// An address of its own, so that another run does not take the port between this and the start of the pilot.
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+rank, pid>>8&255, 1+pid%254))
	if err != nil {
		return nil, err
	}
	p.listen = listener.Addr().String()
	if err := listener.Close(); err != nil {
		return nil, err
	}
	if p.agent, err = newAgent(w, p); err != nil {
		return nil, err
	}
	if p.relay, err = newRelay(w, p); err != nil {
		return nil, err
	}
	return p, nil
}

// config writes the configuration file.
func (p *pilot) config() error {
	w := p.world
	w.mu.Lock()
	known := listAnswer{Index: 1, Snapshot: true, Endpoints: []entry{}}
	for _, name := range sortedNames(p.told) {
		if e := p.told[name]; e.Status != left {
			known.Endpoints = append(known.Endpoints, e)
		}
	}
	if p.starts == 0 {
		known = w.list.since(-1)
	}
	seed := fmt.Sprintf("%016x", w.random.Uint64())
	w.mu.Unlock()
	text, err := json.MarshalIndent(map[string]any{
		"name": p.name, "listen": p.listen, "discovery": p.agent.listener.Addr().String(), "seed": seed,
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"peer_listen": "127.0.0.1:1", "peers": []string{}, "peers_all": "127.0.0.1:1",
		"relay": map[string]any{"address": p.relay.listener.Addr().String()},
		"known": known, "settings": w.d.settings(p.rank),
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, "config.json"), text, 0o600)
}

// start starts the process with the command of the deploy file and waits until it answers a ping.
func (p *pilot) start(ctx context.Context) error {
	if err := p.config(); err != nil {
		return err
	}
	w := p.world
	command, err := deployCommand("run")
	if err != nil {
		return err
	}
	process := exec.Command("/bin/sh", "-c", command)
	process.Env = append(os.Environ(), "NODE_NAME="+p.name, "NODE_LISTEN="+p.listen,
		"NODE_DISCOVERY="+p.agent.listener.Addr().String(), "NODE_CONFIG="+filepath.Join(p.dir, "config.json"),
		"TMPDIR="+filepath.Join(p.dir, "tmp"))
	file, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process.Stdout, process.Stderr = file, file
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	w.mu.Lock()
	p.starts++
	p.process, p.exited, p.logFile, p.ending = process, exited, file, false
	p.told, p.toldAt = map[string]entry{}, map[string]time.Time{}
	p.relay.reset()
	w.log.line("pilot %s starts, process %d", p.name, process.Process.Pid)
	w.mu.Unlock()
	go func() {
		err := process.Wait()
		_ = file.Close()
		w.mu.Lock()
		p.ended(err)
		w.mu.Unlock()
		close(exited)
	}()
	return p.awaitPong(ctx)
}

// awaitPong waits until the pilot answers a ping.
func (p *pilot) awaitPong(ctx context.Context) error {
	w := p.world
	for began := time.Now(); time.Since(began) < 30*time.Second && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", p.listen, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write([]byte("ping\r\n"))
		line, _ := bufio.NewReader(conn).ReadString('\n')
		_ = conn.Close()
		if line != "pong\r\n" {
			continue
		}
		w.mu.Lock()
		p.up = true
		p.pongAt = time.Now()
		w.log.line("pilot %s answers", p.name)
		w.mu.Unlock()
		for _, zone := range w.d.zones {
			go p.collect(zone)
		}
		return nil
	}
	return errors.New("pilot " + p.name + " does not answer a ping")
}

// move gives the pilot a configuration with new addresses of discovery and the relay and sends SIGHUP. The old addresses
// take no new connection, and the open ones are closed after 1.5 s.
func (p *pilot) move() error {
	w := p.world
	var agents, relays *tracked
	var err error
	if agents, err = listenLoopback(); err != nil {
		return err
	}
	if relays, err = listenLoopback(); err != nil {
		return err
	}
	w.mu.Lock()
	oldAgents, oldRelays := p.agent.listener, p.relay.listener
	p.agent.listener, p.relay.listener = agents, relays
	process := p.process
	w.excuse(4 * time.Second)
	w.log.line("pilot %s gets new addresses and SIGHUP", p.name)
	w.mu.Unlock()
	go func() { _ = p.agent.server.Serve(agents) }()
	go func() { _ = p.relay.server.Serve(relays) }()
	_ = oldAgents.Close()
	_ = oldRelays.Close()
	if err := p.config(); err != nil {
		return err
	}
	if err := process.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	time.AfterFunc(1500*time.Millisecond, func() {
		oldAgents.resetAll()
		oldRelays.resetAll()
	})
	return nil
}

// ended records the end of the process: the proxies' streams break. The caller holds the world's lock.
func (p *pilot) ended(err error) {
	w := p.world
	w.log.line("pilot %s has ended: %v", p.name, err)
	if !p.ending {
		w.broken("pilot %s has ended by itself: %v", p.name, err)
	}
	p.up = false
	for _, n := range sortedKeys(p.relay.joined) {
		w.leave(p.relay.joined[n], "its pilot has ended")
	}
	p.relay.reset()
}

// end sends a signal that ends the process and waits for its end.
func (p *pilot) end(signal syscall.Signal) {
	p.world.mu.Lock()
	p.ending = true
	process, exited := p.process, p.exited
	p.world.log.line("signal %v to pilot %s", signal, p.name)
	p.world.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(signal)
	select {
	case <-exited:
	case <-time.After(5 * time.Second):
		_ = process.Process.Kill()
		<-exited
	}
}

// tell records what the agent has told the pilot. The caller holds the world's lock.
func (p *pilot) tell(a listAnswer) {
	now := time.Now()
	present := map[string]bool{}
	for _, e := range a.Endpoints {
		present[e.Name] = true
		p.told[e.Name] = e
		switch {
		case e.Status == active:
			delete(p.toldAt, e.Name)
		case p.toldAt[e.Name].IsZero():
			p.toldAt[e.Name] = now
		}
	}
	if !a.Snapshot {
		return
	}
	for name, e := range p.told {
		if !present[name] && p.toldAt[name].IsZero() {
			e.Status = left
			p.told[name] = e
			p.toldAt[name] = now
		}
	}
}

// met counts one try of a joined proxy. The caller holds the world's lock.
func (p *pilot) met(zone, endpoint string, failed bool, took time.Duration, load string) {
	key := [2]string{zone, endpoint}
	s := p.heard[key]
	if s == nil {
		s = &sums{since: time.Now()}
		p.heard[key] = s
	}
	s.total++
	if failed {
		s.errors++
	} else {
		s.rtt += float64(took.Microseconds()) / 1000
	}
	if load != "" {
		s.load = load
	}
}

// collect is the collector of one zone: it forwards the sums until the process ends.
func (p *pilot) collect(zone string) {
	w := p.world
	w.mu.Lock()
	exited := p.exited
	w.mu.Unlock()
	conn, err := net.Dial("tcp", p.listen)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "collector locality=%s\r\n", zone); err != nil {
		return
	}
	began := time.Now()
	for {
		select {
		case <-exited:
			return
		case <-w.ended:
			return
		case <-time.After(w.d.period):
		}
		w.mu.Lock()
		lines := p.reports(zone, time.Since(began))
		w.mu.Unlock()
		began = time.Now()
		time.AfterFunc(w.d.reportLate, func() { _, _ = conn.Write([]byte(strings.Join(lines, ""))) })
	}
}

// reports returns and forgets the sums of one zone. The caller holds the world's lock.
func (p *pilot) reports(zone string, span time.Duration) (lines []string) {
	most := max(4, int(float64(p.world.d.intakePerS)*p.world.d.period.Seconds())/len(p.world.d.zones))
	for key, s := range p.heard {
		if key[0] != zone || len(lines) >= most {
			continue
		}
		rtt := 0.0
		if good := s.total - s.errors; good > 0 {
			rtt = s.rtt / float64(good)
		}
		metrics := ""
		if s.load != "" {
			metrics = " metrics=" + s.load
		}
		lines = append(lines, fmt.Sprintf("heard locality=%s endpoint=%s total=%d errors=%d rtt=%.1f interval=%.1f%s\r\n",
			zone, key[1], s.total, s.errors, rtt, max(1, float64(time.Since(s.since).Milliseconds())), metrics))
		delete(p.heard, key)
	}
	for _, n := range sortedKeys(p.relay.joined) {
		proxy := p.relay.joined[n]
		for _, c := range p.world.d.classes {
			if u := proxy.usage[c.name]; proxy.zone == zone && u[0] > 0 && len(lines) < 2*most {
				lines = append(lines, fmt.Sprintf("usage node=%d route=%s total=%d errors=%d interval=%.1f\r\n", n, c.name, u[0],
					u[1], float64(span.Milliseconds())))
				delete(proxy.usage, c.name)
			}
		}
	}
	return lines
}

// deployCommand returns a command of the deploy file.
func deployCommand(key string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		name, value, ok := strings.Cut(line, "=")
		if !ok || strings.TrimSpace(name) != key {
			continue
		}
		parts := strings.SplitN(value, `"`, 3)
		if len(parts) == 3 {
			return parts[1], nil
		}
	}
	return "", fmt.Errorf("the deploy file has no %s", key)
}
