// Package catalog is the platform's discovery agent on loopback for tests: it serves the endpoint list and its changes
// over HTTP. It decides nothing. Tests start it beside package relay's relay.
package catalog

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Statuses of an endpoint, as the platform spells them.
const (
	Active  = "active"
	Leaving = "leaving" // draining
	Left    = "left"    // gone: in changes, but not in the whole list
)

// maxWatch bounds how long a watch waits for a change.
const maxWatch = 10 * time.Second

// Member is one endpoint on the list.
type Member struct{ Name, Zone, Status string }

// Catalog serves a list that the test changes.
type Catalog struct {
	server  *http.Server
	address string

	mu      sync.Mutex // guards what follows
	version int
	members []Member
	changed []int         // by member: the version at which it last changed
	notify  chan struct{} // closed at the next change
}

// Start serves a first list on a free port of the loopback address.
func Start(members []Member) (*Catalog, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for discovery: %w", err)
	}
	c := &Catalog{
		version: 1,
		members: slices.Clone(members),
		changed: make([]int, len(members)),
		notify:  make(chan struct{}),
		address: listener.Addr().String(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", c.serve)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: maxWatch}
	go func() { _ = c.server.Serve(listener) }() // ends with Close, as does its error
	return c, nil
}

// Address returns the host and port that the list is served at.
func (c *Catalog) Address() string { return c.address }

// Close ends the server and all calls under way.
func (c *Catalog) Close() { _ = c.server.Close() }

// Set changes the status of some endpoints in one new version.
func (c *Catalog) Set(status string, names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	for i := range c.members {
		if slices.Contains(names, c.members[i].Name) {
			c.members[i].Status = status
			c.changed[i] = c.version
		}
	}
	close(c.notify)
	c.notify = make(chan struct{})
}

func (c *Catalog) serve(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, err := strconv.Atoi(query.Get("index"))
	if err != nil {
		_, _ = w.Write(c.list(0)) // the caller sees a broken answer by itself
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait")) // absent: no wait
	c.await(request, since, min(maxWatch, time.Duration(wait)*time.Millisecond))
	_, _ = w.Write(c.list(since))
}

// await returns once something newer than a version exists, or the wait is over.
func (c *Catalog) await(request *http.Request, since int, wait time.Duration) {
	c.mu.Lock()
	version := c.version
	notify := c.notify
	c.mu.Unlock()
	if version > since {
		return
	}
	select {
	case <-notify:
	case <-time.After(wait):
	case <-request.Context().Done():
	}
}

// list returns the answer with what changed after a version, or with the whole list after version 0.
func (c *Catalog) list(since int) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entries []string
	for i, m := range c.members {
		if c.isListed(i, since) {
			entries = append(entries, fmt.Sprintf(`{"name":%q,"zone":%q,"type":"m","status":%q,"weight":1,"since_ms":0}`,
				m.Name, m.Zone, m.Status))
		}
	}
	return fmt.Appendf(nil, `{"index":%d,"snapshot":%t,"endpoints":[%s]}`,
		c.version, since == 0, strings.Join(entries, ","))
}

// isListed returns whether a member belongs into an answer. The caller holds mu.
func (c *Catalog) isListed(member, since int) bool {
	if since == 0 {
		return c.members[member].Status != Left
	}
	return since > 0 && c.changed[member] > since
}
