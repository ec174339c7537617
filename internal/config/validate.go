package config

import (
	"net"
	"slices"
	"strconv"

	"github.com/hashicorp/hcl/v2"

	"indigousher/internal/identity"
	"indigousher/internal/wire"
)

// validator collects errors about settings that can't be checked field by field. It reports all of them at one
// position, that of the file's body.
type validator struct {
	at    hcl.Range
	diags hcl.Diagnostics
}

// errorf adds an error, formatted as in fmt.Errorf.
func (v *validator) errorf(format string, args ...any) {
	v.diags = append(v.diags, Diagnostic(v.at, format, args...))
}

// validate checks constraints that involve several settings.
func (p *Pilot) validate(at hcl.Range) hcl.Diagnostics {
	v := &validator{at: at}
	p.validateNames(v)
	p.validateTables(v)
	p.validateZone(v)
	p.validateSources(v)
	p.validateKeys(v)
	p.validateRank(v)
	p.validateRetries(v)
	p.validatePeers(v)
	return v.diags
}

// validateNames checks that there is at least one request class, that the lists of zones and machine types contain no
// duplicates, and that all names have a length that the wire format can represent.
func (p *Pilot) validateNames(v *validator) {
	if len(p.Kinds) == 0 {
		v.errorf("no req_kind block: at least one request class is required")
	}
	// The planner identifies zones and machine types by index, so a duplicate name would be ambiguous.
	if name, ok := firstDuplicate(p.Zones); ok {
		v.errorf("zones: duplicate name %q", name)
	}
	if name, ok := firstDuplicate(p.Machines); ok {
		v.errorf("machines: duplicate name %q", name)
	}
	for _, name := range slices.Concat([]string{p.Name}, p.ClassNames(), p.Zones, p.Machines) {
		v.diags = append(v.diags, checkName(v.at, name, 1)...)
	}
}

// validateTables checks that there are enough table numbers for one routing table per zone and request class.
func (p *Pilot) validateTables(v *validator) {
	tables := len(p.Zones) * max(1, len(p.Kinds))
	if tables >= wire.AllTables {
		v.errorf("%d zones and %d request classes need %d tables, but fewer than %d are possible",
			len(p.Zones), len(p.Kinds), tables, wire.AllTables)
	}
}

func (p *Pilot) validateZone(v *validator) {
	if !slices.Contains(p.Zones, p.Zone) {
		v.errorf("the pilot's zone %q is not among the zones", p.Zone)
	}
}

// validateSources checks that there is exactly one source of the endpoint list.
func (p *Pilot) validateSources(v *validator) {
	if (p.ListFile == "") == (p.ListAddress == "") {
		v.errorf("list: exactly one of file and address is required")
	}
}

// validateKeys checks that either keys are configured, or all addresses are loopback addresses.
func (p *Pilot) validateKeys(v *validator) {
	if p.Plain == (p.Keys != identity.Files{}) {
		v.errorf("keys: either authority, certificate and private_key are required, or plain = true")
	}
	if !p.Plain && p.PeersListen != "" && p.PeersSecret == "" {
		v.errorf("peers: a secret is required, or plain = true")
	}
	if !p.Plain {
		return
	}
	for _, address := range []string{p.Listen, p.GRPC, p.Admin, p.PeersListen, p.ListAddress} {
		if address != "" && !isLoopback(address) {
			v.errorf("%s is not a loopback address; plain = true is allowed for loopback addresses only", address)
		}
	}
}

func (p *Pilot) validateRank(v *validator) {
	if p.Rank >= p.Instances {
		v.errorf("rank %d of %d instances: ranks are 0 to the number of instances minus 1", p.Rank, p.Instances)
	}
}

// validateRetries checks that the default retry policy never lets requests that must be executed once take effect twice.
func (p *Pilot) validateRetries(v *validator) {
	if p.RetryHow <= retryIfNotExecuted {
		return
	}
	for _, class := range p.Kinds {
		if reason := class.repeatHazard(); reason != "" {
			v.errorf("proxies: try_again %d lets proxies repeat requests of class %q, which %s; use 0 or 1",
				p.RetryHow, class.Name, reason)
		}
	}
}

func (p *Pilot) validatePeers(v *validator) {
	for rank := range p.Peers {
		if _, err := strconv.Atoi(rank); err != nil {
			v.errorf("peers: %q is not a rank", rank)
		}
	}
}

// checkName reports a name that is shorter than minBytes, or longer than the wire format allows.
func checkName(at hcl.Range, name string, minBytes int) hcl.Diagnostics {
	if len(name) >= minBytes && len(name) <= wire.MaxText {
		return nil
	}
	return hcl.Diagnostics{
		Diagnostic(at, "name has %d bytes, must have %d to %d: %.40q", len(name), minBytes, wire.MaxText, name),
	}
}

// firstDuplicate returns the first name in a list that equals an earlier one; false if there is none.
func firstDuplicate(names []string) (string, bool) {
	seen := map[string]bool{}
	for _, name := range names {
		if seen[name] {
			return name, true
		}
		seen[name] = true
	}
	return "", false
}

// isLoopback reports whether the host of a host:port address is "localhost" or a loopback IP address.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}
