package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// toldLatestMs is how long after a change it counts as told, whether it arrived or not.
const toldLatestMs = 6000

// agent is the discovery agent of the pilot's machine. World.mu guards its fields.
type agent struct {
	w       *world
	address string
	servers []*http.Server
	version int
	told    int // highest version that was written to the pilot
	changed chan struct{}
	silent  bool
}

// member is an entry of the list.
type member struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// list is an answer of the agent.
type list struct {
	Index     int      `json:"index"`
	Snapshot  bool     `json:"snapshot"`
	Endpoints []member `json:"endpoints"`
}

func newAgent(w *world) (*agent, error) {
	a := &agent{w: w, version: 41, told: 41, changed: make(chan struct{})}
	return a, a.listen()
}

// listen opens one more address, which becomes the agent's.
func (a *agent) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	a.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.serve)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	a.servers = append(a.servers, s)
	go func() { _ = s.Serve(l) }() // ends when the server is closed
	return nil
}

// change makes a new version of the list with changes of some endpoints. The caller must hold mu.
func (a *agent) change(servers ...*server) {
	a.version++
	now := a.w.nowMs()
	for _, s := range servers {
		s.version = a.version
		s.toldAt = 0
		if s.status != "active" {
			s.drainedAt = now
		} else {
			s.drainedAt = 0
		}
		a.w.log("list %d: %s %s since %d", a.version, s.name, s.status, s.sinceMs)
	}
	close(a.changed)
	a.changed = make(chan struct{})
	time.AfterFunc(toldLatestMs*time.Millisecond, func() { a.tellAll(servers) })
}

// tellAll counts changes as told.
func (a *agent) tellAll(servers []*server) {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	for _, s := range servers {
		a.markTold(s)
	}
}

// markTold records that the pilot has been told of an endpoint's state. The caller must hold mu.
func (a *agent) markTold(s *server) {
	now := a.w.nowMs()
	if s.drainedAt > 0 && s.toldAt == 0 {
		s.toldAt = now
	}
	if s.sinceMs != 0 && s.freshAt == 0 {
		s.freshAt = now
	}
}

// entries returns the entries that changed after a version, or all that are listed if it is negative. The caller must
// hold mu.
func (a *agent) entries(since int) []member {
	members := []member{}
	for _, s := range a.w.servers {
		if since >= 0 && s.version <= since || since < 0 && s.status == "left" {
			continue
		}
		members = append(members, member{
			Name: s.name, Address: "127.0.0.1:3000", Zone: s.zone, Type: "m2", Status: s.status, Weight: 1,
			SinceMs: s.sinceMs,
		})
	}
	slices.SortFunc(members, func(x, y member) int { return strings.Compare(x.Name, y.Name) })
	return members
}

// known returns the whole list as JSON, as the platform keeps it for a pilot. The caller must hold mu.
func (a *agent) known() list { return list{Index: a.version, Snapshot: true, Endpoints: a.entries(-1)} }

func (a *agent) serve(out http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, err := strconv.Atoi(query.Get("index"))
	whole := err != nil
	wait, _ := strconv.Atoi(query.Get("wait"))
	a.w.mu.Lock()
	if !whole && a.version <= since && wait > 0 {
		changed := a.changed
		a.w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
		a.w.mu.Lock()
	}
	if a.silent {
		a.w.mu.Unlock()
		<-request.Context().Done()
		return
	}
	answer := list{Index: a.version, Snapshot: whole}
	if whole {
		since = -1
	}
	answer.Endpoints = a.entries(since)
	text, _ := json.Marshal(answer)
	a.told = max(a.told, a.version)
	if len(answer.Endpoints) > 0 {
		a.w.log("list asked from %d by %s, answered %d with %d entries", since, request.RemoteAddr, a.version, len(answer.Endpoints))
	}
	for _, s := range a.w.servers {
		a.markTold(s)
	}
	a.w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_, _ = out.Write(text)
}
