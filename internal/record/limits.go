package record

import "time"

// Bounds limit what a store takes, and pace its commits.
type Bounds struct {
	Bytes   int64         // of all records together; beyond them the oldest segments are dropped; 0 or less: no limit
	Age     time.Duration // beyond which a segment is dropped; 0: no limit
	Segment int           // bytes after which a new segment begins
	Every   time.Duration // between two commits, each of which waits for the disk once
}

// DefaultBounds are 1 GiB, a week, 8 MiB a segment, and a commit each 200 ms.
func DefaultBounds() Bounds {
	return Bounds{Bytes: 1 << 30, Age: 7 * 24 * time.Hour, Segment: 8 << 20, Every: 200 * time.Millisecond}
}
