// Package journal keeps what a relay has taken on in a file that outlasts its process.
package journal

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"

	"frostlink/internal/clock"
	"frostlink/internal/deadletter"
	"frostlink/internal/discovery"
	"frostlink/internal/notification"
	"frostlink/internal/syserr"
	"frostlink/policy"
)

const (
	// Name is the file's, in the folder that lasts.
	Name = "journal"
	// diskShare of the folder's limit is used: the rest is for whole blocks and for what else lies there.
	diskShare = 0.9
	// attemptsRoom is set aside for the later records of each message when it is taken on, and detailRoom more where
	// they tell the outcome and end of each attempt as well.
	attemptsRoom, detailRoom = 2048, 1536
	// orderRoom is set aside for a message's place among those of its topic.
	orderRoom = 128
	// memberRoom is set aside for each host of the list.
	memberRoom = 256
	// slackSize is how far the file may outgrow twice what is live before it is compacted.
	slackSize = 256 << 10
)

// Entry is a message that was taken on and has not come to its end.
type Entry struct {
	ID             string        `json:"id"`
	Class          string        `json:"class,omitempty"`
	Destination    int           `json:"dest,omitempty"`
	Tenant         string        `json:"tenant,omitempty"` // where undelivered messages are kept
	AcceptedAt     clock.Instant `json:"taken,omitzero"`   // the same
	Redelivery     bool          `json:"resend,omitempty"` // from the store of undelivered messages: its end goes there, not to the platform
	IdempotencyKey string        `json:"key,omitempty"`
	// OrderKey is what messages of a class in order take turns by; empty: it is free of order, or an earlier program took it on.
	OrderKey string        `json:"item,omitempty"`
	Deadline clock.Instant `json:"expires,omitzero"`
	// TermsNumber is the number of the terms of its class as it was taken on, in this journal; 0: an earlier program took it
	// on, and it is under the settings'.
	TermsNumber int       `json:"terms,omitempty"`
	Body        []byte    `json:"-"`
	Attempts    []Attempt `json:"-"`
	// Subject and Order are what it is about, in classes of which the operator says where that stands.
	Subject string            `json:"subject,omitempty"`
	Order   *deadletter.Order `json:"order,omitempty"`
	// Delivered: it was, and the store is still to know that nothing older of its topic may follow it.
	Delivered     bool                 `json:"-"`
	PendingNotice *notification.Notice `json:"-"` // its end, until the platform has it
	Reason        string               `json:"-"` // of that end, and Over when it came, where undelivered messages are kept
	CompletedAt   clock.Instant        `json:"-"`
}

// Attempt is one call made for a message.
type Attempt struct {
	Endpoint    string
	StartedAt   clock.Instant
	Ended       bool
	NotExecuted bool // proved never to have run
	// Where undelivered messages are kept:
	EndedAt clock.Instant // of its end
	Outcome string
}

// Health is what is remembered of a host's outage.
type Health struct {
	Unhealthy bool          `json:"sick,omitempty"`
	At        clock.Instant `json:"at,omitzero"`
}

// openFile is the journal's file, as far as it is written in place.
type openFile interface {
	io.WriteCloser
	Truncate(size int64) error
}

// Journal keeps what a relay has taken on in a file that outlasts its process. Changes are buffered until
// Commit; a write that returned outlasts SIGKILL, so there is no sync. It is not safe for concurrent use.
type Journal struct {
	path     string
	detailed bool // note how and when attempts and messages end
	limit    int  // bytes of the old and the new file together while it is compacted
	file     openFile
	size     int // of the file
	live     int // bytes that the entries and the list need, with room for later records
	reserved int // for messages that may be taken on before the next Commit
	broken   bool
	doubtful bool   // the failed commit may have left records in the file
	noted    uint64 // records noted so far
	durable  uint64 // and how many of them a later process finds
	pending  []byte
	entries  map[string]*Entry
	order    []*Entry // as taken; those that are over leave at the next compaction
	health   map[string]Health
	list     *discovery.EndpointList // as last told; nil for never
	from     string                  // the discovery that told it
	listLen  int                     // of its record
	store    string                  // the one that knows all that was delivered, or has it to come from this journal; empty: none
	terms    map[int]policy.Class    // by number
	lastTerm int
	arrivals int64 // the highest Order.Arrival of all that was ever taken on
	past     past
	anchor   *clock.Anchor // as the file has it; nil: an earlier program wrote it
	latest   clock.Instant // of all that the file tells of
	timeline *clock.Timeline
	pastLen  int // bytes of them that the last compaction wrote
}

// Open replays the journal in a folder, drops what can't be read at its end, and makes it ready.
// detailed has it note how attempts and messages end, for the store of undelivered ones.
func Open(dir string, diskMB float64, detailed bool) (*Journal, error) {
	j, err := Read(dir, diskMB, detailed)
	if err != nil {
		return nil, err
	}
	return j, j.Acquire()
}

// Read replays the journal in a folder that another process still owns, and changes nothing there. Nothing can be written
// before Own.
func Read(dir string, diskMB float64, detailed bool) (*Journal, error) {
	j, rest, err := load(dir)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	if rest > 0 {
		slog.Warn("journal: unreadable end skipped", "bytes", rest)
	}
	j.timeline = clock.Continue(j.anchor, j.latest)
	if j.anchor != nil && !j.timeline.SameBoot() {
		slog.Warn("journal: written in another boot of this machine; the time since then is the wall clock's")
	}
	j.detailed, j.limit = detailed, int(diskShare*diskMB*1e6)
	if !detailed {
		j.store = "" // from now on no store is told
	}
	return j, nil
}

// Acquire makes a journal ready to be written: this process owns the folder now.
func (j *Journal) Acquire() error {
	// A process that ended while it compacted leaves a file that was never used.
	err := os.Remove(j.temporary())
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	err = errors.Join(err, j.compact())
	if err != nil && syserr.Classify(syserr.File, err) == syserr.Local {
		// Guards against a start that fails for what passes: what the folder has was read, and is owed.
		slog.Error("journal: the folder can't be written", "err", err)
		j.broken = true
		return nil
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// Compact commits, and writes the file anew with what is live: another process is about to read it.
func (j *Journal) Compact() error {
	if err := j.Commit(); err != nil {
		return err
	}
	if err := j.compact(); err != nil {
		j.broken = true
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// Inspect reads the journal in a folder as it stands, also that of a running process. Nothing can be written to it.
func Inspect(dir string) (*Journal, error) {
	j, _, err := load(dir)
	if err != nil {
		return nil, err
	}
	return j, nil
}

// load replays a folder's journal, an empty one where there is none, and gives how many bytes at its end can't be read.
func load(dir string) (j *Journal, rest int, err error) {
	j = &Journal{
		path: filepath.Join(dir, Name), entries: map[string]*Entry{}, health: map[string]Health{},
		terms: map[int]policy.Class{},
	}
	raw, err := os.ReadFile(j.path)
	if err != nil {
		return j, 0, fmt.Errorf("journal: %w", err)
	}
	return j, j.replay(raw), nil
}

// Timeline is the clock that all instants of this journal are of.
func (j *Journal) Timeline() *clock.Timeline { return j.timeline }

// Close closes the file.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

// Entries are the messages taken on and not over, in the order in which they were taken on.
func (j *Journal) Entries() []*Entry {
	return slices.DeleteFunc(slices.Clone(j.order), func(e *Entry) bool { return j.entries[e.ID] != e })
}

// Get gives a message that is not over, or nil.
func (j *Journal) Get(id string) *Entry { return j.entries[id] }

// Health is what is remembered of hosts.
func (j *Journal) Health() map[string]Health { return j.health }

// Reserve tells whether a message may be taken on, and keeps room for it until the next Commit: all that is
// live must fit twice, or it could not be compacted.
func (j *Journal) Reserve(e *Entry) bool {
	if j.broken || 2*(j.live+j.reserved+j.need(e)) > j.limit {
		return false
	}
	j.reserved += j.need(e)
	return true
}

// need is the room that an entry takes up, with its later records.
func (j *Journal) need(e *Entry) int {
	n := len(e.Body) + 4*len(e.ID) + len(e.IdempotencyKey) + len(e.OrderKey) + len(e.Tenant) + attemptsRoom
	if j.detailed {
		n += detailRoom
	}
	if e.Order != nil {
		n += 2*len(e.Subject) + orderRoom
	}
	return n
}

// Accept notes a message taken on.
func (j *Journal) Accept(e *Entry) { j.note(record{Op: opTaken, Entry: e}, e.Body) }

// SetTerms has a message that is to be taken on keep the terms of its class as they are now.
func (j *Journal) SetTerms(e *Entry, class policy.Class) { e.TermsNumber = j.number(class) }

// number gives the number of terms, and notes those that are new.
func (j *Journal) number(class policy.Class) int {
	if j.terms[j.lastTerm] == class {
		return j.lastTerm // of the message before, as mostly
	}
	for n, c := range j.terms {
		if c == class {
			return n
		}
	}
	j.note(record{Op: opTerms, Terms: &class, Count: int64(j.lastTerm + 1)}, nil)
	return j.lastTerm
}

// Terms are those of a message's class as it was taken on; nil where they are not known.
func (j *Journal) Terms(e *Entry) *policy.Class {
	if c, ok := j.terms[e.TermsNumber]; ok {
		return &c
	}
	return nil
}

// BeginAttempt notes an attempt; it must be committed before the attempt's first byte goes out.
func (j *Journal) BeginAttempt(e *Entry, host string, at clock.Instant) {
	j.note(record{Op: opBegun, ID: e.ID, Host: host, At: at}, nil)
}

// EndAttempt notes the outcome of a message's last attempt, and how and when it came where that is kept.
func (j *Journal) EndAttempt(e *Entry, unrun bool, outcome string, at clock.Instant) {
	r := record{Op: opEnded, ID: e.ID, Unrun: unrun}
	if j.detailed {
		r.Why, r.At = outcome, at
	}
	j.note(r, nil)
}

// DecideOutcome notes that a message ends by a notice, and why and when where that is kept.
func (j *Journal) DecideOutcome(e *Entry, n notification.Notice, reason string, at clock.Instant) {
	r := record{Op: opOwed, ID: e.ID, Notice: &n}
	if j.detailed {
		r.Why, r.At = reason, at
	}
	j.note(r, nil)
}

// MarkDelivered notes that a message was delivered, and that the store is to know.
func (j *Journal) MarkDelivered(e *Entry) { j.note(record{Op: opDone, ID: e.ID}, nil) }

// SetStore notes which store knows all that was delivered, or has it to come from this journal; empty for none.
func (j *Journal) SetStore(store string) {
	j.note(record{Op: opStore, From: store, Count: j.arrivals}, nil)
}

// Store names the store that knows all that was delivered, or has it to come from this journal; empty for none.
func (j *Journal) Store() string { return j.store }

// LastArrival is the highest Order.Arrival of all that was ever taken on.
func (j *Journal) LastArrival() int64 { return j.arrivals }

// SetHealth notes what a later process has to know of a host's outage.
func (j *Journal) SetHealth(host string, h Health) {
	j.note(record{Op: opHealth, Host: host, Health: &h}, nil)
}

// DeleteHealth drops what is remembered of a host that is gone; the file forgets with its next compaction.
func (j *Journal) DeleteHealth(host string) { delete(j.health, host) }

// UpdateEndpoints notes the list of hosts, or a change of it, as a discovery has told it.
func (j *Journal) UpdateEndpoints(m discovery.EndpointList, from string) {
	j.note(record{Op: opList, List: &m, From: from}, nil)
}

// Endpoints is the list as last told to this process or an earlier one, or nil, and which discovery told it.
func (j *Journal) Endpoints() (list *discovery.EndpointList, from string) { return j.list, j.from }

// note applies a record and buffers it.
func (j *Journal) note(r record, body []byte) {
	j.apply(r, body)
	j.noted++
	j.pending = appendRecord(j.pending, r, body)
}

// LastRecord is the number of the last record that was noted.
func (j *Journal) LastRecord() uint64 { return j.noted }

// Durable tells whether a later process finds a record of this number.
func (j *Journal) Durable(record uint64) bool { return record <= j.durable }

// Commit writes what was noted. After an error nothing that needs a record may go on; the next Commit
// starts a new file from what is in memory.
func (j *Journal) Commit() error {
	j.reserved = 0
	n := len(j.pending)
	if n == 0 && !j.broken {
		return nil
	}
	var err error
	switch full := j.size+n+j.live > j.limit; {
	case j.broken || full || j.size+n > 2*(j.live+j.pastLen)+slackSize:
		err = j.compact()
	default:
		if err = j.append(j.pending); err == nil {
			j.size += n
		}
	}
	j.pending = j.pending[:0]
	if j.broken = err != nil; err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	j.durable, j.doubtful = j.noted, false
	return nil
}

// append writes records at the end of the file. What of them a failure leaves there is cut off again: a later process would take up
// messages of which clients were told that they were not accepted.
func (j *Journal) append(records []byte) error {
	_, err := j.file.Write(records)
	if err != nil && j.file.Truncate(int64(j.size)) != nil {
		j.doubtful = true
	}
	return err
}

// Failed tells whether the last commit failed: only what is in the file as it stood before is known to a later process.
func (j *Journal) Failed() bool { return j.broken }

// MayHoldUncommitted tells whether the commits that failed since the last good one may have left records in the file all the same.
func (j *Journal) MayHoldUncommitted() bool { return j.doubtful }

// pastRoom is how many bytes of a new file may go to messages that are over: what is live comes first, the old file stands
// beside the new one, and half of what is left is for the records until the next compaction.
func (j *Journal) pastRoom() int {
	return min(int(pastShare*float64(j.limit)), j.limit-j.size-j.live, (j.limit-2*j.live)/2)
}

func (j *Journal) temporary() string { return j.path + ".new" }

// compact writes a new file with what is live and puts it in the old one's place.
func (j *Journal) compact() error {
	anchor := j.timeline.Anchor()
	b := appendRecord(nil, record{Op: opAnchor, Anchor: &anchor}, nil)
	pastLen := 0
	j.order = j.Entries()
	used := map[int]bool{}
	for _, e := range j.order {
		used[e.TermsNumber] = true
	}
	for n, c := range j.terms {
		if used[n] {
			b = appendRecord(b, record{Op: opTerms, Terms: &c, Count: int64(n)}, nil)
		} else {
			delete(j.terms, n)
		}
	}
	for _, e := range j.order {
		b = appendRecord(b, record{Op: opTaken, Entry: e}, e.Body)
		for _, a := range e.Attempts {
			b = appendRecord(b, record{Op: opBegun, ID: e.ID, Host: a.Endpoint, At: a.StartedAt}, nil)
			if a.Ended {
				b = appendRecord(b, record{Op: opEnded, ID: e.ID, Unrun: a.NotExecuted, Why: a.Outcome, At: a.EndedAt}, nil)
			}
		}
		if e.Delivered {
			b = appendRecord(b, record{Op: opDone, ID: e.ID}, nil)
		}
		if e.PendingNotice != nil {
			b = appendRecord(b, record{Op: opOwed, ID: e.ID, Notice: e.PendingNotice, Why: e.Reason, At: e.CompletedAt}, nil)
		}
	}
	if ends := j.past.fitting(j.pastRoom()); len(ends) > 0 {
		var body []byte
		for _, e := range ends {
			body = appendEnd(body, e)
		}
		b = appendRecord(b, record{Op: opPast}, body)
		pastLen = len(body)
	}
	if j.list != nil {
		b = appendRecord(b, record{Op: opList, List: j.list, From: j.from}, nil)
	}
	if j.store != "" || j.arrivals > 0 {
		b = appendRecord(b, record{Op: opStore, From: j.store, Count: j.arrivals}, nil)
	}
	for host, h := range j.health {
		b = appendRecord(b, record{Op: opHealth, Host: host, Health: &h}, nil)
	}
	f, err := os.OpenFile(j.temporary(), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.Write(b); err == nil {
		if err = os.Rename(j.temporary(), j.path); err != nil {
			j.doubtful = true // rename(2) does not say what stands there after an EIO
		}
	}
	if err != nil {
		_ = f.Close()
		_ = os.Remove(j.temporary())
		return err
	}
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file, j.size, j.pastLen = f, len(b), pastLen
	return nil
}

// replay applies the records of a file and returns how many bytes at its end can't be read.
func (j *Journal) replay(raw []byte) int {
	for len(raw) > 0 {
		r, body, n, err := readRecord(raw)
		if err != nil {
			return len(raw)
		}
		j.apply(r, body)
		raw = raw[n:]
	}
	return 0
}

// apply changes the state in memory by one record.
func (j *Journal) apply(r record, body []byte) {
	j.latest = max(j.latest, r.At)
	switch {
	case r.Op == opAnchor && r.Anchor != nil:
		j.anchor = r.Anchor
		j.latest = max(j.latest, r.Anchor.At)
		return
	case r.Op == opTaken && r.Entry != nil:
		r.Entry.Body = body
		j.entries[r.Entry.ID] = r.Entry
		j.order = append(j.order, r.Entry)
		j.live += j.need(r.Entry)
		if r.Entry.Order != nil {
			j.arrivals = max(j.arrivals, r.Entry.Order.Arrival)
		}
		return
	case r.Op == opTerms && r.Terms != nil:
		j.terms[int(r.Count)] = *r.Terms
		j.lastTerm = max(j.lastTerm, int(r.Count))
		return
	case r.Op == opStore:
		j.store, j.arrivals = r.From, max(j.arrivals, r.Count)
		return
	case r.Op == opPast:
		ends, err := readEnds(body)
		if err != nil {
			slog.Warn("journal: unreadable record skipped", "of", opPast, "err", err)
		}
		for _, e := range ends {
			j.past.add(e)
			j.latest = max(j.latest, e.At)
		}
		return
	case r.Op == opHealth && r.Health != nil:
		j.latest = max(j.latest, r.Health.At)
		j.health[r.Host] = *r.Health
		return
	case r.Op == opList && r.List != nil:
		j.live -= j.listLen
		j.list, j.from = j.list.Apply(*r.List), r.From
		j.listLen = len(j.list.Endpoints) * memberRoom
		j.live += j.listLen
		return
	}
	e := j.entries[r.ID]
	if e == nil {
		return
	}
	switch r.Op {
	case opBegun:
		e.Attempts = append(e.Attempts, Attempt{Endpoint: r.Host, StartedAt: r.At})
	case opEnded:
		if n := len(e.Attempts); n > 0 {
			a := &e.Attempts[n-1]
			a.Ended, a.NotExecuted, a.Outcome, a.EndedAt = true, r.Unrun, r.Why, r.At
		}
	case opOwed:
		e.PendingNotice, e.Reason, e.CompletedAt = r.Notice, r.Why, r.At
	case opDone:
		e.Delivered = true
	case opOver:
		delete(j.entries, e.ID)
		j.live -= j.need(e)
		if !r.At.IsZero() { // an earlier program did not say
			j.past.add(CompletedRequest{e.ID, r.At})
		}
	}
}
