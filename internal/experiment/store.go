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

// resultsBucket is the name of the database bucket that maps each resultKey to a result in JSON.
var resultsBucket = []byte("runs")

// programDigestBytes is the number of bytes of the executable's digest that identify the program.
const programDigestBytes = 16

// Program identifies the running build of the program: it returns the hexadecimal digest of its executable.
func Program() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("find the running executable: %w", err)
	}
	file, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("open the running executable: %w", err)
	}
	defer func() { _ = file.Close() }() // the file is only read, so an error has no effect
	digest := sha256.New()
	if _, err := io.Copy(digest, file); err != nil {
		return "", fmt.Errorf("read the running executable: %w", err)
	}
	return hex.EncodeToString(digest.Sum(nil)[:programDigestBytes]), nil
}

// resultKey is the key of a stored result: a digest of the program, the policy and the scenario with its seed.
type resultKey [sha256.Size]byte

func newResultKey(program, policy string, s *scenario.Scenario) (resultKey, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return resultKey{}, fmt.Errorf("encode scenario: %w", err)
	}
	return sha256.Sum256(append([]byte(program+" "+policy+" "), text...)), nil
}

// storedResult returns a result from the store, or nil if the store does not contain it.
func storedResult(db *bbolt.DB, key resultKey) (*Result, error) {
	var found *Result
	err := db.View(func(tx *bbolt.Tx) error {
		runs := tx.Bucket(resultsBucket)
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

// storeResult saves a result in the store and commits it.
func storeResult(db *bbolt.DB, key resultKey, r *Result) error {
	text, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	return db.Batch(func(tx *bbolt.Tx) error {
		runs, err := tx.CreateBucketIfNotExists(resultsBucket)
		if err != nil {
			return err
		}
		return runs.Put(key[:], text)
	})
}
