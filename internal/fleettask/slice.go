package fleettask

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"frostlink/internal/deadletter"
)

// SliceHeader is the first line of a slice.
type SliceHeader struct {
	Version     int    `json:"version"` // LedgerVersion
	Name        string `json:"name"`
	Previous    string `json:"before,omitempty"` // name of the previous slice
	Relay       string `json:"relay"`
	Store       string `json:"store"` // id of the dead-letter store
	Token       uint64 `json:"token"`
	FirstRecord uint64 `json:"from"` // number of its first record
	EndRecord   uint64 `json:"to"`   // number after its last record
	Records     int    `json:"records"`
}

// sliceLine is each further line of a slice.
type sliceLine struct {
	Record *deadletter.Record `json:"record"`
	Body   []byte             `json:"body,omitempty"`
}

// partSuffix is appended to the file name of a slice while it is being written.
const partSuffix = ".part"

// writeSlice writes and syncs a slice under a temporary name and then renames it, so that a file
// with the slice's name is always complete.
func writeSlice(folder string, header SliceHeader, slice *exportSlice) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fmt.Errorf("folder: %w", err)
	}
	path := filepath.Join(folder, header.Name)
	part := path + partSuffix
	f, err := os.OpenFile(part, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("slice: %w", err)
	}
	err = errors.Join(encodeSlice(f, header, slice), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(part, path)
	}
	if err != nil {
		_ = os.Remove(part)
		return fmt.Errorf("slice: %w", err)
	}
	return syncFolder(folder)
}

// encodeSlice writes a slice's lines.
func encodeSlice(w io.Writer, header SliceHeader, slice *exportSlice) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	err := encoder.Encode(header)
	for _, record := range slice.records {
		body, bodyErr := slice.store.Body(record.ID)
		if bodyErr != nil {
			body = nil // damaged, or evicted meanwhile by a size limit; the record contains the length of the body
		}
		err = errors.Join(err, encoder.Encode(sliceLine{record, body}))
	}
	return errors.Join(err, buffered.Flush())
}

// syncFolder makes the renaming of a file durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("folder: %w", err)
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// ReadSlice reads a slice. It returns the header, and passes each further line to the function
// line, which may be nil.
func ReadSlice(folder, name string, line func(raw []byte) error) (SliceHeader, error) {
	var header SliceHeader
	if !fs.ValidPath(name) || filepath.Base(name) != name {
		return header, fmt.Errorf("%q is not the name of a slice", name)
	}
	f, err := os.Open(filepath.Join(folder, name))
	if err != nil {
		return header, err //nolint:wrapcheck // the text names the file, and frostlinkctl prints it
	}
	defer func() { _ = f.Close() }() // an error is harmless: the file was only read
	decoder := json.NewDecoder(bufio.NewReader(f))
	if err := decoder.Decode(&header); err != nil {
		return header, fmt.Errorf("header: %w", err)
	}
	if header.Version != LedgerVersion {
		return header, fmt.Errorf("version %d; this program reads version %d", header.Version, LedgerVersion)
	}
	return header, readLines(decoder, header.Records, line)
}

func readLines(decoder *json.Decoder, records int, line func(raw []byte) error) error {
	for n := range records {
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return fmt.Errorf("record %d of %d: %w", n+1, records, err)
		}
		if line == nil {
			continue
		}
		if err := line(raw); err != nil {
			return err
		}
	}
	return nil
}
