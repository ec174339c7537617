package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"

	"indigousher/brain"
	"indigousher/internal/platform/agent"
	"indigousher/internal/translate"
)

// Bounds of the file and of what it may name.
const (
	maxProxies = 65535
	maxZones   = 1024
)

func (p *Placement) checkAddresses() error {
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

func (p *Placement) parseSeed() error {
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

func (p *Placement) checkLimits() error {
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

func (p *Placement) parseKnown() error {
	if len(p.Known) == 0 || string(p.Known) == "null" {
		return nil
	}
	l, odd, err := agent.ParseList(p.Known)
	if err != nil { // it is a help at the start; discovery tells the list anyway
		p.Left = fmt.Sprintf("known: %v", err)
		return nil
	}
	if odd > 0 {
		p.Left = fmt.Sprintf("known: %d entries that can't be used", odd)
	}
	p.Remembered = l
	return nil
}

// parseSettings checks what the program itself or the module can't do without.
func (p *Placement) parseSettings() error {
	if len(p.Settings) == 0 {
		return errors.New("settings are missing")
	}
	p.Deployment = translate.Read(p.Settings)
	terms := p.Deployment.Terms
	if n := len(p.Deployment.Zones.All()); n == 0 || n > maxZones {
		return fmt.Errorf("settings: %d zones", n)
	}
	if len(p.Deployment.Kinds.All()) == 0 {
		return errors.New("settings: no req kinds")
	}
	proxies, err := numberWithin(terms, "proxy_count", 1, maxProxies)
	if err != nil {
		return err
	}
	p.Proxies = int(proxies)
	instances, err := numberWithin(terms, "instances", 1, maxProxies)
	if err != nil {
		return err
	}
	if _, err := numberWithin(terms, "rank", 0, instances-1); err != nil {
		return err
	}
	for _, name := range []string{"lines_per_s", "backlog", "drain_grace", "cold"} {
		if _, err := numberWithin(terms, name, 1e-3, brain.MostFigure); err != nil {
			return err
		}
	}
	p.OnRequest = terms["discovery"] == "on_request"
	return nil
}

// numberWithin returns a term that has to be a number within bounds. Complaints use the module's name of it.
func numberWithin(terms map[string]any, name string, least, most float64) (float64, error) {
	v, ok := terms[name].(float64)
	if !ok {
		return 0, fmt.Errorf("settings: %s is missing or no number", name)
	}
	if math.IsNaN(v) || v < least || v > most {
		return 0, fmt.Errorf("settings: %s: %g is outside %g to %g", name, v, least, most)
	}
	return v, nil
}
