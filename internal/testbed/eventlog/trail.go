// Package eventlog keeps what each stand-in saw on its own sockets, as events with the rehearsal's time. Trails are the
// audit's only evidence. A trail records; it judges nothing.
package eventlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// What names an event.
type What string

// The events. In brackets the fields that count beside At and Who.
const (
	Start    What = "start"    // a process began (N: start number; endpoints: Value capacity in work ms a ms, Text zone)
	Stop     What = "stop"     // a process ended
	Join     What = "join"     // a proxy was welcomed (Peer pilot, Kind the proxy's zone)
	Leave    What = "leave"    // its stream ended (Peer pilot)
	Got      What = "message"  // orders arrived (Peer pilot, N lines, Value ms in the pilot's channel, Since when ordered)
	Lines    What = "lines"    // lines to pick from changed (Kind, N)
	Send     What = "send"     // a try left (Peer endpoint, Kind, Req, Text key, N try)
	Refuse   What = "refuse"   // a req was denied (Kind, Req, Text why)
	Arrive   What = "arrive"   // a try came in (Peer proxy, Kind, Req, Value work ms)
	Effect   What = "effect"   // a req took effect (Peer proxy, Kind, Req)
	Fell     What = "fell"     // a cold endpoint was pushed over
	Told     What = "told"     // the list told a pilot of an endpoint (Peer pilot, Text endpoint, Kind zone, N phase, Value age ms, -1 for the distant past)
	Given    What = "given"    // the store gave a slice to an endpoint (Peer endpoint, N slice, Text its first key)
	Cut      What = "cut"      // streams between two places stopped carrying (Text, Peer)
	Mended   What = "mended"   // and carry again
	Asked    What = "asked"    // a client asked (Kind, Req)
	Answered What = "answered" // and it ended (Kind, Req, Value ms, Text outcome)
	Note     What = "note"     // the rehearsal did something (Text)
)

// Event is one line of a trail.
type Event struct {
	At    float64 `json:"at"` // ms since the rehearsal began
	Who   string  `json:"who"`
	What  What    `json:"what"`
	Peer  string  `json:"peer,omitempty"`
	Kind  string  `json:"kind,omitempty"`
	Req   uint64  `json:"req,omitempty"`
	N     int     `json:"n,omitempty"`
	Value float64 `json:"value,omitempty"`
	Since float64 `json:"since,omitempty"` // on the peer's clock
	Text  string  `json:"text,omitempty"`
}

// Log holds the trails of one rehearsal and its clock.
type Log struct {
	began  time.Time
	mu     sync.Mutex
	streams map[string]*Stream
}

// NewLog returns a book whose clock starts now.
func NewLog() *Log { return &Log{began: time.Now(), streams: map[string]*Stream{}} }

// Now returns the time in ms since the rehearsal began.
func (b *Log) Now() float64 { return float64(time.Since(b.began)) / float64(time.Millisecond) }

// Stream returns the trail of one stand-in.
func (b *Log) Stream(who string) *Stream {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.streams[who] == nil {
		b.streams[who] = &Stream{who: who, log: b}
	}
	return b.streams[who]
}

// Events returns all events by time; those of one moment by who saw them, then in that one's order.
func (b *Log) Events() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Event
	for _, who := range slices.Sorted(maps.Keys(b.streams)) {
		t := b.streams[who]
		t.mu.Lock()
		all = append(all, t.events...)
		t.mu.Unlock()
	}
	slices.SortStableFunc(all, func(a, c Event) int {
		switch {
		case a.At < c.At:
			return -1
		case a.At > c.At:
			return 1
		}
		return 0
	})
	return all
}

// Save writes each trail as JSON lines into a folder, and all of them merged as all.jsonl.
func (b *Log) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("save trails: %w", err)
	}
	byWho := map[string][]Event{"all": b.Events()}
	for _, e := range byWho["all"] {
		byWho[e.Who] = append(byWho[e.Who], e)
	}
	for who, events := range byWho {
		if err := save(filepath.Join(dir, who+".jsonl"), events); err != nil {
			return err
		}
	}
	return nil
}

func save(path string, events []Event) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("save trail: %w", err)
	}
	w := bufio.NewWriter(f)
	enc := json.NewEncoder(w)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			f.Close()
			return fmt.Errorf("save %s: %w", path, err)
		}
	}
	if err := w.Flush(); err != nil {
		f.Close()
		return fmt.Errorf("save %s: %w", path, err)
	}
	return f.Close()
}

// Stream is what one stand-in saw.
type Stream struct {
	who    string
	log   *Log
	mu     sync.Mutex
	events []Event
}

// Add notes an event with the time of the call.
func (t *Stream) Add(e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.At, e.Who = t.log.Now(), t.who
	t.events = append(t.events, e)
}

// Now returns the book's time.
func (t *Stream) Now() float64 { return t.log.Now() }
