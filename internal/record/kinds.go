package record

// Kind tells what an input was.
type Kind byte

// The kinds of input.
const (
	Join Kind = iota + 1
	Leave
	Applied
	Listed
	ListLost
	Heard
	Probed
	Retermed
	Met
	Demand
	SliceGiven
	SliceDemand
	kindEnd
)

// Checkpoint begins a turn that holds what another core needs to go on from here, and is no part of the life itself.
const Checkpoint = kindEnd

// String names a kind.
func (k Kind) String() string {
	names := [...]string{"", "join", "leave", "applied", "listed", "list lost", "heard", "probed", "retermed", "met", "demand", "slice given", "slice demand", "checkpoint"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}
