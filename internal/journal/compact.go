package journal

import (
	"fmt"
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

// compact replaces the file by a new one with the live records only.
func (j *Journal) compact() error {
	j.accepted = j.Entries()
	j.dropUnusedTerms()
	completed := encodeCompleted(j.completed.latest(j.completedCapacity()))

	contents := j.appendAnchor(nil)
	contents = j.appendTerms(contents)
	for _, e := range j.accepted {
		contents = appendEntry(contents, e)
	}
	if len(completed) > 0 {
		contents = appendRecord(contents, record{Kind: kindCompletedRequests, Body: completed})
	}
	contents = j.appendEndpoints(contents)
	contents = j.appendStore(contents)
	contents = j.appendHealth(contents)

	file, err := j.replaceFile(contents)
	if err != nil {
		return err
	}
	if j.file != nil {
		_ = j.file.Close() // the new file has replaced this file, so an error loses no record
	}
	j.file, j.fileSize, j.completedSize = file, len(contents), len(completed)
	return nil
}

// replaceFile writes a new file and renames it to the journal's name.
func (j *Journal) replaceFile(contents []byte) (*os.File, error) {
	file, err := os.OpenFile(j.temporaryPath(), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("compact: %w", err)
	}
	if _, err = file.Write(contents); err == nil {
		if err = os.Rename(j.temporaryPath(), j.path); err != nil {
			j.mayHoldUncommitted = true // after EIO, either file may have the journal's name (rename(2))
		}
	}
	if err != nil {
		_ = file.Close()
		_ = os.Remove(j.temporaryPath())
		return nil, fmt.Errorf("compact: %w", err)
	}
	return file, nil
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
