package harness

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"frostlink/internal/deadletter"
	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/operatorconfig"
)

// storeSettleTime is how long relays have, at the end of a run, to hand over to their stores and to come to rest.
const storeSettleTime = 2 * time.Second

// beforeRun is how long before the run a backlog was given up.
const beforeRun = time.Hour

// fillStores puts what was given up before the run into the relays' stores, to each as much.
func (r *harness) fillStores(before []*scenario.Message) error {
	for _, rel := range r.relays {
		mine := before[rel.number*r.scenario.Relay.DeadLetterBacklog:][:r.scenario.Relay.DeadLetterBacklog]
		if len(mine) == 0 {
			continue
		}
		if err := rel.writeOperator(); err != nil {
			return err
		}
		own, err := operatorconfig.Read(rel.operatorPath())
		if err != nil {
			return err
		}
		if own.DeadLetter == nil {
			return errors.New("relay.backlog: the operator's file keeps no undelivered messages")
		}
		s, err := deadletter.Open(own.DeadLetter.Folder, 0, 0)
		if err != nil {
			return err
		}
		err = rel.fillStore(s, mine)
		if err = errors.Join(err, s.Close()); err != nil {
			return err
		}
	}
	return nil
}

// fillStore puts messages into a relay's store.
func (rel *relay) fillStore(s *deadletter.Store, list []*scenario.Message) error {
	const batch = 500
	at := time.Now().Add(-beforeRun)
	for part := range slices.Chunk(list, batch) {
		var all []deadletter.Message
		for _, m := range part {
			id, class := fmt.Sprintf("before-%d", m.Number), &rel.h.scenario.Classes[m.Class]
			k := deadletter.Message{Body: messageBody(&submission{message: m}), Record: deadletter.Record{
				ID: id, Class: class.Name, Destination: m.Destination, IdempotencyKey: m.Key,
				State: deadletter.Held, Since: at, Due: at, Incarnations: []deadletter.Incarnation{{
					ID: id, Relay: rel.name, AcceptedAt: at.Add(-scenario.Seconds(class.Deadline)),
					Deadline: at, CompletedAt: at, Reason: deadletter.DeadlineExceeded, Status: "undeliverable",
				}},
			}}
			if m.Tenant >= 0 {
				k.Tenant = rel.h.scenario.Tenants[m.Tenant].Name
			}
			if m.Subject != "" {
				k.Subject, k.Order = m.Subject, &deadletter.Order{Whole: int64(m.Number)}
			}
			all = append(all, k)
			rel.h.record(checker.Event{Kind: checker.StoredBefore, ID: id, Message: m.Number, Relay: rel.number, Destination: m.Destination, Class: m.Class, Subject: m.Subject})
		}
		if err := s.Put(all); err != nil {
			return err
		}
	}
	return nil
}

// deadLetters reads what the relays' stores of undelivered messages hold, once the relays have ended.
func (r *harness) deadLetters() (kept []checker.DeadLetter, unkept []string, err error) {
	for _, rel := range r.relays {
		own, err := operatorconfig.Read(rel.operatorPath())
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, nil, err
		}
		if own.DeadLetter == nil {
			continue
		}
		s, err := deadletter.OpenToRead(own.DeadLetter.Folder)
		if errors.Is(err, os.ErrNotExist) {
			continue // nothing was ever kept, which the auditor will judge
		}
		if err != nil {
			return nil, nil, err
		}
		kept, err = rel.stored(s, kept)
		if err == nil {
			var lost []string
			lost, err = s.DroppedIDs()
			unkept = append(unkept, lost...)
		}
		if err = errors.Join(err, s.Close()); err != nil {
			return nil, nil, err
		}
	}
	return kept, unkept, nil
}

// saveStore copies a relay's store, so that the tool can be tried on it.
func (rel *relay) saveStore(to string) error {
	own, err := operatorconfig.Read(rel.operatorPath())
	if errors.Is(err, os.ErrNotExist) || err == nil && own.DeadLetter == nil {
		return nil
	}
	if err != nil {
		return err
	}
	err = os.CopyFS(to, os.DirFS(own.DeadLetter.Folder))
	if errors.Is(err, os.ErrNotExist) {
		return nil // nothing was ever kept
	}
	return err
}

// stored adds all records of a store.
func (rel *relay) stored(s *deadletter.Store, kept []checker.DeadLetter) ([]checker.DeadLetter, error) {
	const page = 1000
	for from, first := uint64(0), true; first || from > 0; first = false {
		list, next, damaged, err := s.Page(from, page, page, nil)
		if err != nil {
			return nil, err
		}
		if damaged > 0 {
			rel.h.recordFailure("%s: %d records of its store can't be read", rel.name, damaged)
		}
		for _, rec := range list {
			k := checker.DeadLetter{Relay: rel.number, State: string(rec.State), Reason: rec.Reason + string(rec.Last().Reason)}
			for i, l := range rec.Incarnations {
				k.IDs = append(k.IDs, l.ID)
				// Of a resend that is out the store knows nothing yet: what came of it is in the relay's journal.
				never := rec.State != deadletter.Redelivering || i < len(rec.Incarnations)-1
				for _, a := range l.Attempts {
					never = never && a.Execution == deadletter.NotExecuted
				}
				if never {
					k.NotExecuted = append(k.NotExecuted, l.ID)
				}
			}
			kept = append(kept, k)
		}
		from = next
	}
	return kept, nil
}
