package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// pilotProcess is the pilot, as the deploy file starts it. World.mu guards its fields.
type pilotProcess struct {
	w          *world
	dir        string // for its configuration and log
	run        string // command of the deploy file
	root       string // root of the repository
	listen     string
	command    *exec.Cmd
	ended      chan struct{}
	life       int
	answeredAt float64 // when it first answered a ping
	wanted     bool    // it shall run: an end is a crash
}

func newPilot(w *world, root, run, dir string) (*pilotProcess, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }()
	return &pilotProcess{w: w, dir: dir, run: run, root: root, listen: l.Addr().String()}, nil
}

// configure writes the configuration file, by renaming a new one. The caller must hold mu.
func (p *pilotProcess) configure() error {
	w := p.w
	d := &w.d
	var profiles []map[string]any
	for _, c := range d.classes {
		profiles = append(profiles, map[string]any{
			"name": c.name, "aim": c.aimMs * 1e6, "give_up": c.giveUpMs * 1e6, "idempotency": c.idempotency, "importance": 2,
			"late_worth": 0.1, "group": "all", "window": 5e9,
		})
	}
	config := map[string]any{
		"name": "n3", "listen": p.listen, "discovery": w.agent.address, "seed": "8c1f30d27a5be964",
		"limits":      map[string]any{"cores": d.cores, "memory_mb": 192, "sockets": 1024},
		"peer_listen": "", "peers": []string{}, "relay": map[string]any{"address": w.relay.address},
		"known": w.agent.known(),
		"settings": map[string]any{
			"dcs": d.zones, "kinds": []string{"m2"}, "instances": d.instances, "rank": 0, "discovery": d.discovery(),
			"family": "control", "profiles": profiles, "zone": d.zones[0], "weight_kind": "nominal", "worth_by": "request",
			"extra": map[string]any{
				"admission": d.admission, "backlog": d.backlog, "bootstrap": d.standing, "by_zone": true,
				"class_own_zone": d.ownZones(), "conns_least": d.conns, "counted_over": d.windowMs * 1e6,
				"egress_per_s": d.linesPerS, "empty_for": d.emptyForMs * 1e6, "envelope": d.head, "first_wait": 0.8,
				"ingest_rate": 60, "lb_method": "weighted", "outlier_after": 5, "partitions_n": 0, "proxy_count": d.proxies,
				"push_delay": d.lateMs * 1e6, "pushes_allowed": d.maxMessages, "report_every": 5e8, "retry_default": d.retryDefault,
				"transit_max": 480e6, "write_classes": falses(len(d.classes)),
			},
			"obligations": map[string]any{
				"ask_within": 10e9, "cold": d.coldMs * 1e6, "cold_from": d.coldFrom, "drain_grace": d.graceMs * 1e6,
				"fall": d.fallMs * 1e6, "fall_multiple": d.fallMultiple,
			},
			"policy_limits": map[string]any{"peers": false, "probing": false, "multiplex": 32},
			"prices":        map[string]any{"cross_zone": 0.12, "connection": 0.02},
			"report":        map[string]any{"fields": []string{"cpu_share", "served_ps"}, "how": "inline"},
		},
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// ownZones returns, by class, whether it may go to endpoints of the proxy's zone alone.
func (d *deployment) ownZones() (list []bool) {
	for _, c := range d.classes {
		list = append(list, c.ownZone)
	}
	return list
}

// discovery returns how the list comes.
func (d *deployment) discovery() string {
	if d.onRequest {
		return "on_request"
	}
	return "pushed"
}

func falses(n int) []bool { return make([]bool, n) }

// begin starts the pilot and waits until it answers.
func (p *pilotProcess) begin() error {
	p.w.mu.Lock()
	err := p.configure()
	p.life++
	p.answeredAt = 0
	p.w.relay.forget()
	p.w.mu.Unlock()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "pilot.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("/bin/sh", "-c", p.run)
	c.Dir = p.root
	c.Stdout, c.Stderr = log, log
	c.Env = append(os.Environ(), "NODE_NAME=n3", "NODE_LISTEN="+p.listen, "NODE_DISCOVERY="+p.w.agent.address,
		"NODE_CONFIG="+filepath.Join(p.dir, "config.json"), "TMPDIR="+p.dir)
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.w.mu.Lock()
	p.command = c
	p.ended = ended
	p.wanted = true
	p.w.log("pilot started")
	p.w.mu.Unlock()
	go func() {
		err := c.Wait()
		_ = log.Close()
		p.w.mu.Lock()
		if p.wanted && p.command == c {
			p.w.breakRule("crash", "", "the pilot ended: %v", err)
		}
		p.w.mu.Unlock()
		close(ended)
	}()
	for range 300 {
		if p.ping() {
			p.w.mu.Lock()
			p.answeredAt = p.w.nowMs()
			p.w.log("pilot answers")
			p.w.mu.Unlock()
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the pilot does not answer")
}

// ping asks the pilot for a sign of life.
func (p *pilotProcess) ping() bool {
	conn, err := net.DialTimeout("tcp", p.listen, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte("ping\r\n")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "pong\r\n"
}

// signal sends a signal to the pilot.
func (p *pilotProcess) signal(s syscall.Signal) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.w.log("signal %v to the pilot", s)
	_ = p.command.Process.Signal(s)
}

// end ends the pilot with a signal and waits for it.
func (p *pilotProcess) end(s syscall.Signal) {
	p.w.mu.Lock()
	p.wanted = false
	p.answeredAt = 0
	ended := p.ended
	p.w.mu.Unlock()
	p.signal(s)
	select {
	case <-ended:
	case <-time.After(time.Second):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

// collect reports what the proxies of a zone met, every half second, until the world ends.
func (w *world) collect(zone string, stop <-chan struct{}) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		if conn == nil {
			c, err := net.DialTimeout("tcp", w.pilot.listen, 200*time.Millisecond)
			if err != nil {
				continue
			}
			conn = c
			_, _ = fmt.Fprintf(conn, "collector locality=%s\r\n", zone)
		}
		if _, err := conn.Write([]byte(w.reports(zone))); err != nil {
			_ = conn.Close()
			conn = nil
		}
	}
}

// reports returns the report lines of a zone and resets the counts.
func (w *world) reports(zone string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := ""
	for _, s := range w.servers {
		t := s.count[zone]
		if t == nil || t.total == 0 {
			continue
		}
		rtt := 0.0
		metrics := ""
		if t.total > t.errors {
			rtt = t.rttSum / float64(t.total-t.errors)
			rate := 0.0
			for _, other := range s.count {
				rate += 2 * float64(other.total)
			}
			metrics = fmt.Sprintf(" metrics=util:%.3f,qps:%.1f", rate*130/s.capacity/w.warmth(s), rate)
		}
		text += fmt.Sprintf("heard locality=%s endpoint=%s total=%d errors=%d rtt=%.1f interval=500.0%s\r\n", zone, s.name,
			t.total, t.errors, rtt, metrics)
		*t = tally{}
	}
	for _, p := range w.proxies {
		if p.zone != zone || !p.joined {
			continue
		}
		for name, n := range p.counts {
			if n[0] > 0 {
				text += fmt.Sprintf("usage node=%d route=%s total=%d errors=%d interval=500.0\r\n", p.number, name, n[0], n[1])
			}
		}
		clear(p.counts)
	}
	return text
}
