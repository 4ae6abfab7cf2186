package rig

import (
	"errors"
	"os"
	"time"

	"mallowlead/internal/operator"
	"mallowlead/internal/rehearsal/audit"
	"mallowlead/internal/undelivered"
)

// storesWithin is how long relays have, at the end of a run, to hand over to their stores and to come to rest.
const storesWithin = 2 * time.Second

// stores reads what the relays' stores of undelivered messages hold, once the relays have ended.
func (r *rig) stores() (kept []audit.Kept, unkept []string, err error) {
	for _, rel := range r.relays {
		own, err := operator.Read(rel.operatorPath())
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, nil, err
		}
		if own.Undelivered == nil {
			continue
		}
		s, err := undelivered.OpenToRead(own.Undelivered.Folder)
		if errors.Is(err, os.ErrNotExist) {
			continue // nothing was ever kept, which the auditor will judge
		}
		if err != nil {
			return nil, nil, err
		}
		kept, err = rel.stored(s, kept)
		if err == nil {
			var lost []string
			lost, err = s.UnkeptIDs()
			unkept = append(unkept, lost...)
		}
		if err = errors.Join(err, s.Close()); err != nil {
			return nil, nil, err
		}
	}
	return kept, unkept, nil
}

// stored adds all records of a store.
func (rel *relay) stored(s *undelivered.Store, kept []audit.Kept) ([]audit.Kept, error) {
	const page = 1000
	for from, first := uint64(0), true; first || from > 0; first = false {
		list, next, damaged, err := s.Page(from, page, page, nil)
		if err != nil {
			return nil, err
		}
		if damaged > 0 {
			rel.r.fault("%s: %d records of its store can't be read", rel.name, damaged)
		}
		for _, rec := range list {
			k := audit.Kept{Relay: rel.number, State: string(rec.State), Why: rec.Why + string(rec.Last().Reason)}
			for _, l := range rec.Lives {
				k.IDs = append(k.IDs, l.ID)
				never := true
				for _, a := range l.Attempts {
					never = never && a.Ran == undelivered.Never
				}
				if never {
					k.NeverRan = append(k.NeverRan, l.ID)
				}
			}
			kept = append(kept, k)
		}
		from = next
	}
	return kept, nil
}
