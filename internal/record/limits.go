package record

import "time"

// Limits limit what a store takes, and pace its commits.
type Limits struct {
	Bytes          int64         // of all records; beyond them the oldest segments go; 0 or less: no limit
	Age            time.Duration // beyond which a segment is dropped; 0: no limit
	SegmentBytes   int           // bytes after which a new segment begins
	CommitInterval time.Duration // between two commits, each of which waits for the disk once
}

// DefaultLimits are 1 GiB, a week, 8 MiB a segment, and a commit each 200 ms.
func DefaultLimits() Limits {
	return Limits{
		Bytes:          1 << 30,
		Age:            7 * 24 * time.Hour,
		SegmentBytes:   8 << 20,
		CommitInterval: 200 * time.Millisecond,
	}
}
