package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"indigousher/internal/wire"
)

// ErrInvalidList means that a text is not an endpoint list, or that a received list cannot be used.
var ErrInvalidList = errors.New("invalid endpoint list")

// Limits that a valid endpoint list does not exceed.
const (
	maxEntries   = 65536 // entries in a list
	maxNameBytes = 256   // length of an endpoint's name, in bytes
	maxSinceMs   = 1e15  // start time of an endpoint, in ms since 1970; a float64 represents it exactly
)

// answer is an endpoint list in the discovery agent's format. The type's name is part of error texts from
// encoding/json.
type answer struct {
	Index     *int              `json:"index"`    // version of the list; nil if absent
	Snapshot  bool              `json:"snapshot"` // true: the whole list; false: changes to an earlier version
	Endpoints []json.RawMessage `json:"endpoints"`
}

// entry is an endpoint in the discovery agent's format.
type entry struct {
	Name    *string  `json:"name"` // nil if absent, which makes the entry malformed
	Zone    string   `json:"zone"`
	Machine string   `json:"type"`     // machine type
	Cell    int      `json:"group"`    // the cell: a group of endpoints
	Status  string   `json:"status"`   // a key of phaseOfStatus
	Weight  *float64 `json:"weight"`   // nil if absent, which means 1
	SinceMs float64  `json:"since_ms"` // start time of the endpoint, in ms since 1970
}

// phaseOfStatus maps the agent's status of an endpoint to a phase of package wire.
var phaseOfStatus = map[string]int{"active": wire.PhaseReady, "leaving": wire.PhaseDraining, "left": wire.PhaseGone}

// ParseList parses an endpoint list in the discovery agent's format. It skips malformed entries and returns their
// number. Its errors wrap ErrInvalidList.
func ParseList(text []byte) (list *wire.List, malformed int, err error) {
	var a answer
	if err := json.Unmarshal(text, &a); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrInvalidList, err)
	}
	if a.Index == nil || a.Endpoints == nil || len(a.Endpoints) > maxEntries {
		return nil, 0, fmt.Errorf("%w: index or endpoints missing, or more than %d endpoints", ErrInvalidList, maxEntries)
	}
	list = &wire.List{Version: *a.Index, Whole: a.Snapshot, Now: uint64(time.Now().UnixMilli())}
	for _, raw := range a.Endpoints {
		e, ok := parseEntry(raw)
		if !ok {
			malformed++
			continue
		}
		list.Entries = append(list.Entries, e)
	}
	return list, malformed, nil
}

// parseEntry parses an entry of a list. It returns false if the entry is malformed.
func parseEntry(raw []byte) (wire.Entry, bool) {
	var e entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return wire.Entry{}, false
	}
	if e.Name == nil || *e.Name == "" || len(*e.Name) > maxNameBytes {
		return wire.Entry{}, false
	}
	phase, known := phaseOfStatus[e.Status]
	if !known || e.SinceMs < 0 || e.SinceMs > maxSinceMs {
		return wire.Entry{}, false
	}
	weight := 1.0
	if e.Weight != nil {
		weight = *e.Weight
	}
	return wire.Entry{
		Endpoint: *e.Name,
		Zone:     e.Zone,
		Machine:  e.Machine,
		Cell:     e.Cell,
		Phase:    phase,
		Weight:   weight,
		Started:  uint64(e.SinceMs),
	}, true
}
