package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"indigousher/internal/wire"
)

// ErrInvalidList says that an answer is no list.
var ErrInvalidList = errors.New("not a list of endpoints")

type entry struct {
	Name    *string  `json:"name"`
	Zone    string   `json:"zone"`
	Machine string   `json:"type"`
	Cell    int      `json:"group"`
	Status  string   `json:"status"`
	Weight  *float64 `json:"weight"`
	SinceMs float64  `json:"since_ms"`
}

type answer struct {
	Index     *int              `json:"index"`
	Snapshot  bool              `json:"snapshot"`
	Endpoints []json.RawMessage `json:"endpoints"`
}

var phaseOfStatus = map[string]int{"active": wire.PhaseReady, "leaving": wire.PhaseDraining, "left": wire.PhaseGone}

// ParseList reads a list in discovery's form and counts the entries that can't be used.
func ParseList(text []byte) (l *wire.List, odd int, err error) {
	var a answer
	if err := json.Unmarshal(text, &a); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrInvalidList, err)
	}
	if a.Index == nil || a.Endpoints == nil || len(a.Endpoints) > maxEntries {
		return nil, 0, fmt.Errorf("%w: index or endpoints are missing", ErrInvalidList)
	}
	l = &wire.List{Version: *a.Index, Whole: a.Snapshot, Now: uint64(time.Now().UnixMilli())}
	for _, raw := range a.Endpoints {
		e, ok := parseEntry(raw)
		if !ok {
			odd++
			continue
		}
		l.Entries = append(l.Entries, e)
	}
	return l, odd, nil
}

func parseEntry(raw []byte) (wire.Entry, bool) {
	var e entry
	if err := json.Unmarshal(raw, &e); err != nil || e.Name == nil || *e.Name == "" || len(*e.Name) > 256 {
		return wire.Entry{}, false
	}
	phase, known := phaseOfStatus[e.Status]
	if !known || e.SinceMs < 0 || e.SinceMs > 1e15 {
		return wire.Entry{}, false
	}
	weight := 1.0
	if e.Weight != nil {
		weight = *e.Weight
	}
	return wire.Entry{Endpoint: *e.Name, Zone: e.Zone, Machine: e.Machine, Cell: e.Cell, Phase: phase, Weight: weight,
		Started: uint64(e.SinceMs)}, true
}
