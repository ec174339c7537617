package record

import (
	"encoding/json"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// Life describes the record of one incarnation of a controller, from its start to its end.
type Life struct {
	Format         int       `json:"Format"`        // version of the stored format, see Format
	ID             string    `json:"ID"`            // sorts by start
	Pilot          string    `json:"Pilot"`         // the controller's name
	Seed           int64     `json:"Seed"`          // of the planner
	Module         string    `json:"Module"`        // fingerprint of the planner, see Fingerprint
	Settings       string    `json:"Terms"`         // the planner's settings at the start, as JSON
	LatestSettings string    `json:"Now,omitempty"` // the settings after the last reload, as JSON; "": as at the start
	Started        time.Time `json:"Started"`       // by the machine's clock, for people
	After          string    `json:"After"`         // ID of the life that this one was rebuilt from; "": it began cold
	TailMs         float64   `json:"TailMs"`        // how much of that life's end was asked for
}

// Lives returns all lives, oldest first.
func (s *Store) Lives() (lives []Life, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketLives)
		if b == nil { // opened for reading before anything was written
			return nil
		}
		return b.ForEach(func(_, v []byte) error {
			var l Life
			if err := json.Unmarshal(v, &l); err != nil {
				return fmt.Errorf("%w: %w", ErrCorrupt, err)
			}
			lives = append(lives, l)
			return nil
		})
	})
	return lives, err
}

// Begin stores a new life, in the present format.
func (s *Store) Begin(l Life) error {
	l.Format = Format
	v, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("begin record: %w", err)
	}
	return s.update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketLives).Put([]byte(l.ID), v) })
}

// UpdateSettings stores the settings with which a life goes on after a reload.
func (s *Store) UpdateSettings(life, settings string) error {
	return s.update(func(tx *bbolt.Tx) error {
		lives := tx.Bucket(bucketLives)
		var l Life
		if err := json.Unmarshal(lives.Get([]byte(life)), &l); err != nil {
			return fmt.Errorf("note terms: %w", err)
		}
		l.LatestSettings = settings
		v, err := json.Marshal(l)
		if err != nil {
			return fmt.Errorf("note terms: %w", err)
		}
		return lives.Put([]byte(life), v)
	})
}
