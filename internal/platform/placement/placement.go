// Package placement reads a pilot's placement on the operators' platform: the NODE_ environment variables and the JSON
// file that they name. It validates everything the program relies on and reports the invalid field (FieldError). It
// applies nothing.
package placement

import (
	"encoding/json"

	"indigousher/internal/settings"
	"indigousher/internal/wire"
)

// Limits of the machine that the pilot runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// Placement is the content of the file.
type Placement struct {
	// Fields of the file. Addresses have the form IP:port.
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	SeedText  string `json:"seed"`
	Limits    Limits `json:"limits"`
	Relay     struct {
		Address string `json:"address"`
	} `json:"relay"`
	Known    json.RawMessage `json:"known"` // endpoint list from before the start, if any
	Settings map[string]any  `json:"settings"`

	// Values that Parse derives from them.
	Seed       int64                `json:"-"`
	Cached     *wire.List           `json:"-"` // Known, or nil if absent or invalid
	Deployment *settings.Deployment `json:"-"`
	MaxProxies int                  `json:"-"` // upper bound of proxy numbers, exclusive
	OnRequest  bool                 `json:"-"` // the endpoint list is followed only on request of the planner
	Warning    string               `json:"-"` // describes an ignored part of the file, or ""
}
