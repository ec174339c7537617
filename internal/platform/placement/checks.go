package placement

import (
	"fmt"
	"math"
	"net"
	"strconv"

	"indigousher/internal/platform/discovery"
	"indigousher/internal/settings"
	"indigousher/planner"
)

// Bounds of the fields. They keep a mistyped value from exhausting the memory.
const (
	maxProxies         = 65535
	maxZones           = 1024
	maxPort            = 65535
	maxCores           = 1024
	minMemoryMB        = 8 // the program does not start with less
	maxMemoryMB        = 1e7
	minSockets         = 32
	maxSockets         = 1 << 20
	minPositiveSetting = 1e-3 // of settings that have to be positive
)

// checkAddresses checks the pilot's name and the addresses.
func (p *Placement) checkAddresses() error {
	if p.Name == "" {
		return missingField("name")
	}
	for _, a := range []struct{ field, address string }{
		{"listen", p.Listen},
		{"discovery", p.Discovery},
		{"relay.address", p.Relay.Address},
	} {
		if a.address == "" {
			return missingField(a.field)
		}
		if !isAddress(a.address) {
			return invalidField(a.field, "%s: %q is no address and port", a.field, a.address)
		}
	}
	return nil
}

// isAddress reports whether a text is an IP address and a port.
func isAddress(text string) bool {
	host, portText, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	port, err := strconv.Atoi(portText)
	return err == nil && port >= 1 && port <= maxPort && net.ParseIP(host) != nil
}

func (p *Placement) parseSeed() error {
	if p.SeedText == "" {
		return missingField("seed")
	}
	seed, err := strconv.ParseUint(p.SeedText, 16, 64)
	if err != nil {
		return invalidField("seed", "seed: %q is no hexadecimal number of 64 bits", p.SeedText)
	}
	p.Seed = int64(seed)
	return nil
}

func (p *Placement) checkLimits() error {
	cores := p.Limits.Cores
	if !(cores > 0 && cores <= maxCores) { // negated so that NaN is invalid
		return invalidField("limits.cores", "limits.cores: %g", cores)
	}
	memory := p.Limits.MemoryMB
	if !(memory >= minMemoryMB && memory < maxMemoryMB) {
		return invalidField("limits.memory_mb", "limits.memory_mb: %g", memory)
	}
	sockets := p.Limits.Sockets
	if sockets < minSockets || sockets > maxSockets {
		return invalidField("limits.sockets", "limits.sockets: %d", sockets)
	}
	return nil
}

// parseKnown parses the endpoint list from before the start. It only speeds up the start, as discovery sends the list
// anyway, so an invalid one is ignored with a warning.
func (p *Placement) parseKnown() error {
	if len(p.Known) == 0 || string(p.Known) == "null" {
		return nil
	}
	list, malformed, err := discovery.ParseList(p.Known)
	if err != nil {
		p.Warning = fmt.Sprintf("known: %v", err)
		return nil // ignored with a warning
	}
	if malformed > 0 {
		p.Warning = fmt.Sprintf("known: %d entries that can't be used", malformed)
	}
	p.Cached = list
	return nil
}

// parseSettings translates the operators' settings and validates those that the program or the planner requires.
func (p *Placement) parseSettings() error {
	if len(p.Settings) == 0 {
		return invalidField("settings", "settings are %w", ErrMissing)
	}
	p.Deployment = settings.Parse(p.Settings)
	if n := len(p.Deployment.Zones.All()); n == 0 || n > maxZones {
		return invalidField("settings", "settings: %d zones", n)
	}
	if len(p.Deployment.Classes.All()) == 0 {
		return invalidField("settings", "settings: no req kinds")
	}
	plannerSettings := p.Deployment.Settings
	proxies, err := numberWithin(plannerSettings, "proxy_count", 1, maxProxies)
	if err != nil {
		return err
	}
	p.MaxProxies = int(proxies)
	p.OnRequest = plannerSettings["discovery"] == "on_request"
	if err := checkInstances(plannerSettings); err != nil {
		return err
	}
	for _, name := range []string{"lines_per_s", "backlog", "drain_grace", "cold"} {
		if _, err := numberWithin(plannerSettings, name, minPositiveSetting, planner.MaxFigure); err != nil {
			return err
		}
	}
	return nil
}

// checkInstances checks the number of pilots and the rank of this one among them.
func checkInstances(plannerSettings map[string]any) error {
	instances, err := numberWithin(plannerSettings, "instances", 1, maxProxies)
	if err != nil {
		return err
	}
	_, err = numberWithin(plannerSettings, "rank", 0, instances-1)
	return err
}

// numberWithin returns a required numeric setting within bounds. name is the planner's name of it.
func numberWithin(plannerSettings map[string]any, name string, low, high float64) (float64, error) {
	field := "settings: " + name
	v, ok := plannerSettings[name].(float64)
	if !ok {
		return 0, invalidField(field, "settings: %s is missing or no number", name)
	}
	if math.IsNaN(v) || v < low || v > high {
		return 0, invalidField(field, "settings: %s: %g is outside %g to %g", name, v, low, high)
	}
	return v, nil
}
