package harness

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// saveLogs writes the event log, the relays' logs and their dead-letter stores into Options.KeepDir.
func (h *harness) saveLogs() error {
	if err := os.MkdirAll(h.options.KeepDir, 0o755); err != nil {
		return fmt.Errorf("create the folder for logs: %w", err)
	}
	if err := h.writeEventLog(filepath.Join(h.options.KeepDir, "events.jsonl")); err != nil {
		return fmt.Errorf("event log: %w", err)
	}
	for _, relay := range h.relays {
		if err := relay.saveLog(filepath.Join(h.options.KeepDir, relay.name+".log")); err != nil {
			return fmt.Errorf("%s: log: %w", relay.name, err)
		}
		if err := relay.saveStore(filepath.Join(h.options.KeepDir, relay.name+"-undelivered")); err != nil {
			return fmt.Errorf("%s: dead-letter store: %w", relay.name, err)
		}
	}
	return nil
}

// writeEventLog writes the event log to a file, one JSON object a line.
func (h *harness) writeEventLog(path string) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	out := bufio.NewWriter(file)
	lines := json.NewEncoder(out)
	for _, event := range h.eventLog() {
		if err := lines.Encode(event); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// saveLog copies a relay's log to a file.
func (r *relay) saveLog(path string) error {
	raw, err := os.ReadFile(r.logPath())
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}
