// Package placement reads a pilot's placement on the operators' platform: the JSON file named by the environment
// variable NODE_CONFIG, and the variables NODE_NAME and NODE_LISTEN. It validates every value that the program depends
// on and reports an invalid one as a FieldError. The caller applies the values.
package placement

import (
	"encoding/json"

	"indigousher/internal/settings"
	"indigousher/internal/wire"
)

// Limits are the resources that the platform grants to the pilot.
type Limits struct {
	Cores    float64 `json:"cores"`     // CPU cores; may be a fraction
	MemoryMB float64 `json:"memory_mb"` // MiB
	Sockets  int     `json:"sockets"`   // maximum number of open file descriptors
}

// Placement is the content of the file that NODE_CONFIG names.
type Placement struct {
	// Fields of the file. Addresses have the form IP:port.
	Name      string `json:"name"`      // the pilot's name
	Listen    string `json:"listen"`    // address at which the pilot listens
	Discovery string `json:"discovery"` // address of the discovery agent
	SeedText  string `json:"seed"`      // the planner's seed, hexadecimal
	Limits    Limits `json:"limits"`
	Relay     struct {
		Address string `json:"address"`
	} `json:"relay"`
	Known    json.RawMessage `json:"known"`    // endpoint list that the platform has cached; may be absent
	Settings map[string]any  `json:"settings"` // in the operators' format

	// Values that Parse derives from the fields above.
	Seed       int64                `json:"-"`
	Cached     *wire.List           `json:"-"` // parsed Known; nil if absent or invalid
	Deployment *settings.Deployment `json:"-"`
	MaxProxies int                  `json:"-"` // proxy numbers are below this bound
	OnRequest  bool                 `json:"-"` // the endpoint list is fetched only when the planner asks for it
	Warning    string               `json:"-"` // describes an ignored part of the file; empty if none was ignored
}
