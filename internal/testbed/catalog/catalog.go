// Package catalog implements a fake of the platform's discovery agent for tests. It serves the endpoint list and its
// changes over HTTP on a loopback address. Tests use it together with the fake relay of package relay.
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

// Statuses of an endpoint, as the platform's discovery API names them.
const (
	Active  = "active"  // in service
	Leaving = "leaving" // draining
	Left    = "left"    // removed; reported as a change, but not part of the complete list
)

// maxWatch is the maximum time that a call waits for a change.
const maxWatch = 10 * time.Second

// Member is an endpoint of the list.
type Member struct{ Name, Zone, Status string }

// Catalog serves an endpoint list that a test can change. It is safe for concurrent use.
type Catalog struct {
	server  *http.Server
	address string

	mu      sync.Mutex // guards the fields below
	version int        // incremented by each change of the list
	members []Member
	changed []int         // by index of the member: the version in which it last changed; 0 if it never has
	notify  chan struct{} // closed when the list changes, and then replaced
}

// Start serves a list with the given members on a free port of the loopback address.
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
	go func() { _ = c.server.Serve(listener) }() // returns http.ErrServerClosed after Close
	return c, nil
}

// Address returns the host and port at which the list is served.
func (c *Catalog) Address() string { return c.address }

// Close stops the server and closes the connections of all calls in progress.
func (c *Catalog) Close() { _ = c.server.Close() }

// Set changes the status of the endpoints with the given names, in one new version of the list.
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
		_, _ = w.Write(c.list(0)) // the client detects a failed write as an incomplete answer
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait")) // in ms; 0 if absent, which means no wait
	c.await(request, since, min(maxWatch, time.Duration(wait)*time.Millisecond))
	_, _ = w.Write(c.list(since))
}

// await returns once the list has a version newer than since, or after wait, or when the request is cancelled.
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

// list returns the JSON answer with the members changed after version since, or with the complete list if since is 0.
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

// isListed reports whether the member at an index is part of the answer for since, see list. The caller must hold mu.
func (c *Catalog) isListed(member, since int) bool {
	if since == 0 {
		return c.members[member].Status != Left
	}
	return since > 0 && c.changed[member] > since
}
