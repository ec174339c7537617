package discovery

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
)

const (
	// settleTime is how long a file must be unchanged before it is read, as its writer may not be done.
	settleTime = 50 * time.Millisecond
	// maxUnsettled is the longest time that reading is put off while a file keeps changing.
	maxUnsettled = time.Second
	// unreadableFor is the shortest time between two reads of an invalid file that has not changed.
	unreadableRetryInterval = time.Second
)

// Load reads and validates a list file.
type Load func(path string) (*wire.List, error)

// File follows an endpoint list in a file. A file that can't be read or parsed is reported as a lost source; the last
// valid list stays in effect.
type File struct {
	path          string
	load          Load
	inbox         controller.Inbox
	log           *zap.Logger
	settleTime    time.Duration // settleTime, except in tests
	fetchRequests chan struct{}

	// Result of the last read, owned by Run.
	lastError  string // error text, or empty
	lastReadAt time.Time
}

// NewFile returns a source that has not read its file yet.
func NewFile(path string, load Load, inbox controller.Inbox, log *zap.Logger) *File {
	return &File{path: path, load: load, inbox: inbox, log: log, settleTime: settleTime, fetchRequests: make(chan struct{}, 1)}
}

// Watch requests a read of the file if on is set. Changes are watched in any case.
func (f *File) Watch(on bool) {
	if on {
		f.Fetch()
	}
}

// Fetch requests a read of the file. An invalid file is not read again at once: the controller calls Fetch as soon as
// it learns of the failure, which would otherwise result in an endless loop.
func (f *File) Fetch() {
	select {
	case f.fetchRequests <- struct{}{}:
	default: // a request is pending already
	}
}

// Run follows the file until ctx ends. It watches the directory, since most writers replace the file.
func (f *File) Run(ctx context.Context) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("watch %s: %w", f.path, err)
	}
	defer func() { _ = watcher.Close() }() // nothing is watched any more
	if err := watcher.Add(filepath.Dir(f.path)); err != nil {
		return fmt.Errorf("watch %s: %w", f.path, err)
	}
	f.read(ctx)
	f.follow(ctx, watcher)
	return nil
}

// follow reads the file whenever a read is due, until ctx ends.
func (f *File) follow(ctx context.Context, w *fsnotify.Watcher) {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	defer timer.Stop()
	var next readSchedule
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			next = readSchedule{}
			f.read(ctx)
			continue
		case <-f.fetchRequests:
			next.requestAt(f.earliestFetch())
		case e, ok := <-w.Events:
			if !ok || !f.isFileChange(e) {
				continue
			}
			next.postpone(time.Now(), f.settleTime)
		case err, ok := <-w.Errors:
			if ok {
				f.log.Warn("watching the endpoint list failed", zap.Error(err))
			}
			continue
		}
		timer.Reset(time.Until(next.at))
	}
}

// changedBy reports whether an event in the directory may have changed the file's content.
func (f *File) isFileChange(e fsnotify.Event) bool {
	return filepath.Clean(e.Name) == filepath.Clean(f.path) && !e.Has(fsnotify.Chmod)
}

// nextFetch returns the earliest time at which a requested read may happen.
func (f *File) earliestFetch() time.Time {
	if f.lastError != "" {
		return f.lastReadAt.Add(unreadableRetryInterval)
	}
	return time.Now()
}

// read reads the file and posts the result to the controller. A repeated failure is logged once.
func (f *File) read(ctx context.Context) {
	list, err := f.load(f.path)
	previous := f.lastError
	f.lastError = ""
	f.lastReadAt = time.Now()
	if err == nil {
		post(ctx, f.inbox, controller.EndpointsListed{List: list})
		return
	}
	f.lastError = err.Error()
	if f.lastError != previous {
		f.log.Warn("endpoint list can't be read, keeping the last one", zap.String("file", f.path), zap.Error(err))
	}
	post(ctx, f.inbox, controller.EndpointListLost{})
}

// schedule is the time of the next read. The zero value means that none is scheduled.
type readSchedule struct {
	at            time.Time
	changingSince time.Time // zero: no change since the last read
}

// advance schedules a read at a time, unless an earlier one is scheduled.
func (s *readSchedule) requestAt(at time.Time) {
	if s.at.IsZero() || at.Before(s.at) {
		s.at = at
	}
}

// putOff schedules a read for when the file, which has changed now, has been unchanged for settle or changing for
// maxUnsettled.
func (s *readSchedule) postpone(now time.Time, settle time.Duration) {
	if s.changingSince.IsZero() {
		s.changingSince = now
	}
	s.at = now.Add(settle)
	if s.at.Sub(s.changingSince) > maxUnsettled {
		s.at = s.changingSince.Add(maxUnsettled)
	}
}
