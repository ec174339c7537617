package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"
)

// entry is an endpoint in the form of discovery.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// Statuses of an endpoint.
const (
	active  = "active"
	leaving = "leaving"
	left    = "left"
)

// listAnswer is an answer of discovery.
type listAnswer struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

// registry is the list of endpoints with its history. World.mu guards it.
type registry struct {
	version int
	entries map[string]entry
	changed map[string]int // version of the latest change, by name
	notify  chan struct{}  // closed at each change
}

func newRegistry() registry {
	return registry{version: 1, entries: map[string]entry{}, changed: map[string]int{}, notify: make(chan struct{})}
}

// put sets an entry in a new version. The caller holds the world's lock.
func (r *registry) put(entries ...entry) {
	r.version++
	for _, e := range entries {
		r.entries[e.Name] = e
		r.changed[e.Name] = r.version
	}
	close(r.notify)
	r.notify = make(chan struct{})
}

// since returns the changes after a version, or the whole list for a version below 0.
func (r *registry) since(version int) listAnswer {
	a := listAnswer{Index: r.version, Snapshot: version < 0, Endpoints: []entry{}}
	for name, e := range r.entries {
		if version < 0 && e.Status != left || version >= 0 && r.changed[name] > version {
			a.Endpoints = append(a.Endpoints, e)
		}
	}
	sort.Slice(a.Endpoints, func(i, j int) bool { return a.Endpoints[i].Name < a.Endpoints[j].Name })
	return a
}

// agent is a pilot's discovery agent.
type agent struct {
	world    *world
	pilot    *pilot
	listener *tracked
	server   *http.Server

	silentTill time.Time // discovery is down until then
}

// newAgent starts an agent on a free port.
func newAgent(w *world, p *pilot) (*agent, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	a := &agent{world: w, pilot: p, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.serve)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 30 * time.Second}
	go func() { _ = a.server.Serve(listener) }()
	return a, nil
}

func (a *agent) serve(out http.ResponseWriter, request *http.Request) {
	w := a.world
	for a.silent() {
		time.Sleep(pollInterval)
		if request.Context().Err() != nil {
			return
		}
	}
	since := -1
	if text := request.URL.Query().Get("index"); text != "" {
		since, _ = strconv.Atoi(text)
		wait, _ := strconv.Atoi(request.URL.Query().Get("wait"))
		w.mu.Lock()
		notify, version := w.list.notify, w.list.version
		w.mu.Unlock()
		if version <= since {
			select {
			case <-notify:
			case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
			case <-request.Context().Done():
				return
			}
		}
	}
	if a.silent() {
		resetAnswer(out)
		return
	}
	w.mu.Lock()
	answer := w.list.since(since)
	w.mu.Unlock()
	text, _ := json.Marshal(answer)
	if _, err := out.Write(text); err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	a.pilot.tell(answer)
	if len(answer.Endpoints) > 0 {
		w.log.line("list to %s: version %d whole %t %s", a.pilot.name, answer.Index, answer.Snapshot, brief(answer))
	}
}

// silent returns whether discovery is down.
func (a *agent) silent() bool {
	a.world.mu.Lock()
	defer a.world.mu.Unlock()
	return time.Now().Before(a.silentTill)
}

// breaks has discovery say nothing for a time.
func (a *agent) breaks(span time.Duration) {
	a.world.mu.Lock()
	defer a.world.mu.Unlock()
	a.silentTill = time.Now().Add(span)
	a.world.log.line("discovery of %s says nothing for %v", a.pilot.name, span)
}

// brief returns the entries of an answer in short.
func brief(a listAnswer) string {
	text := ""
	for _, e := range a.Endpoints {
		text += e.Name + "=" + e.Status + " "
	}
	return text
}
