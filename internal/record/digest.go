package record

import (
	"fmt"
	"hash/crc64"

	"indigousher/planner"
)

var table = crc64.MakeTable(crc64.ECMA)

// Digest sums orders up.
func Digest(orders []planner.Command) uint64 {
	h := crc64.New(table)
	for _, o := range orders {
		fmt.Fprintf(h, "%T%+v\n", o, o) // writes to a hash don't fail
	}
	return h.Sum64()
}
