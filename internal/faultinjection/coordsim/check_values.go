package coordsim

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"frostlink/internal/coord"
)

const (
	// forever is when an operation ends whose outcome is unknown.
	forever = time.Duration(math.MaxInt64)
	// codeUnknown is the code of such an operation.
	codeUnknown coord.Code = ""
	// linearizabilityTimeout bounds the search for an order of the operations on a key. Without one by then there is no verdict.
	linearizabilityTimeout = 5 * time.Second
)

// operation is one write or read of a value, as its client saw it.
type operation struct {
	client     int
	key        string
	isWrite    bool
	expected   uint64 // revision that a write expects
	value      string
	revision   uint64
	code       coord.Code
	begin, end time.Duration
}

// register is the state of one key in the model. A revision of 0 with a value is not known.
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

// apply returns the states that an operation may leave. None: it can't have been made in this state.
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

// mayHave reports whether a revision may be that of the state.
func (r register) mayHave(revision uint64) bool {
	isUnknown := r.value != "" && r.revision == 0
	return isUnknown && revision != 0 || r.revision == revision
}

// checkValues checks that the writes and reads of each key have an order that fits the times at which they were made.
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
