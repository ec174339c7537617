package keys

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// checkInterval is the least time between two looks at the same files.
const checkInterval = 200 * time.Millisecond

// fileWatch notices files that have changed since they were read. Its owner's lock guards it.
type fileWatch struct {
	readStamp time.Time // modification time of the newest of them when they were read
	checkedAt time.Time
	err       error // what is wrong with the files as they are now, if they can't be read
}

// reload calls read if the files have changed since they were read, unless they were looked at just now.
func (w *fileWatch) reload(read func() error, files ...string) {
	if time.Since(w.checkedAt) <= checkInterval {
		return
	}
	w.checkedAt = time.Now()
	stamp, err := newest(files...)
	if err != nil {
		w.err = err
		return
	}
	if !stamp.Equal(w.readStamp) {
		w.err = read()
	}
}

// newest returns when the last of some files was changed.
func newest(files ...string) (time.Time, error) {
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

// replace writes a file beside the old one and renames it, so that nobody reads half of it.
func replace(path string, text []byte, mode os.FileMode) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, mode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
