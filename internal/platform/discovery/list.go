package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"indigousher/internal/wire"
)

// ErrInvalidList says that an answer does not contain a list.
var ErrInvalidList = errors.New("not a list of endpoints")

// Bounds of a list.
const (
	maxEntries   = 65536
	maxNameBytes = 256  // of an endpoint's name
	maxSinceMs   = 1e15 // of the start of an endpoint; exact in a float64
)

// answer is a list in discovery's format. The type's name is part of error texts.
type answer struct {
	Index     *int              `json:"index"`    // version of the list
	Snapshot  bool              `json:"snapshot"` // the whole list rather than changes to it
	Endpoints []json.RawMessage `json:"endpoints"`
}

// entry is an endpoint in discovery's format.
type entry struct {
	Name    *string  `json:"name"`
	Zone    string   `json:"zone"`
	Machine string   `json:"type"`
	Cell    int      `json:"group"`
	Status  string   `json:"status"`
	Weight  *float64 `json:"weight"`   // absent: 1
	SinceMs float64  `json:"since_ms"` // start of the endpoint, ms since 1970
}

var phaseOfStatus = map[string]int{"active": wire.PhaseReady, "leaving": wire.PhaseDraining, "left": wire.PhaseGone}

// ParseList parses a list in discovery's format. It skips malformed entries and returns their number. Its errors wrap
// ErrInvalidList.
func ParseList(text []byte) (list *wire.List, malformed int, err error) {
	var a answer
	if err := json.Unmarshal(text, &a); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrInvalidList, err)
	}
	if a.Index == nil || a.Endpoints == nil || len(a.Endpoints) > maxEntries {
		return nil, 0, fmt.Errorf("%w: index or endpoints are missing", ErrInvalidList)
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

// parseEntry parses an entry and reports whether it is well-formed.
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
