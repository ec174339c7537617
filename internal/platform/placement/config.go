// Package placement reads what the operators' platform tells a pilot: the NODE_ variables and the JSON file they name. It
// checks all that the program relies on and names the field that is wrong. It applies nothing.
package placement

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"reflect"
	"strconv"

	"indigousher/internal/config"
	"indigousher/internal/platform/discovery"
	"indigousher/internal/settings"
	"indigousher/internal/wire"
	"indigousher/planner"
)

// Bounds of the file and of what it may name.
const (
	mostProxies = 65535
	mostZones   = 1024
)

// Limits of the machine that the pilot runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Placement is what the file says of one pilot.
type Placement struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	SeedText  string `json:"seed"`
	Limits    Limits `json:"limits"`
	Relay     struct {
		Address string `json:"address"`
	} `json:"relay"`
	Known    json.RawMessage `json:"known"`
	Settings map[string]any  `json:"settings"`

	Seed       int64                `json:"-"`
	Cached     *wire.List           `json:"-"` // nil: none
	Deployment *settings.Deployment `json:"-"`
	Proxies    int                  `json:"-"` // numbers below this exist
	OnRequest  bool                 `json:"-"` // the list is told only after the module has asked
	Warning    string               `json:"-"` // what of the file is left out, as it can't be used; "": nothing
}

// Read reads the file that NODE_CONFIG names and holds the other variables against it.
func Read(getenv func(string) string) (*Placement, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set")
	}
	p, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	for _, v := range []struct{ name, field, value string }{
		{"NODE_NAME", "name", p.Name}, {"NODE_LISTEN", "listen", p.Listen},
	} {
		if told := getenv(v.name); told != "" && told != v.value {
			return nil, fmt.Errorf("%s: %s is %q, but %s is %q", path, v.field, v.value, v.name, told)
		}
	}
	return p, nil
}

// ReadFile reads and checks a file.
func ReadFile(path string) (*Placement, error) {
	text, err := config.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read NODE_CONFIG: %w", err)
	}
	p, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// Parse checks a file's text.
func Parse(text []byte) (*Placement, error) {
	if len(text) > config.MostBytes {
		return nil, fmt.Errorf("longer than %d bytes", config.MostBytes)
	}
	p := &Placement{}
	if err := json.Unmarshal(text, p); err != nil {
		return nil, fmt.Errorf("not readable: %w", err)
	}
	for _, check := range []func() error{p.addresses, p.seed, p.limits, p.known, p.settings} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *Placement) addresses() error {
	if p.Name == "" {
		return errors.New("name is missing")
	}
	for _, a := range []struct{ field, address string }{
		{"listen", p.Listen}, {"discovery", p.Discovery}, {"relay.address", p.Relay.Address},
	} {
		if a.address == "" {
			return fmt.Errorf("%s is missing", a.field)
		}
		host, port, err := net.SplitHostPort(a.address)
		if n, perr := strconv.Atoi(port); err != nil || perr != nil || n < 1 || n > 65535 || net.ParseIP(host) == nil {
			return fmt.Errorf("%s: %q is no address and port", a.field, a.address)
		}
	}
	return nil
}

func (p *Placement) seed() error {
	if p.SeedText == "" {
		return errors.New("seed is missing")
	}
	n, err := strconv.ParseUint(p.SeedText, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", p.SeedText)
	}
	p.Seed = int64(n)
	return nil
}

func (p *Placement) limits() error {
	switch l := p.Limits; {
	case !(l.Cores > 0 && l.Cores <= 1024):
		return fmt.Errorf("limits.cores: %g", l.Cores)
	case !(l.MemoryMB >= 8 && l.MemoryMB < 1e7):
		return fmt.Errorf("limits.memory_mb: %g", l.MemoryMB)
	case l.Sockets < 32 || l.Sockets > 1<<20:
		return fmt.Errorf("limits.sockets: %d", l.Sockets)
	}
	return nil
}

func (p *Placement) known() error {
	if len(p.Known) == 0 || string(p.Known) == "null" {
		return nil
	}
	l, odd, err := discovery.ParseList(p.Known)
	if err != nil { // it is a help at the start; discovery tells the list anyway
		p.Warning = fmt.Sprintf("known: %v", err)
		return nil
	}
	if odd > 0 {
		p.Warning = fmt.Sprintf("known: %d entries that can't be used", odd)
	}
	p.Cached = l
	return nil
}

// settings checks what the program itself or the module can't do without.
func (p *Placement) settings() error {
	if len(p.Settings) == 0 {
		return errors.New("settings are missing")
	}
	p.Deployment = settings.Parse(p.Settings)
	terms := p.Deployment.Settings
	if n := len(p.Deployment.Zones.All()); n == 0 || n > mostZones {
		return fmt.Errorf("settings: %d zones", n)
	}
	if len(p.Deployment.Classes.All()) == 0 {
		return errors.New("settings: no req kinds")
	}
	proxies, err := number(terms, "proxy_count", 1, mostProxies)
	if err != nil {
		return err
	}
	p.Proxies = int(proxies)
	instances, err := number(terms, "instances", 1, mostProxies)
	if err != nil {
		return err
	}
	if _, err := number(terms, "rank", 0, instances-1); err != nil {
		return err
	}
	for _, name := range []string{"lines_per_s", "backlog", "drain_grace", "cold"} {
		if _, err := number(terms, name, 1e-3, planner.MaxFigure); err != nil {
			return err
		}
	}
	p.OnRequest = terms["discovery"] == "on_request"
	return nil
}

// number returns a term that has to be a number within bounds. Complaints use the module's name of it.
func number(terms map[string]any, name string, least, most float64) (float64, error) {
	v, ok := terms[name].(float64)
	if !ok {
		return 0, fmt.Errorf("settings: %s is missing or no number", name)
	}
	if math.IsNaN(v) || v < least || v > most {
		return 0, fmt.Errorf("settings: %s: %g is outside %g to %g", name, v, least, most)
	}
	return v, nil
}

// RequiresRestart names the parts of a new file that count only after a restart.
func RequiresRestart(old, now *Placement) (fields []string) {
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", old.Name == now.Name}, {"listen", old.Listen == now.Listen}, {"limits", old.Limits == now.Limits},
		{"settings", reflect.DeepEqual(old.Settings, now.Settings)},
	} {
		if !f.same {
			fields = append(fields, f.name)
		}
	}
	return fields
}
