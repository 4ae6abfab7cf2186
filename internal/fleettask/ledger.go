package fleettask

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// LedgerVersion is the form of the export's value and of the heads of its slices.
const LedgerVersion = 1

// Ledger is what of the fleet's export counts: one value at the coordination service, written under the export's lease
// and token. A slice that a paused holder finishes after another has gone on is on no ledger, and counts for nothing.
type Ledger struct {
	Version int              `json:"version"`
	Head    string           `json:"head,omitempty"` // name of the last slice; each names the one before
	Slices  int              `json:"slices"`
	Records int              `json:"records"`
	Places  map[string]Place `json:"places,omitempty"` // by relay
}

// Place is how far a relay's store is exported.
type Place struct {
	Store string `json:"store"` // its name: another folder has another
	From  uint64 `json:"from"`  // the number of the first record that is not exported
}

// ReadLedger reads the value; none is an empty one.
func ReadLedger(raw []byte) (Ledger, error) {
	l := Ledger{Version: LedgerVersion}
	if len(raw) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(raw, &l); err != nil {
		return l, fmt.Errorf("export: ledger: %w", err)
	}
	if l.Version != LedgerVersion {
		return l, fmt.Errorf("export: ledger: version %d; this program reads version %d", l.Version, LedgerVersion)
	}
	return l, nil
}

// From is the number of the first record of a relay's store that is not exported.
func (l *Ledger) From(relay, store string) uint64 {
	if p := l.Places[relay]; p.Store == store {
		return p.From
	}
	return 0 // another store, or none yet
}

// SliceHead is the first line of a slice.
type SliceHead struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	Before  string `json:"before,omitempty"` // the slice before it
	Relay   string `json:"relay"`
	Store   string `json:"store"`
	Token   uint64 `json:"token"`
	From    uint64 `json:"from"` // records from this number on
	To      uint64 `json:"to"`   // up to, not including, this one
	Records int    `json:"records"`
}

// Next plans the slice that follows: its head, and the ledger under which it counts. Its name holds the token, so that no two holders write
// the same file.
func (l *Ledger) Next(relay, store string, token, from, to uint64, records int) (SliceHead, Ledger) {
	safe := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, relay)
	head := SliceHead{
		Version: LedgerVersion, Name: fmt.Sprintf("slice-%016x-%08d-%s.jsonl", token, l.Slices+1, safe), Before: l.Head, Relay: relay,
		Store: store, Token: token, From: from, To: to, Records: records,
	}
	next := Ledger{Version: LedgerVersion, Head: head.Name, Slices: l.Slices + 1, Records: l.Records + records, Places: maps.Clone(l.Places)}
	if next.Places == nil {
		next.Places = map[string]Place{}
	}
	next.Places[relay] = Place{Store: store, From: to}
	return head, next
}

// Encode gives the value's bytes.
func (l Ledger) Encode() []byte {
	raw, err := json.Marshal(l)
	if err != nil {
		panic(fmt.Sprintf("tasks: a ledger that can't be encoded: %v", err)) // its types all can
	}
	return raw
}

// Chain checks the heads of slices against a ledger, from its last slice back: each is there, follows the one before it
// at the same relay's store without a gap and without a record twice, and their numbers are the ledger's. It gives them
// in their order.
func (l *Ledger) Chain(head func(name string) (SliceHead, error)) ([]SliceHead, error) {
	var list []SliceHead
	next := map[string]uint64{} // by relay and store: where the slice after begins
	records := 0
	for name := l.Head; name != ""; {
		h, err := head(name)
		switch {
		case err != nil:
			return nil, fmt.Errorf("export: slice %s: %w", name, err)
		case h.Name != name:
			return nil, fmt.Errorf("export: slice %s: says that it is %s", name, h.Name)
		case len(list) >= l.Slices:
			return nil, fmt.Errorf("export: slice %s: the ledger has only %d slices", name, l.Slices)
		}
		of := h.Relay + "/" + h.Store
		after, known := next[of]
		if !known {
			if after = h.To; l.Places[h.Relay].Store == h.Store {
				after = l.Places[h.Relay].From
			}
		}
		if h.To != after || h.From > h.To {
			return nil, fmt.Errorf("export: slice %s: records %d to %d, and the next begins at %d", name, h.From, h.To, after)
		}
		next[of] = h.From
		records += h.Records
		list = append(list, h)
		name = h.Before
	}
	if len(list) != l.Slices || records != l.Records {
		return nil, fmt.Errorf("export: %d slices with %d records, and the ledger has %d with %d", len(list), records, l.Slices, l.Records)
	}
	for of, from := range next {
		if from != 0 {
			return nil, fmt.Errorf("export: %s: the first slice begins at record %d", of, from)
		}
	}
	slices.Reverse(list)
	return list, nil
}
