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

// scanBatch is how many records one round of Bounds looks at for each bound, and dropAtOnce how many leave in one
// transaction: the store serves the hand-over meanwhile.
const scanBatch, removeBatch = 20_000, 500

// Bounds drops what is too old or too many, a round at a time.
type Bounds struct {
	store   *Store
	section *Section
	dir     string
	cursors []uint64 // of each bound, and of the store's own: where the next round goes on
}

// NewBounds gives the bounds of a section, the store's own first.
func NewBounds(store *Store, s *Section) *Bounds {
	return &Bounds{store: store, section: s, dir: s.Folder, cursors: make([]uint64, len(s.Bounds)+1)}
}

// Enforce drops what the bounds do not allow, a bounded number at once, and tells how many left. full says that the store
// takes no more: then also messages that have ended leave, the oldest first.
func (b *Bounds) Enforce(now time.Time, full bool) (left int, err error) {
	totals, groups, err := b.store.Totals()
	if err != nil {
		return 0, err
	}
	own := Bound{MaxAge: b.section.MaxAge}
	for i := -1; i < len(b.section.Bounds); i++ {
		bound, over := own, 0
		if i >= 0 {
			bound = b.section.Bounds[i]
			over = bound.excess(groups)
		}
		ended := i < 0 && (full || totals.Messages >= b.section.MaxMessages)
		n, err := b.enforce(i+1, bound, over, ended, now)
		left += n
		if err != nil {
			return left, err
		}
	}
	return left, nil
}

// excess is how many messages of its groups are more than a bound allows, by number or, at their mean size, by bytes.
func (b *Bound) excess(groups []Group) int {
	messages, bytes := 0, int64(0)
	for _, g := range groups {
		if (b.Class == "" || b.Class == g.Class) && (b.Tenant == "" || b.Tenant == g.Tenant) {
			messages += g.Messages
			bytes += g.Bytes
		}
	}
	over := 0
	if b.MaxMessages > 0 {
		over = max(over, messages-b.MaxMessages)
	}
	if excess := float64(bytes) - b.MaxMB*1e6; b.MaxMB > 0 && excess > 0 && bytes > 0 {
		over = max(over, int(excess/float64(bytes)*float64(messages))+1)
	}
	return over
}

// enforce drops what one bound does not allow: too old ones, over of the oldest, and where ended is set those that have
// ended. A message that is being redelivered stays.
func (b *Bounds) enforce(n int, bound Bound, over int, ended bool, now time.Time) (left int, err error) {
	if over == 0 && bound.MaxAge == 0 && !ended {
		return 0, nil
	}
	from := b.cursors[n]
	if over > 0 {
		from = 0 // the oldest first
	}
	var drop []*Record
	drop, b.cursors[n], _, err = b.store.Page(from, removeBatch, scanBatch, bound.exceeded(over, ended, now))
	if err != nil || len(drop) == 0 {
		return 0, err
	}
	if b.section.Export {
		if err := b.export(drop, now); err != nil {
			return 0, err
		}
	}
	ids := make([]string, len(drop))
	for i, r := range drop {
		ids[i] = r.ID
	}
	return len(ids), b.store.Remove(ids)
}

// exceeded returns a filter of the messages that have to leave by a bound, from the oldest on: too old ones, over further
// ones, and where ended is set those that have ended.
func (b *Bound) exceeded(over int, ended bool, now time.Time) func(r *Record) bool {
	return func(r *Record) bool {
		if r.State == Redelivering || b.Class != "" && b.Class != r.Class || b.Tenant != "" && b.Tenant != r.Tenant {
			return false
		}
		old := b.MaxAge > 0 && now.Sub(r.Incarnations[0].AcceptedAt) > seconds(b.MaxAge)
		if !old && over > 0 {
			over--
			return true
		}
		return old || ended && r.State.Ended()
	}
}

// export appends messages that are about to leave to the day's file. One that was written, and did not leave because
// the process ended, is written again: import takes it once.
func (b *Bounds) export(list []*Record, now time.Time) (err error) {
	path := filepath.Join(b.dir, "left-"+now.UTC().Format("20060102")+".jsonl")
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	out := bufio.NewWriter(f)
	lines := json.NewEncoder(out)
	for _, r := range list {
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
