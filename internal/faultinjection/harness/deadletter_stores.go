package harness

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"time"

	"frostlink/internal/deadletter"
	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/operatorconfig"
)

const (
	// storeSettleTime is the time that relays get, at the end of a run, to move undelivered messages to their dead-letter
	// stores.
	storeSettleTime = 2 * time.Second
	// backlogAge is how long before the run the messages of a backlog failed.
	backlogAge = time.Hour
	// backlogBatch is the number of messages put into a store at once.
	backlogBatch = 500
	// storePageSize is the number of records read from a store at once.
	storePageSize = 1000
)

// deadLetterFolder returns the folder of the relay's dead-letter store as the operator's file names it, or an empty string if
// the relay has no store.
func (r *relay) deadLetterFolder() (string, error) {
	own, err := operatorconfig.Read(r.operatorPath())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return "", nil
	case err != nil:
		return "", err
	case own.DeadLetter == nil:
		return "", nil
	}
	return own.DeadLetter.Folder, nil
}

// fillStores puts the backlog into the relays' dead-letter stores, an equal part into each.
func (h *harness) fillStores(backlog []*scenario.Message) error {
	size := h.scenario.Relay.DeadLetterBacklog
	if size == 0 {
		return nil
	}
	for _, r := range h.relays {
		if err := r.fillStore(backlog[r.number*size:][:size]); err != nil {
			return err
		}
	}
	return nil
}

// fillStore puts messages into the relay's dead-letter store.
func (r *relay) fillStore(backlog []*scenario.Message) (err error) {
	if err := r.writeOperatorFile(); err != nil {
		return err
	}
	folder, err := r.deadLetterFolder()
	if err != nil {
		return err
	}
	if folder == "" {
		return errors.New("relay.backlog: the operator's file configures no dead-letter store")
	}
	store, err := deadletter.Open(folder, 0, 0)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	failedAt := time.Now().Add(-backlogAge)
	for batch := range slices.Chunk(backlog, backlogBatch) {
		var stored []deadletter.Message
		for _, m := range batch {
			letter := r.backlogMessage(m, failedAt)
			stored = append(stored, letter)
			r.h.record(checker.Event{
				Kind: checker.StoredBefore, ID: letter.ID, Message: m.Number, Relay: r.number,
				Destination: m.Destination, Class: m.Class, Subject: m.Subject,
			})
		}
		if err := store.Put(stored); err != nil {
			return err
		}
	}
	return nil
}

// backlogMessage returns a message of the backlog in the form in which the store holds a message that failed.
func (r *relay) backlogMessage(m *scenario.Message, failedAt time.Time) deadletter.Message {
	id, class := fmt.Sprintf("before-%d", m.Number), &r.h.scenario.Classes[m.Class]
	letter := deadletter.Message{Body: messageBody(&submission{message: m}), Record: deadletter.Record{
		ID: id, Class: class.Name, Destination: m.Destination, IdempotencyKey: m.Key,
		State: deadletter.Held, Since: failedAt, Due: failedAt, Incarnations: []deadletter.Incarnation{{
			ID: id, Relay: r.name, AcceptedAt: failedAt.Add(-scenario.Seconds(class.Deadline)),
			Deadline: failedAt, CompletedAt: failedAt, Reason: deadletter.DeadlineExceeded, Status: checker.Undeliverable,
		}},
	}}
	if m.Tenant >= 0 {
		letter.Tenant = r.h.scenario.Tenants[m.Tenant].Name
	}
	if m.Subject != "" {
		letter.Subject, letter.Order = m.Subject, &deadletter.Order{Whole: int64(m.Number)}
	}
	return letter
}

// deadLetters reads the relays' dead-letter stores after the relays have ended. It returns the stored records, and the ids
// of the messages that the stores dropped.
func (h *harness) deadLetters() (stored []checker.DeadLetter, dropped []string, err error) {
	for _, r := range h.relays {
		ofRelay, droppedIDs, err := r.deadLetters()
		if err != nil {
			return nil, nil, err
		}
		stored = append(stored, ofRelay...)
		dropped = append(dropped, droppedIDs...)
	}
	return stored, dropped, nil
}

// deadLetters reads the relay's dead-letter store.
func (r *relay) deadLetters() (stored []checker.DeadLetter, dropped []string, err error) {
	folder, err := r.deadLetterFolder()
	if err != nil || folder == "" {
		return nil, nil, err
	}
	store, err := deadletter.OpenToRead(folder)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil, nil // nothing was ever stored; the checker decides whether that is a violation
	}
	if err != nil {
		return nil, nil, err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	if stored, err = r.readStore(store); err != nil {
		return nil, nil, err
	}
	dropped, err = store.DroppedIDs()
	return stored, dropped, err
}

// readStore reads all records of the relay's store.
func (r *relay) readStore(store *deadletter.Store) (stored []checker.DeadLetter, err error) {
	for from := uint64(0); ; {
		records, next, damaged, err := store.Page(from, storePageSize, storePageSize, nil)
		if err != nil {
			return nil, err
		}
		if damaged > 0 {
			r.recordFailure("%d records of its store can't be read", damaged)
		}
		for _, record := range records {
			stored = append(stored, r.deadLetter(record))
		}
		if next == 0 {
			return stored, nil
		}
		from = next
	}
}

// deadLetter returns a record in the form that the checker reads.
func (r *relay) deadLetter(record *deadletter.Record) checker.DeadLetter {
	letter := checker.DeadLetter{Relay: r.number, State: string(record.State), Reason: record.Reason + string(record.Last().Reason)}
	for i, incarnation := range record.Incarnations {
		letter.IDs = append(letter.IDs, incarnation.ID)
		// The store does not have the attempts of a redelivery in flight yet: they are in the relay's journal.
		inFlight := record.State == deadletter.Redelivering && i == len(record.Incarnations)-1
		if !inFlight && neverExecuted(incarnation.Attempts) {
			letter.NotExecuted = append(letter.NotExecuted, incarnation.ID)
		}
	}
	return letter
}

// neverExecuted reports whether none of the attempts was executed.
func neverExecuted(attempts []deadletter.Attempt) bool {
	return !slices.ContainsFunc(attempts, func(a deadletter.Attempt) bool { return a.Execution != deadletter.NotExecuted })
}

// saveStore copies the relay's dead-letter store, so that the operator's tool can be tried on it.
func (r *relay) saveStore(to string) error {
	folder, err := r.deadLetterFolder()
	if err != nil || folder == "" {
		return err
	}
	if err := os.CopyFS(to, os.DirFS(folder)); err != nil && !errors.Is(err, fs.ErrNotExist) { // the store does not exist if nothing was ever stored
		return fmt.Errorf("copy: %w", err)
	}
	return nil
}
