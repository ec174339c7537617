package config

import (
	"net"
	"slices"
	"strconv"

	"github.com/hashicorp/hcl/v2"

	"indigousher/internal/identity"
	"indigousher/internal/wire"
)

// validator collects errors about settings that can't be checked field by field. They all carry the position of the
// file's body.
type validator struct {
	at    hcl.Range
	diags hcl.Diagnostics
}

func (v *validator) errorf(format string, args ...any) {
	v.diags = append(v.diags, Diagnostic(v.at, format, args...))
}

// validate checks the settings against each other.
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

// validateNames checks that there are classes, that no zone or machine type is listed twice, and that the wire can
// carry all names.
func (p *Pilot) validateNames(v *validator) {
	if len(p.Kinds) == 0 {
		v.errorf("no req_kind is told")
	}
	// The planner knows zones and machine types by their index, which a duplicate would make ambiguous.
	if name, ok := firstDuplicate(p.Zones); ok {
		v.errorf("zones: %q stands here twice", name)
	}
	if name, ok := firstDuplicate(p.Machines); ok {
		v.errorf("machines: %q stands here twice", name)
	}
	for _, name := range slices.Concat([]string{p.Name}, p.ClassNames(), p.Zones, p.Machines) {
		v.diags = append(v.diags, checkName(v.at, name, 1)...)
	}
}

// validateTables checks that the tables, one for each zone and class, can be numbered.
func (p *Pilot) validateTables(v *validator) {
	tables := len(p.Zones) * max(1, len(p.Kinds))
	if tables >= wire.AllTables {
		v.errorf("%d zones and %d kinds of req want %d tables, fewer than %d may be",
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
		v.errorf("list: one of file and address is wanted")
	}
}

// validateKeys checks that streams are either authenticated or confined to this machine.
func (p *Pilot) validateKeys(v *validator) {
	if p.Plain == (p.Keys != identity.Files{}) {
		v.errorf("keys: authority, certificate and private_key are wanted, or plain = true")
	}
	if !p.Plain && p.PeersListen != "" && p.PeersSecret == "" {
		v.errorf("peers: with keys a secret is wanted, or plain = true")
	}
	if !p.Plain {
		return
	}
	for _, address := range []string{p.Listen, p.GRPC, p.Admin, p.PeersListen, p.ListAddress} {
		if address != "" && !isLoopback(address) {
			v.errorf("%s is no loopback address, and plain = true is for these only", address)
		}
	}
}

func (p *Pilot) validateRank(v *validator) {
	if p.Rank >= p.Instances {
		v.errorf("rank %d of %d instances: ranks count from 0", p.Rank, p.Instances)
	}
}

// validateRetries checks that the proxies don't repeat non-idempotent requests by default.
func (p *Pilot) validateRetries(v *validator) {
	for _, class := range p.Kinds {
		if class.Repeats == RepeatsNonReplayable && p.RetryHow > retryIfNothingRan {
			v.errorf("proxies: try_again %d has proxies repeat %q by themselves, which is non-replayable; 0 or 1 may stand",
				p.RetryHow, class.Name)
		}
	}
}

func (p *Pilot) validatePeers(v *validator) {
	for rank := range p.Peers {
		if _, err := strconv.Atoi(rank); err != nil {
			v.errorf("peers: %q is no rank", rank)
		}
	}
}

// checkName reports a name that the wire can't carry: shorter than minBytes or longer than wire.MaxText.
func checkName(at hcl.Range, name string, minBytes int) hcl.Diagnostics {
	if len(name) >= minBytes && len(name) <= wire.MaxText {
		return nil
	}
	return hcl.Diagnostics{
		Diagnostic(at, "a name of %d bytes, %d to %d are wanted: %.40q", len(name), minBytes, wire.MaxText, name),
	}
}

// firstDuplicate returns the first name that a list holds for the second time.
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

// isLoopback reports whether an address can be reached from this machine only.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}
