// Package eventlog keeps what each part of the testbed saw on its own sockets, as events with the rehearsal's time.
// Event logs are the audit's only evidence. A log records; it judges nothing.
package eventlog

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Log holds the events of one rehearsal, a stream for each who saw them, and its clock.
type Log struct {
	began   time.Time
	mu      sync.Mutex
	streams map[string]*Stream // by who; guarded by mu
}

// NewLog returns an empty log whose clock starts now.
func NewLog() *Log { return &Log{began: time.Now(), streams: map[string]*Stream{}} }

// Now returns the time in ms since the log began.
func (l *Log) Now() float64 { return float64(time.Since(l.began)) / float64(time.Millisecond) }

// Stream returns the stream of one part of the testbed.
func (l *Log) Stream(who string) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams[who] == nil {
		l.streams[who] = &Stream{who: who, log: l}
	}
	return l.streams[who]
}

// Events returns all events by time; those of one moment by who saw them, then in that one's order.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Event
	for _, who := range slices.Sorted(maps.Keys(l.streams)) {
		all = l.streams[who].appendTo(all)
	}
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return all
}

// Stream is what one part of the testbed saw.
type Stream struct {
	who    string
	log    *Log
	mu     sync.Mutex
	events []Event // guarded by mu
}

// Add logs an event with the time of the call.
func (s *Stream) Add(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.At = s.log.Now()
	e.Who = s.who
	s.events = append(s.events, e)
}

// Now returns the log's time.
func (s *Stream) Now() float64 { return s.log.Now() }

// appendTo returns a list with the stream's events behind it.
func (s *Stream) appendTo(list []Event) []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(list, s.events...)
}
