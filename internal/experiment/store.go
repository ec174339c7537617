package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
)

// Program returns what tells programs apart: the digest of this one's file.
func Program() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("find this program: %w", err)
	}
	f, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("read this program: %w", err)
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", fmt.Errorf("read this program: %w", err)
	}
	return hex.EncodeToString(h.Sum(nil)[:16]), nil
}

var bucket = []byte("runs")
