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

// writableFile contains the operations of *os.File that commits use on the journal's file.
type writableFile interface {
	io.WriteCloser
	Truncate(size int64) error
}

// Journal is a relay's durable state. A completed write survives SIGKILL of the process, so the file is
// never synced. A Journal is not safe for concurrent use.
type Journal struct {
	path     string
	detailed bool // store the outcomes and times of attempts and requests as well

	// The file and its commits.
	file               writableFile // nil until the first compaction
	failed             bool         // the last commit failed
	mayHoldUncommitted bool         // a failed commit may have left records in the file
	buffer             recordBuffer // encoded records since the last Commit
	recordCount        uint64       // number of records added
	durable            uint64       // number of the last record that a later process can read

	// Sizes in bytes.
	sizeLimit     int // maximum total size of the old and the new file during a compaction
	fileSize      int
	liveSize      int // estimate for the records of a compaction and the later records of open requests
	reservedSize  int // for requests that may be accepted before the next Commit
	endpointsSize int // the share of the endpoint list in liveSize
	openIDMemory  int // that the ids of open requests will take once these are completed

	// The state that the records describe.
	entries         map[string]*Entry // open requests, by id
	accepted        []*Entry          // in order of acceptance; completed requests stay until the next compaction
	completed       completedRequests
	health          map[string]Health // by endpoint
	endpoints       *discovery.EndpointList
	endpointSource  string               // the discovery service that sent endpoints
	store           string               // name of the dead-letter store, see Store
	terms           map[int]policy.Class // class settings at the acceptance of requests, by number
	lastTermsNumber int
	lastArrival     int64
	anchor          *clock.Anchor // as read from the file; nil: the file is unanchored
	latest          clock.Instant // latest instant in the file
	timeline        *clock.Timeline
}

// Open replays the journal of a folder that this process owns, and prepares it for writing. diskMB is the
// size limit of the folder in MB. detailed selects whether the outcomes and times of attempts and requests
// are stored, which the dead-letter store needs.
func Open(dir string, diskMB float64, detailed bool) (*Journal, error) {
	j, err := Read(dir, diskMB, detailed)
	if err != nil {
		return nil, err
	}
	return j, j.Acquire()
}

// Read replays the journal of a folder that another process still owns, without changing the folder. Its
// parameters are those of Open. Commit must not be called before Acquire.
func Read(dir string, diskMB float64, detailed bool) (*Journal, error) {
	j, corrupt, err := load(dir, detailed)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	if corrupt != nil {
		slog.Warn("journal: corrupt tail of the file skipped", logkey.Bytes, corrupt.Skipped, logkey.Err, corrupt)
	}
	j.timeline = clock.Continue(j.anchor, j.latest)
	if j.anchor != nil && !j.timeline.SameBoot() {
		slog.Warn("journal: written before this machine was rebooted; time since then is taken from the wall clock")
	}
	j.sizeLimit = int(usableFraction * diskMB * 1e6)
	if !detailed {
		j.store = "" // this process reports no deliveries, so the store's record of them becomes incomplete
	}
	return j, nil
}

// Acquire prepares the journal for writing, once this process owns the folder. If the folder temporarily
// can't be written, Acquire returns nil and Failed reports true; a later Commit writes the file.
func (j *Journal) Acquire() error {
	// A process that ended during a compaction leaves an unused temporary file.
	err := os.Remove(j.temporaryPath())
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	err = errors.Join(err, j.compact())
	if err != nil && syserr.Classify(syserr.File, err) == syserr.Local {
		// A temporary error must not fail the start: the requests were read from the file, and the platform
		// still has to be notified of their outcomes.
		slog.Error("journal: folder can't be written; requests are accepted once a write succeeds", logkey.Err, err)
		j.failed = true
		return nil
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// Inspect reads the current journal of a folder, even while another process writes it. The result is only
// for reading: no records may be added to it.
func Inspect(dir string) (*Journal, error) {
	j, _, err := load(dir, false) // the tail may be corrupt because the owner is in the middle of a write
	if err != nil {
		return nil, err
	}
	return j, nil
}

// LiveSize returns an estimate of the memory, in bytes, of the open requests and the endpoint list.
func (j *Journal) LiveSize() int { return j.liveSize }

// Close closes the file. Records that were not committed are lost.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	if err := j.file.Close(); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// Timeline returns the timeline to which all instants of this journal belong.
func (j *Journal) Timeline() *clock.Timeline { return j.timeline }

// Entries returns the open requests in order of acceptance.
func (j *Journal) Entries() []*Entry {
	return slices.DeleteFunc(slices.Clone(j.accepted), func(e *Entry) bool { return j.entries[e.ID] != e })
}

// Entry returns an open request, or nil.
func (j *Journal) Entry(id string) *Entry { return j.entries[id] }

// Terms returns a request's terms, which are the settings of its class at acceptance, or nil if the journal
// does not contain them.
func (j *Journal) Terms(e *Entry) *policy.Class {
	if terms, ok := j.terms[e.TermsNumber]; ok {
		return &terms
	}
	return nil
}

// Health returns the health of endpoints by id. Callers must not change it.
func (j *Journal) Health() map[string]Health { return j.health }

// Endpoints returns the last endpoint list that this process or an earlier one received, or nil, and the
// discovery service that sent it.
func (j *Journal) Endpoints() (list *discovery.EndpointList, source string) {
	return j.endpoints, j.endpointSource
}

// Store returns the name of the dead-letter store whose record of deliveries is complete once it has been
// notified of the deliveries in this journal. It is empty if there is no such store.
func (j *Journal) Store() string { return j.store }

// LastArrival returns the highest Order.Arrival of all requests ever accepted.
func (j *Journal) LastArrival() int64 { return j.lastArrival }
