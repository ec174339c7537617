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
	// settleTime is how long a file must be unchanged before it is read, because its writer may not have finished.
	settleTime = 50 * time.Millisecond
	// maxUnsettled is the longest time that reading is postponed while a file keeps changing.
	maxUnsettled = time.Second
	// unreadableRetryInterval is the shortest time between two reads of an invalid file that has not changed.
	unreadableRetryInterval = time.Second
)

// Load reads and validates the endpoint list in a file.
type Load func(path string) (*wire.List, error)

// File follows an endpoint list in a file. If the file cannot be read or parsed, File posts
// controller.EndpointListLost, and the last valid list remains in effect.
type File struct {
	path          string
	load          Load
	inbox         controller.Inbox
	log           *zap.Logger
	settleTime    time.Duration // the constant settleTime, except in tests
	fetchRequests chan struct{}

	// Result of the last read, owned by Run.
	lastError  string // error text; "": the read succeeded
	lastReadAt time.Time
}

// NewFile returns a source that reads the list at path with load and posts it to inbox. Run must be called to start it.
func NewFile(path string, load Load, inbox controller.Inbox, log *zap.Logger) *File {
	return &File{path: path, load: load, inbox: inbox, log: log, settleTime: settleTime, fetchRequests: make(chan struct{}, 1)}
}

// Watch requests a read of the file if on is set. The file is watched for changes regardless of on.
func (f *File) Watch(on bool) {
	if on {
		f.Fetch()
	}
}

// Fetch requests a read of the file. If the last read failed, the next one is delayed by unreadableRetryInterval. The
// planner requests the list as soon as it is lost; without the delay an invalid file would be read in an endless loop.
func (f *File) Fetch() {
	select {
	case f.fetchRequests <- struct{}{}:
	default: // another request is pending already
	}
}

// Run follows the file until ctx is cancelled. It watches the directory rather than the file, because most writers
// replace the file.
func (f *File) Run(ctx context.Context) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("watch %s: %w", f.path, err)
	}
	defer func() { _ = watcher.Close() }() // the watcher is not used any more
	if err := watcher.Add(filepath.Dir(f.path)); err != nil {
		return fmt.Errorf("watch %s: %w", f.path, err)
	}
	f.read(ctx)
	f.follow(ctx, watcher)
	return nil
}

// follow reads the file whenever a scheduled read is due, until ctx is cancelled.
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

// isFileChange reports whether an event in the directory may have changed the content of the file.
func (f *File) isFileChange(e fsnotify.Event) bool {
	return filepath.Clean(e.Name) == filepath.Clean(f.path) && !e.Has(fsnotify.Chmod)
}

// earliestFetch returns the earliest time at which a requested read may happen.
func (f *File) earliestFetch() time.Time {
	if f.lastError != "" {
		return f.lastReadAt.Add(unreadableRetryInterval)
	}
	return time.Now()
}

// read reads the file and posts the result to the inbox. If the same error occurs repeatedly, it is logged once.
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

// readSchedule is the time of the next read. The zero value means that no read is scheduled.
type readSchedule struct {
	at            time.Time
	changingSince time.Time // time of the first change since the last read; zero: no change
}

// requestAt schedules a read at the given time, unless an earlier one is scheduled.
func (s *readSchedule) requestAt(at time.Time) {
	if s.at.IsZero() || at.Before(s.at) {
		s.at = at
	}
}

// postpone schedules a read after a change of the file at time now. The read is due after the duration settle, but at
// the latest maxUnsettled after the first change. It replaces a scheduled read.
func (s *readSchedule) postpone(now time.Time, settle time.Duration) {
	if s.changingSince.IsZero() {
		s.changingSince = now
	}
	s.at = now.Add(settle)
	if s.at.Sub(s.changingSince) > maxUnsettled {
		s.at = s.changingSince.Add(maxUnsettled)
	}
}
