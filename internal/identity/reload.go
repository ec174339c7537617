package identity

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// checkInterval is the shortest time between two checks of the same files.
const checkInterval = 200 * time.Millisecond

// fileWatch detects files that have changed since they were read. The lock of the owning struct guards it.
type fileWatch struct {
	readStamp time.Time // latest modification time of the files when they were read
	checkedAt time.Time // time of the last check
	err       error     // error of the last check or reload
}

// reload calls read if the files have changed since they were read. It checks the files at most once per checkInterval.
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

// newestModTime returns the latest modification time of the files.
func newestModTime(files ...string) (time.Time, error) {
	var latest time.Time
	for _, file := range files {
		info, err := os.Stat(file)
		if err != nil {
			return latest, fmt.Errorf("read modification time of key file: %w", err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

// writeFileAtomic writes a file under a temporary name and renames it, so that no reader sees a partial file. It
// creates missing directories.
func writeFileAtomic(path string, data []byte, mode os.FileMode) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", data, mode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
