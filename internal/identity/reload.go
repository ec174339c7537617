package identity

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// checkInterval is the shortest time between two checks of the same files.
const checkInterval = 200 * time.Millisecond

// fileWatch detects files that have changed since they were read. It is guarded by its owner's lock.
type fileWatch struct {
	readStamp time.Time // modification time of the newest file when the files were read
	checkedAt time.Time
	err       error // of the last check or reload
}

// reload calls read if the files have changed since they were read. Checks are limited to one per checkInterval.
func (w *fileWatch) reload(read func() error, files ...string) {
	if time.Since(w.checkedAt) <= checkInterval {
		return
	}
	w.checkedAt = time.Now()
	stamp, err := newestModTime(files...)
	if err != nil {
		w.err = err
		return
	}
	if !stamp.Equal(w.readStamp) {
		w.err = read()
	}
}

// newest returns the modification time of the file that changed last.
func newestModTime(files ...string) (time.Time, error) {
	var latest time.Time
	for _, file := range files {
		info, err := os.Stat(file)
		if err != nil {
			return latest, fmt.Errorf("keys: %w", err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

// replace writes a file under a temporary name and renames it, so that no reader sees a partial file.
func writeFileAtomic(path string, data []byte, mode os.FileMode) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", data, mode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
