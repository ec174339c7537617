package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// cores is the number of requests that an endpoint works on at once at full speed.
const cores = 4

// server is one endpoint: a process that answers requests at an address of its own.
type server struct {
	world    *world
	entry    entry
	listener net.Listener
	conns    map[net.Conn]bool

	running int       // requests in hand
	done    int       // requests answered since the last report
	busy    float64   // seconds of work since the last report
	cutAt   time.Time // when the report period began
	util    float64   // as last reported
	qps     float64
	stopped bool
	ran     int
}

// newServer starts an endpoint on a free port.
func newServer(w *world, m member, since time.Time) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{world: w, listener: listener, conns: map[net.Conn]bool{}, cutAt: time.Now()}
	s.entry = entry{
		Name: m.name, Address: listener.Addr().String(), Zone: m.zone, Type: m.kind, Status: active, Weight: 1,
	}
	if !since.IsZero() {
		s.entry.SinceMs = since.UnixMilli()
	}
	go s.accept()
	return s, nil
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.world.mu.Lock()
		if s.stopped {
			s.world.mu.Unlock()
			_ = conn.Close()
			return
		}
		s.conns[conn] = true
		s.world.mu.Unlock()
		go s.serve(conn)
	}
}

// serve answers the requests of one connection: a line with id, class and work in milliseconds.
func (s *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.world.mu.Lock()
		delete(s.conns, conn)
		s.world.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		var id int
		var kind string
		var work float64
		if _, err := fmt.Sscanf(strings.TrimSpace(line), "%d %s %g", &id, &kind, &work); err != nil {
			return
		}
		s.world.mu.Lock()
		s.running++
		slow := max(1, float64(s.running)/cores)
		s.world.mu.Unlock()
		time.Sleep(time.Duration(work * slow * float64(time.Millisecond)))
		s.world.mu.Lock()
		s.running--
		s.done++
		s.ran++
		s.busy += work / 1000
		util, qps, stopped := s.util, s.qps, s.stopped
		s.world.mu.Unlock()
		if stopped {
			return
		}
		if _, err := fmt.Fprintf(conn, "%d ok util:%.3f,qps:%.1f\n", id, util, qps); err != nil {
			return
		}
	}
}

// refresh renews the figures of the load report. The caller holds the world's lock.
func (s *server) refresh() {
	span := time.Since(s.cutAt).Seconds()
	s.util = s.busy / span / cores
	s.qps = float64(s.done) / span
	s.busy, s.done, s.cutAt = 0, 0, time.Now()
}

// stop ends the process. The caller holds the world's lock.
func (s *server) stop() {
	s.stopped = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// ask sends one request to an address and returns the load report of the answer. dialed tells whether the request was
// sent at all.
func ask(address string, id int, kind string, work float64, limit time.Duration) (load string, dialed bool, err error) {
	conn, err := net.DialTimeout("tcp", address, 250*time.Millisecond)
	if err != nil {
		return "", false, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return "", false, err
	}
	if _, err := fmt.Fprintf(conn, "%d %s %.1f\n", id, kind, work); err != nil {
		return "", true, err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "", true, err
	}
	words := strings.Fields(line)
	if len(words) != 3 || words[1] != "ok" {
		return "", true, io.ErrUnexpectedEOF
	}
	return words[2], true, nil
}
