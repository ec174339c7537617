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

// lookEvery is how often files are looked at.
const lookEvery = 200 * time.Millisecond

// look notices files that have changed since they were read.
type look struct {
	stamp  time.Time // of the newest of them when they were read
	looked time.Time
	wrong  error // with what they are now
}

// anew reads files again, if they have changed and were not looked at just now.
func (l *look) anew(read func() error, files ...string) {
	if time.Since(l.looked) <= lookEvery {
		return
	}
	l.looked = time.Now()
	if stamp, err := newest(files...); err != nil {
		l.wrong = err
	} else if !stamp.Equal(l.stamp) {
		l.wrong = read()
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
