package rehearsal

import (
	"fmt"
	"os"
	"time"

	"indigousher/internal/identity"
)

const (
	// keyLifetime is the validity period of certificates. It is longer than any run.
	keyLifetime = time.Hour
	// keyBackdate is how far the start of the validity period lies in the past, so that certificates are valid at once
	// although the times in them are rounded.
	keyBackdate = time.Minute
)

// openKeys creates a certificate authority for the run and the keys of the registry. It does nothing if the scenario
// uses no keys.
func (s *environment) openKeys() error {
	if !s.Scenario.Keys {
		return nil
	}
	dir, err := os.MkdirTemp("", "indigousher-rehearsal-")
	if err != nil {
		return fmt.Errorf("create key directory: %w", err)
	}
	s.keyDir = dir
	s.authority, err = identity.NewAuthority("rehearsal", keyLifetime)
	if err != nil {
		return err
	}
	keys, err := s.issueKeys(identity.Identity{Role: identity.Source, Zone: "-", Name: "list"})
	if err != nil {
		return err
	}
	s.registry.UseTLS(keys.Server(identity.Pilot))
	return nil
}

// issueFiles issues a certificate and key for an identity and writes them to files in the key directory.
func (s *environment) issueFiles(who identity.Identity) (identity.Files, error) {
	return s.authority.Issue(s.keyDir, who, time.Now().Add(-keyBackdate), keyLifetime)
}

// issueKeys issues a certificate and key for an identity and loads them from their files.
func (s *environment) issueKeys(who identity.Identity) (*identity.KeyStore, error) {
	files, err := s.issueFiles(who)
	if err != nil {
		return nil, err
	}
	return identity.Load(files, nil)
}
