package fleettask

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// LedgerVersion is the version of the format of the ledger and of the slices.
const LedgerVersion = 1

// Ledger identifies the valid slices of the export. It is one value of the coordination service,
// written under the export's lease and token.
type Ledger struct {
	Version   int                 `json:"version"`
	LastSlice string              `json:"head,omitempty"` // its name; the header of each slice names the previous one
	Slices    int                 `json:"slices"`
	Records   int                 `json:"records"`
	Positions map[string]Position `json:"places,omitempty"` // by relay
}

// Position records how far a relay's dead-letter store is exported.
type Position struct {
	Store      string `json:"store"` // id of the store; a new store has another id
	NextRecord uint64 `json:"from"`  // number of the first record that is not exported
}

// DecodeLedger decodes the value under ExportKey. A missing value is an empty ledger.
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

// Encode encodes the ledger.
func (l Ledger) Encode() []byte {
	raw, err := json.Marshal(l)
	if err != nil {
		panic(fmt.Sprintf("fleettask: encode ledger: %v", err)) // can't happen: all its types can be encoded
	}
	return raw
}

// NextRecord returns the number of the first record of a relay's store that is not exported.
func (l *Ledger) NextRecord(relay, store string) uint64 {
	if p := l.Positions[relay]; p.Store == store {
		return p.NextRecord
	}
	return 0 // the relay has replaced its store, or has exported nothing yet
}

// PlanSlice returns the header of the next slice, and the ledger that includes that slice.
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

// sliceName returns a slice's name. It contains the fencing token, so that no two lease holders
// write the same file.
func sliceName(token uint64, number int, relay string) string {
	safe := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, relay)
	return fmt.Sprintf("slice-%016x-%08d-%s.jsonl", token, number, safe)
}

// VerifyChain verifies the slices against the ledger, from the last slice back to the first. Every
// slice has to exist, the slices of each relay's store have to follow one another without a gap or
// an overlap, and the numbers of slices and records have to match the ledger's. It returns the
// headers in the order in which the slices were added.
func (l *Ledger) VerifyChain(readHeader func(name string) (SliceHeader, error)) ([]SliceHeader, error) {
	var chain []SliceHeader
	firstRecords := map[string]uint64{} // by relay and store: first record of the slice that was checked last
	records := 0
	for name := l.LastSlice; name != ""; {
		h, err := readHeader(name)
		switch {
		case err != nil:
			return nil, fmt.Errorf("export: slice %s: %w", name, err)
		case h.Name != name:
			return nil, fmt.Errorf("export: slice %s: its header has the name %s", name, h.Name)
		case len(chain) >= l.Slices:
			return nil, fmt.Errorf("export: slice %s: chain is longer than the %d slices of the ledger", name, l.Slices)
		}
		storeKey := h.Relay + "/" + h.Store
		nextFirst, known := firstRecords[storeKey]
		if !known {
			nextFirst = l.exportedEnd(h)
		}
		if h.EndRecord != nextFirst || h.FirstRecord > h.EndRecord {
			return nil, fmt.Errorf("export: slice %s: has records %d to %d, but the next slice begins at %d",
				name, h.FirstRecord, h.EndRecord, nextFirst)
		}
		firstRecords[storeKey] = h.FirstRecord
		records += h.Records
		chain = append(chain, h)
		name = h.Previous
	}
	if err := l.verifyTotals(len(chain), records, firstRecords); err != nil {
		return nil, err
	}
	slices.Reverse(chain)
	return chain, nil
}

// exportedEnd returns the number after the last exported record of a store, given the header of the
// store's last slice. If the relay has replaced the store, the ledger does not have its position
// any more, and the header's own end is used.
func (l *Ledger) exportedEnd(last SliceHeader) uint64 {
	if p := l.Positions[last.Relay]; p.Store == last.Store {
		return p.NextRecord
	}
	return last.EndRecord
}

// verifyTotals checks the totals of the chain, and that the slices of each store begin with its
// first record.
func (l *Ledger) verifyTotals(sliceCount, records int, firstRecords map[string]uint64) error {
	if sliceCount != l.Slices || records != l.Records {
		return fmt.Errorf("export: found %d slices with %d records, but the ledger has %d with %d", sliceCount, records, l.Slices, l.Records)
	}
	for storeKey, first := range firstRecords {
		if first != 0 {
			return fmt.Errorf("export: %s: first slice begins at record %d, not at 0", storeKey, first)
		}
	}
	return nil
}
