package keys

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

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

// checkInterval is how often files are looked at.
const checkInterval = 200 * time.Millisecond

// fileWatch notices files that have changed since they were read.
type fileWatch struct {
	readStamp time.Time // of the newest of them when they were read
	checkedAt time.Time
	err       error // with what they are now
}

// reload reads files again, if they have changed and were not looked at just now.
func (w *fileWatch) reload(read func() error, files ...string) {
	if time.Since(w.checkedAt) <= checkInterval {
		return
	}
	w.checkedAt = time.Now()
	if stamp, err := newest(files...); err != nil {
		w.err = err
	} else if !stamp.Equal(w.readStamp) {
		w.err = read()
	}
}

// newest returns when the last of some files was changed.
func newest(files ...string) (t time.Time, err error) {
	for _, f := range files {
		s, err := os.Stat(f)
		if err != nil {
			return t, fmt.Errorf("keys: %w", err)
		}
		if s.ModTime().After(t) {
			t = s.ModTime()
		}
	}
	return t, nil
}
