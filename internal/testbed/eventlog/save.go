package eventlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// allStreams is the name of the file that holds all streams merged.
const allStreams = "all"

// Save writes each stream as JSON lines into a folder, and all of them merged as all.jsonl.
func (l *Log) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("save trails: %w", err)
	}
	byName := map[string][]Event{allStreams: l.Events()}
	for _, e := range byName[allStreams] {
		byName[e.Who] = append(byName[e.Who], e)
	}
	for name, events := range byName {
		if err := save(filepath.Join(dir, name+".jsonl"), events); err != nil {
			return err
		}
	}
	return nil
}

// save writes events into a new file, one a line.
func save(path string, events []Event) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("save trail: %w", err)
	}
	if err := write(file, events); err != nil {
		return fmt.Errorf("save %s: %w", path, errors.Join(err, file.Close()))
	}
	return file.Close()
}

func write(file *os.File, events []Event) error {
	buffered := bufio.NewWriter(file)
	encoder := json.NewEncoder(buffered)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return buffered.Flush()
}
