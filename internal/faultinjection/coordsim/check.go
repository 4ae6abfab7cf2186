package coordsim

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"frostlink/internal/coord"
)

// forever is when an operation ends of which nothing was heard.
const forever = time.Duration(math.MaxInt64)

// operation is one write or read of a value, as its client saw it.
type operation struct {
	client  int
	key     string
	put     bool
	expect  uint64
	value   string
	version uint64
	code    coord.Code // "": not known
	call    time.Duration
	end     time.Duration
}

// Violation is a broken promise.
type Violation struct {
	Check  string `json:"check"` // overlap, token, queue, linear, held, same, members, disk, start, panic
	Detail string `json:"what"`
}

func (r *run) fault(check, format string, args ...any) {
	if len(r.faults) < 20 {
		r.faults = append(r.faults, Violation{check, fmt.Sprintf(format, args...)})
	}
}

// check judges a run that is over.
func (r *run) check() {
	r.checkActs()
	r.checkTokens()
	r.checkValues()
	r.checkHeld()
	r.checkSame()
	r.checkReplaced()
}

// checkActs: acts of two holders of a lease never overlap in true time, and never go back to a lower token.
func (r *run) checkActs() {
	by := map[string][]*act{}
	for _, a := range r.acts {
		if !a.over && !a.paused {
			a.end = r.world.now
		}
		by[a.lease] = append(by[a.lease], a)
	}
	for _, name := range r.names {
		list := by[name]
		slices.SortStableFunc(list, func(a, b *act) int { return int(a.start - b.start) })
		var last *act // the one that ends last so far
		for _, a := range list {
			if last != nil && a.token != last.token && a.start < last.end {
				r.fault("overlap", "%s: %s acts from %v to %v under %d, and %s from %v to %v under %d", name, last.client.name, last.start, last.end,
					last.token, a.client.name, a.start, a.end, a.token)
			}
			if last != nil && a.token < last.token {
				r.fault("token", "%s: an act under %d at %v, after one under %d at %v", name, a.token, a.start, last.token, last.start)
			}
			if last == nil || a.end > last.end {
				last = a
			}
		}
	}
}

// checkTokens: no two grants have the same token.
func (r *run) checkTokens() {
	first := map[uint64]grant{}
	for _, g := range r.grants {
		f, ok := first[g.token]
		if ok && (f.client != g.client || f.life != g.life || f.lease != g.lease) {
			r.fault("token", "token %d: %s of %s at %v, and %s of %s at %v", g.token, f.lease, f.client, f.learned, g.lease, g.client, g.learned)
		} else if !ok {
			first[g.token] = g
		}
	}
}

// register is the state of one value, as the model of linearizability has it. A version of 0 with a value is not known.
type register struct {
	version uint64
	value   string
}

// model is a compare-and-set register in which the outcome of a write may be unknown.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, _, out any) []any {
		var next []any
		for _, s := range state.(register).after(out.(operation)) {
			next = append(next, s)
		}
		return next
	},
}

// after gives the states that an operation may leave; none: it can't have been made here.
func (s register) after(op operation) []register {
	unknown := s.value != "" && s.version == 0
	as := func(version uint64) bool { return unknown && version != 0 || s.version == version }
	switch {
	case !op.put && op.value == s.value && as(op.version):
		return []register{{op.version, op.value}}
	case !op.put:
	case op.code == coord.CodeOK && as(op.expect):
		return []register{{op.version, op.value}}
	case op.code == coord.CodeConflict && op.version != op.expect && as(op.version):
		return []register{{op.version, s.value}}
	case op.code == "" && as(op.expect):
		return []register{s, {0, op.value}}
	case op.code == "":
		return []register{s}
	}
	return nil
}

// checkValues: the writes and reads of each value have an order that fits the times at which they were made.
func (r *run) checkValues() {
	by := map[string][]porcupine.Operation{}
	for _, op := range r.history {
		by[op.key] = append(by[op.key], porcupine.Operation{ClientId: op.client, Input: op, Output: op, Call: int64(op.call), Return: int64(op.end)})
	}
	for _, key := range []string{"k0", "k1"} {
		if porcupine.CheckOperationsTimeout(model.ToModel(), by[key], 5*time.Second) == porcupine.Illegal {
			r.fault("linear", "%s: no order of its %d operations fits", key, len(by[key]))
		}
	}
}

// checkHeld: after a calm of a stated length every lease that is wanted is held.
func (r *run) checkHeld() {
	for _, name := range r.names {
		wanted, held := 0, 0
		for _, c := range r.clients {
			if slices.Contains(c.names, name) {
				wanted++
			}
			if _, _, ok := c.core.Holds(r.world.clock(&c.process), name); ok {
				held++
			}
		}
		if wanted > 0 && held != 1 {
			r.fault("held", "%s: %d hold it after %v of calm, and %d want it", name, held, r.tail, wanted)
		}
	}
}

// checkSame: members that have applied the same entries have the same state.
func (r *run) checkSame() {
	states := map[uint64][]byte{}
	for _, m := range r.members {
		if !m.up {
			continue
		}
		state := m.core.Machine()
		raw := state.Snapshot()
		if other, ok := states[state.Index()]; ok && !bytes.Equal(raw, other) {
			r.fault("same", "member %d has another state at entry %d than others have", m.id, state.Index())
		}
		states[state.Index()] = raw
		again, err := coord.Restore(raw)
		if err != nil {
			r.fault("same", "member %d: %v", m.id, err)
		} else if !bytes.Equal(again.Snapshot(), raw) {
			r.fault("same", "member %d: a snapshot that was restored is another one", m.id)
		}
	}
}
