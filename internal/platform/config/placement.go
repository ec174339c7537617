// Package config reads what the operators' platform tells a pilot: the NODE_ variables and the JSON file they name. It
// checks all that the program relies on and names the field that is wrong (FieldError). It applies nothing.
package config

import (
	"encoding/json"

	"indigousher/internal/translate"
	"indigousher/internal/wire"
)

// Limits of the machine that the pilot runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// Placement is what the file says of one pilot.
type Placement struct {
	// The file's fields. Addresses are of the form IP:port.
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	SeedText  string `json:"seed"`
	Limits    Limits `json:"limits"`
	Relay     struct {
		Address string `json:"address"`
	} `json:"relay"`
	Known    json.RawMessage `json:"known"` // the endpoint list as it was held last
	Settings map[string]any  `json:"settings"`

	// What Parse makes of them.
	Seed       int64                 `json:"-"`
	Remembered *wire.List            `json:"-"` // nil: none
	Deployment *translate.Deployment `json:"-"`
	Proxies    int                   `json:"-"` // numbers below this exist
	OnRequest  bool                  `json:"-"` // the list is told only after the planner has asked
	Left       string                `json:"-"` // what of the file is left out, as it can't be used; "": nothing
}
