package eventlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// allStreams is the name, without extension, of the file with the merged events of all streams.
const allStreams = "all"

// Save writes the events of each stream to a file NAME.jsonl in dir, one JSON object per line, and the merged events of
// all streams to all.jsonl. It creates dir if necessary.
func (l *Log) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("save event logs: %w", err)
	}
	byName := map[string][]Event{allStreams: l.Events()}
	for _, e := range byName[allStreams] {
		byName[e.Who] = append(byName[e.Who], e)
	}
	for name, events := range byName {
		if err := saveEvents(filepath.Join(dir, name+".jsonl"), events); err != nil {
			return err
		}
	}
	return nil
}

// saveEvents writes events to a file, one JSON object per line. It replaces an existing file.
func saveEvents(path string, events []Event) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("save event log: %w", err)
	}
	if err := writeEvents(file, events); err != nil {
		return fmt.Errorf("save event log %s: %w", path, errors.Join(err, file.Close()))
	}
	return file.Close()
}

func writeEvents(file *os.File, events []Event) error {
	buffered := bufio.NewWriter(file)
	encoder := json.NewEncoder(buffered)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return buffered.Flush()
}
