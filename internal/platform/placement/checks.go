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

// Bounds of field values. The upper bounds keep a mistyped value from exhausting the machine's memory.
const (
	maxProxies         = 65535 // also the maximum number of pilots
	maxZones           = 1024
	maxPort            = 65535
	maxCores           = 1024
	minMemoryMB        = 8 // the program does not start with less
	maxMemoryMB        = 1e7
	minSockets         = 32
	maxSockets         = 1 << 20
	minPositiveSetting = 1e-3 // smallest accepted value of settings that must be positive
)

// checkAddresses validates the pilot's name and the three addresses.
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
			return invalidField(a.field, "%s: %q is not an IP address and port", a.field, a.address)
		}
	}
	return nil
}

// isAddress reports whether text consists of an IP address and a port from 1 to maxPort.
func isAddress(text string) bool {
	host, portText, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	port, err := strconv.Atoi(portText)
	return err == nil && port >= 1 && port <= maxPort && net.ParseIP(host) != nil
}

// parseSeed parses the seed, a hexadecimal number of up to 64 bits.
func (p *Placement) parseSeed() error {
	if p.SeedText == "" {
		return missingField("seed")
	}
	seed, err := strconv.ParseUint(p.SeedText, 16, 64)
	if err != nil {
		return invalidField("seed", "seed: %q is not a 64-bit hexadecimal number", p.SeedText)
	}
	p.Seed = int64(seed)
	return nil
}

// checkLimits validates the resource limits.
func (p *Placement) checkLimits() error {
	cores := p.Limits.Cores
	if !(cores > 0 && cores <= maxCores) { // negated so that NaN is rejected too
		return invalidField("limits.cores", "limits.cores: %g is not above 0 and at most %d", cores, maxCores)
	}
	memory := p.Limits.MemoryMB
	if !(memory >= minMemoryMB && memory < maxMemoryMB) {
		return invalidField("limits.memory_mb", "limits.memory_mb: %g is not at least %d and below %g",
			memory, minMemoryMB, maxMemoryMB)
	}
	sockets := p.Limits.Sockets
	if sockets < minSockets || sockets > maxSockets {
		return invalidField("limits.sockets", "limits.sockets: %d is outside the range %d to %d",
			sockets, minSockets, maxSockets)
	}
	return nil
}

// parseKnown parses the endpoint list that the platform cached before the pilot started. The list only shortens
// startup, because discovery provides the current one later. An invalid list is therefore ignored with a warning.
func (p *Placement) parseKnown() error {
	if len(p.Known) == 0 || string(p.Known) == "null" {
		return nil
	}
	list, malformed, err := discovery.ParseList(p.Known)
	if err != nil {
		p.Warning = fmt.Sprintf("known: %v", err)
		return nil // not an error: the caller logs the warning
	}
	if malformed > 0 {
		p.Warning = fmt.Sprintf("known: %d malformed entries ignored", malformed)
	}
	p.Cached = list
	return nil
}

// parseSettings translates the operators' settings into the planner's and validates those that the program or the
// planner requires.
func (p *Placement) parseSettings() error {
	if len(p.Settings) == 0 {
		return invalidField("settings", "settings are %w", ErrMissing)
	}
	p.Deployment = settings.Parse(p.Settings)
	if n := len(p.Deployment.Zones.All()); n == 0 || n > maxZones {
		return invalidField("settings", "settings: %d zones, outside the range 1 to %d", n, maxZones)
	}
	if len(p.Deployment.Classes.All()) == 0 {
		return invalidField("settings", "settings: no request classes")
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
		if _, err := numberWithin(plannerSettings, name, minPositiveSetting, planner.MaxValue); err != nil {
			return err
		}
	}
	return nil
}

// checkInstances validates the number of pilots and this pilot's rank, which is from 0 to that number minus 1.
func checkInstances(plannerSettings map[string]any) error {
	instances, err := numberWithin(plannerSettings, "instances", 1, maxProxies)
	if err != nil {
		return err
	}
	_, err = numberWithin(plannerSettings, "rank", 0, instances-1)
	return err
}

// numberWithin returns the value of a required numeric setting. It returns an error if the setting is missing, is not a
// number or is outside the range low to high, inclusive. name is the planner's name of the setting.
func numberWithin(plannerSettings map[string]any, name string, low, high float64) (float64, error) {
	field := "settings: " + name
	v, ok := plannerSettings[name].(float64)
	if !ok {
		return 0, invalidField(field, "settings: %s is missing or not a number", name)
	}
	if math.IsNaN(v) || v < low || v > high {
		return 0, invalidField(field, "settings: %s: %g is outside the range %g to %g", name, v, low, high)
	}
	return v, nil
}
