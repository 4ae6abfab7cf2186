package deadletter

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// scanBatch limits the records that one round scans for each bound, and removeBatch the records that it removes in one
// transaction. The store can accept new messages between transactions.
const scanBatch, removeBatch = 20_000, 500

// bytesPerMB is the unit of Bound.MaxMB.
const bytesPerMB = 1e6

// Bounds enforces the limits on the age, number and size of messages. Each round removes a limited number of messages.
type Bounds struct {
	store   *Store
	section *Section
	dir     string
	cursors []uint64 // record numbers at which the next round continues: for the whole store, then for each bound
}

// NewBounds returns the bounds that a section defines for a store.
func NewBounds(store *Store, s *Section) *Bounds {
	return &Bounds{store: store, section: s, dir: s.Folder, cursors: make([]uint64, len(s.Bounds)+1)}
}

// Enforce runs one round, which removes a limited number of messages that exceed the bounds, and returns how many it
// removed. If the store is full, it also removes messages in a final state, the oldest first.
func (b *Bounds) Enforce(now time.Time, full bool) (removed int, err error) {
	totals, groups, err := b.store.Totals()
	if err != nil {
		return 0, err
	}
	whole := Bound{MaxAge: b.section.MaxAge}
	full = full || totals.Messages >= b.section.MaxMessages
	removed, err = b.enforce(0, whole, 0, full, now)
	if err != nil {
		return removed, err
	}
	for i, bound := range b.section.Bounds {
		n, err := b.enforce(i+1, bound, bound.excess(groups), false, now)
		removed += n
		if err != nil {
			return removed, err
		}
	}
	return removed, nil
}

// excess returns the number of messages that have to be removed to meet the bound's limits on the number and the size of the
// messages that it covers. An excess of bytes is converted to a number of messages of mean size.
func (b *Bound) excess(groups []Group) int {
	messages, bytes := 0, int64(0)
	for _, g := range groups {
		if (b.Class == "" || b.Class == g.Class) && (b.Tenant == "" || b.Tenant == g.Tenant) {
			messages += g.Messages
			bytes += g.Bytes
		}
	}
	excess := 0
	if b.MaxMessages > 0 {
		excess = max(excess, messages-b.MaxMessages)
	}
	if excessBytes := float64(bytes) - b.MaxMB*bytesPerMB; b.MaxMB > 0 && excessBytes > 0 && bytes > 0 {
		excess = max(excess, int(excessBytes/float64(bytes)*float64(messages))+1)
	}
	return excess
}

// enforce removes one batch of the messages that exceed a bound; see exceeded. index is the position of the bound's cursor.
func (b *Bounds) enforce(index int, bound Bound, excess int, ended bool, now time.Time) (removed int, err error) {
	if excess == 0 && bound.MaxAge == 0 && !ended {
		return 0, nil
	}
	from := b.cursors[index]
	if excess > 0 {
		from = 0 // start with the oldest message
	}
	var expired []*Record
	expired, b.cursors[index], _, err = b.store.Page(from, removeBatch, scanBatch, bound.exceeded(excess, ended, now))
	if err != nil || len(expired) == 0 {
		return 0, err
	}
	if b.section.Export {
		if err := b.export(expired, now); err != nil {
			return 0, err
		}
	}
	ids := make([]string, len(expired))
	for i, r := range expired {
		ids[i] = r.ID
	}
	return len(ids), b.store.Remove(ids)
}

// exceeded returns a filter that selects the messages to remove: messages that are too old, the first excess messages that
// are not too old and, if ended is set, messages in a final state. The filter must be called with the oldest records first.
// It never selects a message that is being redelivered.
func (b *Bound) exceeded(excess int, ended bool, now time.Time) func(r *Record) bool {
	return func(r *Record) bool {
		if r.State == Redelivering || b.Class != "" && b.Class != r.Class || b.Tenant != "" && b.Tenant != r.Tenant {
			return false
		}
		tooOld := b.MaxAge > 0 && now.Sub(r.Incarnations[0].AcceptedAt) > seconds(b.MaxAge)
		if !tooOld && excess > 0 {
			excess--
			return true
		}
		return tooOld || ended && r.State.Ended()
	}
}

// export appends messages that are about to be removed to the day's file. If the process ends before the messages are
// removed, they are exported again later; an import stores such a message once.
func (b *Bounds) export(records []*Record, now time.Time) (err error) {
	path := filepath.Join(b.dir, "left-"+now.UTC().Format("20060102")+".jsonl")
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	out := bufio.NewWriter(f)
	lines := json.NewEncoder(out)
	for _, r := range records {
		body, err := b.store.Body(r.ID)
		if err != nil && !errors.Is(err, ErrDamaged) {
			return err
		}
		if err := lines.Encode(Exported{*r, body}); err != nil {
			return fmt.Errorf("undelivered: %w", err)
		}
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}
