package record

import (
	"encoding/json"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// Life is what is known of one process's record.
type Life struct {
	Format  int
	ID      string // sorts by start
	Pilot   string
	Seed    int64
	Module  string    // fingerprint of what decided
	Terms   string    // as JSON, at its start
	Now     string    `json:",omitempty"` // as JSON, after the last reload; "": as at its start
	Started time.Time // by the machine's clock, for people
	After   string    // the life that this one was rebuilt from, if any
	TailMs  float64   // and how much of its end was asked for
}

// Lives lists the lives, oldest first.
func (s *Store) Lives() (lives []Life, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketLives)
		if b == nil {
			return nil
		}
		return b.ForEach(func(_, v []byte) error {
			var l Life
			if err := json.Unmarshal(v, &l); err != nil {
				return fmt.Errorf("%w: %w", ErrTorn, err)
			}
			lives = append(lives, l)
			return nil
		})
	})
	return lives, err
}

// Begin notes a new life.
func (s *Store) Begin(l Life) error {
	l.Format = Format
	v, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("begin record: %w", err)
	}
	return s.update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketLives).Put([]byte(l.ID), v) })
}

// Reterm notes the terms that a life goes on with after a reload.
func (s *Store) Reterm(life, terms string) error {
	return s.update(func(tx *bbolt.Tx) error {
		var l Life
		if err := json.Unmarshal(tx.Bucket(bucketLives).Get([]byte(life)), &l); err != nil {
			return fmt.Errorf("note terms: %w", err)
		}
		l.Now = terms
		v, err := json.Marshal(l)
		if err != nil {
			return fmt.Errorf("note terms: %w", err)
		}
		return tx.Bucket(bucketLives).Put([]byte(life), v)
	})
}
