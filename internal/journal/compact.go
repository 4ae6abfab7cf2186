package journal

import (
	"bufio"
	"fmt"
	"io"
	"os"
)

// Compact commits the buffered records and compacts the file. It is called before another process reads
// the file.
func (j *Journal) Compact() error {
	if err := j.Commit(); err != nil {
		return err
	}
	if err := j.compact(); err != nil {
		j.failed = true
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// writeBufferSize is the size in bytes of the pieces in which a new file is written.
const writeBufferSize = 16 << 10

// compact replaces the file by a new one with the live records only.
func (j *Journal) compact() error {
	j.accepted = j.Entries()
	j.dropUnusedTerms()
	file, size, err := j.replaceFile(j.completed.latest(j.completedCapacity()))
	if err != nil {
		return err
	}
	if j.file != nil {
		_ = j.file.Close() // the new file has replaced this file, so an error loses no record
	}
	j.file, j.fileSize = file, size
	return nil
}

// replaceFile writes a new file and renames it to the journal's name. It returns the file and its size.
func (j *Journal) replaceFile(completed []completedBlock) (file *os.File, size int, err error) {
	file, err = os.OpenFile(j.temporaryPath(), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, 0, fmt.Errorf("compact: %w", err)
	}
	if size, err = j.writeLiveRecords(file, completed); err == nil {
		if err = os.Rename(j.temporaryPath(), j.path); err != nil {
			j.mayHoldUncommitted = true // after EIO, either file may have the journal's name (rename(2))
		}
	}
	if err != nil {
		_ = file.Close()
		_ = os.Remove(j.temporaryPath())
		return nil, 0, fmt.Errorf("compact: %w", err)
	}
	return file, size, nil
}

// writeLiveRecords writes the records of a compacted file, and returns their size. Memory holds the records of one request at a
// time.
func (j *Journal) writeLiveRecords(to io.Writer, completed []completedBlock) (size int, err error) {
	out := bufio.NewWriterSize(to, writeBufferSize)
	var records []byte
	write := func() {
		n, _ := out.Write(records) // Flush returns the error
		size += n
		records = records[:0]
	}
	records = j.appendTerms(j.appendAnchor(records))
	write()
	for _, e := range j.accepted {
		records = appendEntry(records, e)
		write()
	}
	for _, block := range completed {
		records = appendRecord(records, record{Kind: kindCompletedRequests, Body: block})
		write()
	}
	records = j.appendHealth(j.appendStore(j.appendEndpoints(records)))
	write()
	return size, out.Flush() //nolint:wrapcheck // the caller says what was written
}

func (j *Journal) temporaryPath() string { return j.path + ".new" }

// dropUnusedTerms deletes the class settings that are not the terms of any open request.
func (j *Journal) dropUnusedTerms() {
	used := map[int]bool{}
	for _, e := range j.accepted {
		used[e.TermsNumber] = true
	}
	for number := range j.terms {
		if !used[number] {
			delete(j.terms, number)
		}
	}
}

func (j *Journal) appendAnchor(b []byte) []byte {
	anchor := j.timeline.Anchor()
	return appendRecord(b, record{Kind: kindAnchor, Anchor: &anchor})
}

func (j *Journal) appendTerms(b []byte) []byte {
	for number, terms := range j.terms {
		b = appendRecord(b, record{Kind: kindTerms, Terms: &terms, Count: int64(number)})
	}
	return b
}

// appendEntry appends the records from which replay restores an open request.
func appendEntry(b []byte, e *Entry) []byte {
	b = appendRecord(b, record{Kind: kindAccepted, Entry: e, Body: e.Body})
	for _, a := range e.Attempts {
		b = appendRecord(b, record{Kind: kindAttemptStarted, ID: e.ID, Endpoint: a.Endpoint, At: a.StartedAt})
		if a.Ended {
			b = appendRecord(b, record{
				Kind: kindAttemptEnded, ID: e.ID, NotExecuted: a.NotExecuted, Reason: a.Outcome, At: a.EndedAt,
			})
		}
	}
	if e.Delivered {
		b = appendRecord(b, record{Kind: kindDelivered, ID: e.ID})
	}
	if e.PendingNotice != nil {
		b = appendRecord(b, record{
			Kind: kindOutcomeDecided, ID: e.ID, Notice: e.PendingNotice, Reason: e.Reason, At: e.CompletedAt,
		})
	}
	return b
}

func (j *Journal) appendEndpoints(b []byte) []byte {
	if j.endpoints == nil {
		return b
	}
	return appendRecord(b, record{Kind: kindEndpoints, Endpoints: j.endpoints, Source: j.endpointSource})
}

func (j *Journal) appendStore(b []byte) []byte {
	if j.store == "" && j.lastArrival == 0 {
		return b
	}
	return appendRecord(b, record{Kind: kindStore, Source: j.store, Count: j.lastArrival})
}

func (j *Journal) appendHealth(b []byte) []byte {
	for endpoint, h := range j.health {
		b = appendRecord(b, record{Kind: kindHealth, Endpoint: endpoint, Health: &h})
	}
	return b
}
