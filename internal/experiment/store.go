package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"go.etcd.io/bbolt"

	"indigousher/internal/scenario"
)

// bucket holds the results, by resultKey.
var bucket = []byte("runs")

// programDigestBytes is how much of the digest of the program's file tells programs apart.
const programDigestBytes = 16

// Program returns what tells programs apart: the digest of this one's file.
func Program() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("find this program: %w", err)
	}
	file, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("read this program: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	digest := sha256.New()
	if _, err := io.Copy(digest, file); err != nil {
		return "", fmt.Errorf("read this program: %w", err)
	}
	return hex.EncodeToString(digest.Sum(nil)[:programDigestBytes]), nil
}

// resultKey is the key of a result: the digest of all that it follows from.
type resultKey [sha256.Size]byte

func newResultKey(program, policy string, s *scenario.Scenario) (resultKey, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return resultKey{}, fmt.Errorf("lay out day: %w", err)
	}
	return sha256.Sum256(append([]byte(program+" "+policy+" "), text...)), nil
}

// storedResult returns a result from the store, nil if it is not there.
func storedResult(db *bbolt.DB, key resultKey) (*Result, error) {
	var found *Result
	err := db.View(func(tx *bbolt.Tx) error {
		runs := tx.Bucket(bucket)
		if runs == nil {
			return nil
		}
		text := runs.Get(key[:])
		if text == nil {
			return nil
		}
		found = &Result{}
		return json.Unmarshal(text, found)
	})
	return found, err
}

// storeResult keeps a result in the store.
func storeResult(db *bbolt.DB, key resultKey, r *Result) error {
	text, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("lay out result: %w", err)
	}
	return db.Batch(func(tx *bbolt.Tx) error {
		runs, err := tx.CreateBucketIfNotExists(bucket)
		if err != nil {
			return err
		}
		return runs.Put(key[:], text)
	})
}
