// Package eventlog records the events that each part of the testbed observes on its own sockets, with timestamps of a
// common clock. The event logs are the only input of package audit, which evaluates them.
package eventlog

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Log holds the events of one rehearsal, in one stream for each part of the testbed, and the clock of their timestamps.
// It is safe for concurrent use.
type Log struct {
	started time.Time
	mu      sync.Mutex
	streams map[string]*Stream // by name of the part that logs; guarded by mu
}

// NewLog returns an empty log whose clock starts at 0 now.
func NewLog() *Log { return &Log{started: time.Now(), streams: map[string]*Stream{}} }

// Now returns the time since the start of the log, in ms.
func (l *Log) Now() float64 { return float64(time.Since(l.started)) / float64(time.Millisecond) }

// Stream returns the stream with a name and creates it if necessary. The name becomes Event.Who.
func (l *Log) Stream(who string) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams[who] == nil {
		l.streams[who] = &Stream{who: who, log: l}
	}
	return l.streams[who]
}

// Events returns the events of all streams sorted by time. Events with equal times are sorted by the name of the
// stream, and within a stream they keep their order.
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

// Stream holds the events logged by one part of the testbed. It is safe for concurrent use.
type Stream struct {
	who    string
	log    *Log
	mu     sync.Mutex
	events []Event // guarded by mu
}

// Add appends an event to the stream. It sets At to the current time and Who to the name of the stream.
func (s *Stream) Add(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.At = s.log.Now()
	e.Who = s.who
	s.events = append(s.events, e)
}

// Now returns the time since the start of the log, in ms.
func (s *Stream) Now() float64 { return s.log.Now() }

// appendTo appends the events of the stream to list and returns the extended list.
func (s *Stream) appendTo(list []Event) []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(list, s.events...)
}
