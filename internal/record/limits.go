package record

import "time"

// Limits limit the size and age of a store's records and set the interval of its commits.
type Limits struct {
	Bytes          int64         // total size of all segments, above which the oldest are dropped; 0 or less: no limit
	Age            time.Duration // age of its last chunk above which a segment is dropped; 0 or less: no limit
	SegmentBytes   int           // size at which a segment is full and the next one begins
	CommitInterval time.Duration // time between two commits, each of which waits for the disk once
}

// DefaultLimits returns limits of 1 GiB, one week, 8 MiB per segment and a commit every 200 ms.
func DefaultLimits() Limits {
	return Limits{
		Bytes:          1 << 30,
		Age:            7 * 24 * time.Hour,
		SegmentBytes:   8 << 20,
		CommitInterval: 200 * time.Millisecond,
	}
}
