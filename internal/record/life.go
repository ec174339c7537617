package record

import (
	"encoding/json"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// Life describes the record of one incarnation of a controller, from its start to its end.
type Life struct {
	Format             int       `json:"Format"`        // version of the stored format, see the constant Format
	ID                 string    `json:"ID"`            // unique; IDs sort by the time of the start
	Pilot              string    `json:"Pilot"`         // the controller's name
	Seed               int64     `json:"Seed"`          // seed of the planner's random numbers
	PlannerFingerprint string    `json:"Module"`        // fingerprint of the planner, see Fingerprint
	Settings           string    `json:"Terms"`         // the planner's settings at the start, as JSON
	LatestSettings     string    `json:"Now,omitempty"` // the settings after the last reload, as JSON; "": as at the start
	Started            time.Time `json:"Started"`       // by the system clock, for display
	RestoredFrom       string    `json:"After"`         // ID of the life restored at the start; "": a cold start
	TailMs             float64   `json:"TailMs"`        // the requested time to replay from the end of that life, in ms
}

// Lives returns all lives, oldest first.
func (s *Store) Lives() (lives []Life, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketLives)
		if b == nil { // opened read-only before the first write
			return nil
		}
		return b.ForEach(func(_, v []byte) error {
			var l Life
			if err := json.Unmarshal(v, &l); err != nil {
				return fmt.Errorf("%w: decode life: %w", ErrCorrupt, err)
			}
			lives = append(lives, l)
			return nil
		})
	})
	return lives, err
}

// BeginLife stores a new life and sets its Format to the current one.
func (s *Store) BeginLife(l Life) error {
	l.Format = Format
	v, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("encode life: %w", err)
	}
	return s.update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketLives).Put([]byte(l.ID), v) })
}

// UpdateSettings stores the planner's settings, as JSON, that a life uses after a reload.
func (s *Store) UpdateSettings(life, settings string) error {
	return s.update(func(tx *bbolt.Tx) error {
		lives := tx.Bucket(bucketLives)
		var l Life
		if err := json.Unmarshal(lives.Get([]byte(life)), &l); err != nil {
			return fmt.Errorf("decode life to update its settings: %w", err)
		}
		l.LatestSettings = settings
		v, err := json.Marshal(l)
		if err != nil {
			return fmt.Errorf("encode life with updated settings: %w", err)
		}
		return lives.Put([]byte(life), v)
	})
}
