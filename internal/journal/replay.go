package journal

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"frostlink/internal/clock"
	"frostlink/internal/discovery"
	"frostlink/internal/logkey"
	"frostlink/policy"
)

// readBufferSize is the size in bytes of the pieces in which a file is read.
const readBufferSize = 16 << 10

// load replays the journal of a folder. Reservations count the records of outcomes and times if detailed is set. If the file does not exist, load returns an empty journal
// together with the error. corrupt reports a tail that was skipped, and is nil if the whole file was
// read.
func load(dir string, detailed bool) (j *Journal, corrupt *CorruptRecordError, err error) {
	j = &Journal{
		path:     filepath.Join(dir, FileName),
		detailed: detailed,
		entries:  map[string]*Entry{},
		health:   map[string]Health{},
		terms:    map[int]policy.Class{},
	}
	file, err := os.Open(j.path)
	if err != nil {
		return j, nil, fmt.Errorf("journal: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	info, err := file.Stat()
	if err != nil {
		return j, nil, fmt.Errorf("journal: %w", err)
	}
	corrupt, err = j.replay(file, int(info.Size()))
	if err != nil {
		return j, nil, fmt.Errorf("journal: %w", err)
	}
	return j, corrupt, nil
}

// replay applies the records of a file of a size up to the first that can't be decoded. err is an error of reading the file.
func (j *Journal) replay(file io.Reader, fileSize int) (corrupt *CorruptRecordError, err error) {
	records := recordReader{in: bufio.NewReaderSize(file, readBufferSize), left: fileSize}
	for offset := 0; offset < fileSize; {
		r, size, err := records.read()
		if errors.As(err, new(*fs.PathError)) {
			return nil, err
		}
		if err != nil {
			return &CorruptRecordError{Offset: offset, Skipped: fileSize - offset, Err: err}, nil
		}
		j.apply(r)
		offset += size
	}
	return nil, nil
}

// apply changes the state in memory by one record. A record of an unknown kind, written by a later
// version of the program, has no effect.
func (j *Journal) apply(r record) {
	j.latest = max(j.latest, r.At)
	switch r.Kind {
	case kindAnchor:
		j.applyAnchor(r.Anchor)
	case kindTerms:
		j.applyTerms(int(r.Count), r.Terms)
	case kindAccepted:
		j.applyAccepted(r.Entry, r.Body)
	case kindAttemptStarted, kindAttemptEnded, kindDelivered, kindOutcomeDecided, kindCompleted:
		if e := j.entries[r.ID]; e != nil {
			j.applyToEntry(e, r)
		}
	case kindCompletedRequests:
		j.applyCompletedRequests(r.Body)
	case kindEndpoints:
		j.applyEndpoints(r.Endpoints, r.Source)
	case kindStore:
		j.store, j.lastArrival = r.Source, max(j.lastArrival, r.Count)
	case kindHealth:
		j.applyHealth(r.Endpoint, r.Health)
	}
}

// applyToEntry changes an open request by one record.
func (j *Journal) applyToEntry(e *Entry, r record) {
	switch r.Kind {
	case kindAttemptStarted:
		e.Attempts = append(e.Attempts, Attempt{Endpoint: r.Endpoint, StartedAt: r.At})
	case kindAttemptEnded:
		e.endLastAttempt(r)
	case kindDelivered:
		e.Delivered = true
	case kindOutcomeDecided:
		e.PendingNotice, e.Reason, e.CompletedAt = r.Notice, r.Reason, r.At
	case kindCompleted:
		j.applyCompleted(e, r.At)
	default: // the other kinds don't concern a request
	}
}

func (j *Journal) applyAnchor(anchor *clock.Anchor) {
	if anchor == nil {
		return
	}
	j.anchor = anchor
	j.latest = max(j.latest, anchor.At)
}

func (j *Journal) applyTerms(number int, terms *policy.Class) {
	if terms == nil {
		return
	}
	j.terms[number] = *terms
	j.lastTermsNumber = max(j.lastTermsNumber, number)
}

func (j *Journal) applyAccepted(e *Entry, body []byte) {
	if e == nil {
		return
	}
	e.Body = body
	j.entries[e.ID] = e
	j.accepted = append(j.accepted, e)
	j.liveSize += j.sizeOf(e)
	j.openIDMemory += completedMemory(e.ID)
	if e.Order != nil {
		j.lastArrival = max(j.lastArrival, e.Order.Arrival)
	}
}

// endLastAttempt sets the result of the attempt that started last; attempts of a request never overlap.
func (e *Entry) endLastAttempt(r record) {
	if len(e.Attempts) == 0 {
		return
	}
	a := &e.Attempts[len(e.Attempts)-1]
	a.Ended, a.NotExecuted, a.Outcome, a.EndedAt = true, r.NotExecuted, r.Reason, r.At
	e.Delivered = false // replaces an unconfirmed delivery
}

func (j *Journal) applyCompleted(e *Entry, at clock.Instant) {
	delete(j.entries, e.ID)
	j.liveSize -= j.sizeOf(e)
	j.openIDMemory -= completedMemory(e.ID)
	if !at.IsZero() { // Withdraw, and earlier versions of the program, write no time
		j.completed.add(CompletedRequest{ID: e.ID, At: at})
	}
}

func (j *Journal) applyCompletedRequests(body []byte) {
	requests, err := readCompleted(body)
	if err != nil {
		slog.Warn("journal: malformed record skipped", logkey.Record, string(kindCompletedRequests), logkey.Err, err)
	}
	for _, c := range requests {
		j.completed.add(c)
		j.latest = max(j.latest, c.At)
	}
}

func (j *Journal) applyEndpoints(list *discovery.EndpointList, source string) {
	if list == nil {
		return
	}
	j.liveSize -= j.endpointsSize
	j.endpoints, j.endpointSource = j.endpoints.Apply(*list), source
	j.endpointsSize = len(j.endpoints.Endpoints) * endpointSize
	j.liveSize += j.endpointsSize
}

func (j *Journal) applyHealth(endpoint string, h *Health) {
	if h == nil {
		return
	}
	j.latest = max(j.latest, h.At)
	j.health[endpoint] = *h
}
