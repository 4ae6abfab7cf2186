package journal

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"slices"

	"frostlink/internal/clock"
	"frostlink/internal/discovery"
	"frostlink/internal/logkey"
	"frostlink/internal/syserr"
	"frostlink/policy"
)

// FileName is the name of the file in the relay's folder.
const FileName = "journal"

// openFile is the journal's file, as far as it is written in place.
type openFile interface {
	io.WriteCloser
	Truncate(size int64) error
}

// Journal is a relay's durable state. A write that returned survives SIGKILL, so nothing is synced. It
// is not safe for concurrent use.
type Journal struct {
	path     string
	detailed bool // outcomes and times of attempts and requests are stored as well

	// The file and its commits.
	file               openFile // nil until the first compaction
	failed             bool     // the last commit failed
	mayHoldUncommitted bool     // a failed commit may have left records in the file
	buffer             []byte   // encoded records since the last Commit
	noted              uint64   // records noted
	durable            uint64   // records among them that later processes find

	// Sizes in bytes.
	sizeLimit     int // of the old and the new file together during a compaction
	fileSize      int
	liveSize      int // of what a compaction has to write, later records of open requests included
	reservedSize  int // for requests that may be accepted before the next Commit
	endpointsSize int // the part of liveSize that is for the endpoint list
	completedSize int // of the completed requests that the last compaction wrote

	// The state that the records describe.
	entries         map[string]*Entry // open requests, by id
	accepted        []*Entry          // in order of acceptance, completed ones until the next compaction
	completed       completedRequests
	health          map[string]Health // by endpoint
	endpoints       *discovery.EndpointList
	endpointSource  string // the discovery that sent endpoints
	store           string // name of the dead-letter store
	terms           map[int]policy.Class
	lastTermsNumber int
	lastArrival     int64
	anchor          *clock.Anchor // as read from the file; nil: it is unanchored
	latest          clock.Instant // latest instant in the file
	timeline        *clock.Timeline
}

// Open replays the journal of a folder that this process owns, and makes it ready to be written.
// detailed: outcomes and times of attempts and requests are stored, for the dead-letter store.
func Open(dir string, diskMB float64, detailed bool) (*Journal, error) {
	j, err := Read(dir, diskMB, detailed)
	if err != nil {
		return nil, err
	}
	return j, j.Acquire()
}

// Read replays the journal of a folder that another process still owns, and changes nothing there.
// Nothing can be committed before Acquire.
func Read(dir string, diskMB float64, detailed bool) (*Journal, error) {
	j, corrupt, err := load(dir)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	if corrupt != nil {
		slog.Warn("journal: corrupt end of file skipped", logkey.Bytes, corrupt.Skipped, logkey.Err, corrupt)
	}
	j.timeline = clock.Continue(j.anchor, j.latest)
	if j.anchor != nil && !j.timeline.SameBoot() {
		slog.Warn("journal: written in another boot of this machine; the time since then is the wall clock's")
	}
	j.detailed, j.sizeLimit = detailed, int(usableFraction*diskMB*1e6)
	if !detailed {
		j.store = "" // from now on no store is notified
	}
	return j, nil
}

// Acquire makes a journal ready to be written: this process owns the folder now. Where the folder can't
// be written for the moment the journal is ready all the same, and Failed.
func (j *Journal) Acquire() error {
	// A process that ended during a compaction leaves a file that was never used.
	err := os.Remove(j.temporaryPath())
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	err = errors.Join(err, j.compact())
	if err != nil && syserr.Classify(syserr.File, err) == syserr.Local {
		// Against a start that fails for a temporary error: the requests in the file were read, and their
		// outcomes are owed.
		slog.Error("journal: the folder can't be written", logkey.Err, err)
		j.failed = true
		return nil
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// Inspect reads the journal of a folder as it stands, also that of a running process. Nothing can be
// written to it.
func Inspect(dir string) (*Journal, error) {
	j, _, err := load(dir) // a running process may be in the middle of a write
	if err != nil {
		return nil, err
	}
	return j, nil
}

// Close closes the file. What was not committed is lost.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	if err := j.file.Close(); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// Timeline returns the timeline that all instants of this journal are of.
func (j *Journal) Timeline() *clock.Timeline { return j.timeline }

// Entries returns the open requests in order of acceptance.
func (j *Journal) Entries() []*Entry {
	return slices.DeleteFunc(slices.Clone(j.accepted), func(e *Entry) bool { return j.entries[e.ID] != e })
}

// Entry returns an open request, or nil.
func (j *Journal) Entry(id string) *Entry { return j.entries[id] }

// Terms returns the terms of a request's class at its acceptance; nil: they are not known.
func (j *Journal) Terms(e *Entry) *policy.Class {
	if terms, ok := j.terms[e.TermsNumber]; ok {
		return &terms
	}
	return nil
}

// Health returns the health of endpoints by id. Callers must not change it.
func (j *Journal) Health() map[string]Health { return j.health }

// Endpoints returns the endpoint list as last sent to this process or an earlier one, or nil, and the
// discovery that sent it.
func (j *Journal) Endpoints() (list *discovery.EndpointList, source string) {
	return j.endpoints, j.endpointSource
}

// Store returns the name of the dead-letter store that knows of all deliveries, or gets them from this
// journal. Empty: there is none.
func (j *Journal) Store() string { return j.store }

// LastArrival returns the highest Order.Arrival of all requests that were ever accepted.
func (j *Journal) LastArrival() int64 { return j.lastArrival }
