package coordsim

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"frostlink/internal/coord"
)

const (
	// forever is the end of an operation whose outcome is unknown: it may take effect at any later time.
	forever = time.Duration(math.MaxInt64)
	// codeUnknown is the code of an operation whose outcome is unknown.
	codeUnknown coord.Code = ""
	// linearizabilityTimeout bounds the search for a linearization of the operations on a key. If the search takes longer, it has
	// no verdict, and no violation is reported.
	linearizabilityTimeout = 5 * time.Second
)

// operation is one write or read of a value, as its client observed it.
type operation struct {
	client     int
	key        string
	isWrite    bool
	expected   uint64 // for a write: the revision that the key must have
	value      string
	revision   uint64
	code       coord.Code
	begin, end time.Duration
}

// register is the state of one key in the model. With a non-empty value a revision of 0 means that the revision is unknown.
type register struct {
	revision uint64
	value    string
}

// model is a compare-and-set register in which the outcome of a write may be unknown.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, _, output any) []any {
		var next []any
		for _, r := range state.(register).apply(output.(operation)) {
			next = append(next, r)
		}
		return next
	},
}

// apply returns the possible states after an operation. There are none if its result is impossible in this state.
func (r register) apply(op operation) []register {
	switch {
	case !op.isWrite:
		if op.value == r.value && r.mayHave(op.revision) {
			return []register{{op.revision, op.value}}
		}
	case op.code == coord.CodeOK && r.mayHave(op.expected):
		return []register{{op.revision, op.value}}
	case op.code == coord.CodeConflict && op.revision != op.expected && r.mayHave(op.revision):
		return []register{{op.revision, r.value}}
	case op.code == codeUnknown && r.mayHave(op.expected):
		return []register{r, {0, op.value}}
	case op.code == codeUnknown:
		return []register{r}
	}
	return nil
}

// mayHave reports whether the state has a revision, or may have it: a state whose revision is unknown may have any revision except 0.
func (r register) mayHave(revision uint64) bool {
	isUnknown := r.value != "" && r.revision == 0
	return isUnknown && revision != 0 || r.revision == revision
}

// checkValues checks that the writes and reads of each key are linearizable.
func (s *simulation) checkValues() {
	byKey := map[string][]porcupine.Operation{}
	for _, op := range s.operations {
		byKey[op.key] = append(byKey[op.key], porcupine.Operation{
			ClientId: op.client, Input: op, Output: op, Call: int64(op.begin), Return: int64(op.end),
		})
	}
	for _, key := range keys {
		if porcupine.CheckOperationsTimeout(model.ToModel(), byKey[key], linearizabilityTimeout) == porcupine.Illegal {
			s.report(checkLinearizability, "%s: no order of its %d operations fits", key, len(byKey[key]))
		}
	}
}
