package rehearsal

import (
	"fmt"
	"os"
	"time"

	"indigousher/internal/identity"
)

// openKeys makes the day's authority and keys for the list.
func (s *stage) openKeys() (err error) {
	if !s.Scenario.Keys {
		return nil
	}
	if s.keyDir, err = os.MkdirTemp("", "indigousher-rehearsal-"); err != nil {
		return fmt.Errorf("make keys: %w", err)
	}
	if s.authority, err = identity.NewAuthority("rehearsal", time.Hour); err != nil {
		return err
	}
	ring, err := s.issueKeys(identity.Identity{Role: identity.Source, Zone: "-", Name: "list"})
	if err != nil {
		return err
	}
	s.registry.Seal(ring.Server(identity.Pilot))
	return nil
}

// issueKeys issues and loads keys for one that takes part.
func (s *stage) issueKeys(who identity.Identity) (*identity.KeyStore, error) {
	f, err := s.authority.Issue(s.keyDir, who, time.Now().Add(-time.Minute), time.Hour)
	if err != nil {
		return nil, err
	}
	return identity.Load(f, nil)
}
