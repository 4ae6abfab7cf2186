package fleettask

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// LedgerVersion is the version of the ledger's form and of the slices' headers.
const LedgerVersion = 1

// Ledger says which slices count: one value at the coordination service, written under the export's
// lease and token.
type Ledger struct {
	Version   int                 `json:"version"`
	LastSlice string              `json:"head,omitempty"` // its name; the header of each slice names the one before
	Slices    int                 `json:"slices"`
	Records   int                 `json:"records"`
	Positions map[string]Position `json:"places,omitempty"` // by relay
}

// Position is how far a relay's store is exported.
type Position struct {
	Store      string `json:"store"` // its id: another folder has another
	NextRecord uint64 `json:"from"`  // number of the first record that is not exported
}

// DecodeLedger decodes the value under ExportKey. Where there is none, the ledger is empty.
func DecodeLedger(raw []byte) (Ledger, error) {
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

// Encode returns the value's bytes.
func (l Ledger) Encode() []byte {
	raw, err := json.Marshal(l)
	if err != nil {
		panic(fmt.Sprintf("fleettask: a ledger that can't be encoded: %v", err)) // all of its types can
	}
	return raw
}

// NextRecord returns the number of the first record of a relay's store that is not exported.
func (l *Ledger) NextRecord(relay, store string) uint64 {
	if p := l.Positions[relay]; p.Store == store {
		return p.NextRecord
	}
	return 0 // another store, or none yet
}

// PlanSlice returns the header of the slice that follows, and the ledger on which it counts.
func (l *Ledger) PlanSlice(relay, store string, token, first, end uint64, records int) (SliceHeader, Ledger) {
	header := SliceHeader{
		Version: LedgerVersion, Name: sliceName(token, l.Slices+1, relay), Previous: l.LastSlice, Relay: relay,
		Store: store, Token: token, FirstRecord: first, EndRecord: end, Records: records,
	}
	next := Ledger{
		Version: LedgerVersion, LastSlice: header.Name, Slices: l.Slices + 1, Records: l.Records + records,
		Positions: maps.Clone(l.Positions),
	}
	if next.Positions == nil {
		next.Positions = map[string]Position{}
	}
	next.Positions[relay] = Position{Store: store, NextRecord: end}
	return header, next
}

// sliceName returns a slice's name. It holds the fencing token, so that no two holders write the
// same file.
func sliceName(token uint64, number int, relay string) string {
	safe := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, relay)
	return fmt.Sprintf("slice-%016x-%08d-%s.jsonl", token, number, safe)
}

// VerifyChain checks slices against the ledger, from its last slice back: each is there, follows
// the one before it of the same relay's store without a gap or an overlap, and their numbers add up
// to the ledger's. It returns their headers in the order in which they were added.
func (l *Ledger) VerifyChain(readHeader func(name string) (SliceHeader, error)) ([]SliceHeader, error) {
	var chain []SliceHeader
	begins := map[string]uint64{} // by relay and store: first record of the slice that follows
	records := 0
	for name := l.LastSlice; name != ""; {
		h, err := readHeader(name)
		switch {
		case err != nil:
			return nil, fmt.Errorf("export: slice %s: %w", name, err)
		case h.Name != name:
			return nil, fmt.Errorf("export: slice %s: says that it is %s", name, h.Name)
		case len(chain) >= l.Slices:
			return nil, fmt.Errorf("export: slice %s: the ledger has only %d slices", name, l.Slices)
		}
		of := h.Relay + "/" + h.Store
		following, known := begins[of]
		if !known {
			following = l.endOf(h)
		}
		if h.EndRecord != following || h.FirstRecord > h.EndRecord {
			return nil, fmt.Errorf("export: slice %s: records %d to %d, and the next begins at %d",
				name, h.FirstRecord, h.EndRecord, following)
		}
		begins[of] = h.FirstRecord
		records += h.Records
		chain = append(chain, h)
		name = h.Previous
	}
	if err := l.verifyTotals(len(chain), records, begins); err != nil {
		return nil, err
	}
	slices.Reverse(chain)
	return chain, nil
}

// endOf returns the number past the last exported record of the store of a slice, which is that
// store's last slice. The position of a store that its relay has replaced is not on the ledger any
// more.
func (l *Ledger) endOf(last SliceHeader) uint64 {
	if p := l.Positions[last.Relay]; p.Store == last.Store {
		return p.NextRecord
	}
	return last.EndRecord
}

// verifyTotals checks the numbers of the whole chain, and that each store is exported from its
// first record on.
func (l *Ledger) verifyTotals(sliceCount, records int, begins map[string]uint64) error {
	if sliceCount != l.Slices || records != l.Records {
		return fmt.Errorf("export: %d slices with %d records, and the ledger has %d with %d", sliceCount, records, l.Slices, l.Records)
	}
	for of, first := range begins {
		if first != 0 {
			return fmt.Errorf("export: %s: the first slice begins at record %d", of, first)
		}
	}
	return nil
}
